use clap::{builder::ValueParser, value_parser, Arg, ArgAction, Command};

/// Examples and exit codes that the help text of `clementinectl` ends with.
const HELP_FOOTER: &str = "\
Examples:
  clementinectl check schema.json
  clementinectl --address 10.0.0.1:7112 --address 10.0.0.2:7112 --key-file operator.keys status
  clementinectl --address 10.0.0.1:7112 --key-file operator.keys apply schema.json --wait

Exit codes:
  0  done
  1  failed, e.g. no daemon could be reached
  2  the command line or a file was refused
  3  conflict: another change was applied first
  4  refused by the cluster
  5  unknown whether it took effect: send it again with --command-id";

/// Returns the command line of `clementinectl`.
pub(super) fn command_line() -> Command {
    Command::new("clementinectl")
        .about("Inspects and changes a cluster of clementined daemons")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(HELP_FOOTER)
        .arg_required_else_help(true)
        .subcommand_required(true)
        .args(global_args())
        .subcommands(schema_file_commands())
        .subcommands(query_commands())
        .subcommands(change_commands())
        .subcommand(control_command())
        .subcommand(split_command())
        .subcommand(evacuate_command())
        .subcommand(
            Command::new("release")
                .about("Lets a quarantined request run again; status lists the quarantined requests")
                .after_help(
                    "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys release 00112233445566aa",
                )
                .args([
                    Arg::new("fingerprint")
                        .value_name("FINGERPRINT")
                        .required(true)
                        .help("Fingerprint of the request, as printed by status"),
                    base_arg(),
                ]),
        )
        .subcommand(
            Command::new("example-schema")
                .about("Prints an example schema file; docs/SCHEMA.md lists the fields")
                .after_help("Example:\n  clementinectl example-schema > schema.json"),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints the completion script for a shell")
                .after_help(
                    "Example:\n  clementinectl completions bash > /etc/bash_completion.d/clementinectl",
                )
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(clap_complete::Shell)),
                ),
        )
}

fn global_args() -> [Arg; 5] {
    [
        option(
            "address",
            "IP:PORT",
            "Operator address of a daemon; can be given several times, and the daemons are tried in order",
        )
        .action(ArgAction::Append)
        .global(true),
        option("key-file", "FILE", "File with the operator's key").global(true),
        option("output", "FORMAT", "Output format")
            .value_parser(["text", "json"])
            .default_value("text")
            .global(true),
        option(
            "command-id",
            "ID",
            "Id of an earlier command whose answer was lost, to send that command again",
        )
        .global(true),
        option(
            "timeout-ms",
            "MS",
            "Timeout of --wait and of the command wait, in ms",
        )
        .value_parser(value_parser!(u64))
        .default_value("60000")
        .global(true),
    ]
}

/// Commands on schema files, which need no daemon or only read from one.
fn schema_file_commands() -> [Command; 3] {
    [
        Command::new("check")
            .about("Checks a schema file without a daemon")
            .after_help("Example:\n  clementinectl check schema.json")
            .arg(file_arg("file")),
        Command::new("diff")
            .about("Compares two schema files, or a schema file with the schema in force")
            .after_help(
                "Examples:\n  clementinectl diff old.json new.json\n  \
                 clementinectl --address 10.0.0.1:7112 --key-file operator.keys diff schema.json",
            )
            .args([file_arg("file"), Arg::new("other").value_name("NEWER")]),
        Command::new("plan")
            .about("Shows what apply would change, without changing it")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys plan schema.json",
            )
            .arg(file_arg("file")),
    ]
}

fn query_commands() -> [Command; 4] {
    [
        Command::new("show")
            .about("Prints the schema in force and its revision")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys show > schema.json",
            ),
        Command::new("status")
            .about("Prints sessions, servers, owners, drains and the last decisions")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys status --output json",
            ),
        Command::new("explain")
            .about("Shows which server owns a key, why, and how a call would be handled now")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys \\\n    \
                 explain --service ucty --key SK3112000000198742637541",
            )
            .args([
                option("service", "NAME", "Name of the service").required(true),
                option("key", "KEY", "Key as text, or as base64: followed by its bytes in base64").default_value(""),
                option("method", "METHOD", "HTTP method of the call").default_value("GET"),
                option("path", "PATH", "Path of the call without the service").default_value("/"),
            ]),
        Command::new("wait")
            .about("Waits until every live session has applied the revision in force")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys wait --timeout-ms 8000",
            )
            .arg(option(
                "revision",
                "REVISION",
                "Revision to wait for; by default the latest one that the daemon knows",
            )),
    ]
}

fn change_commands() -> [Command; 4] {
    [
        Command::new("apply")
            .about("Puts a schema file in force")
            .after_help(
                "Examples:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys apply schema.json --wait\n  \
                 clementinectl --address 10.0.0.1:7112 --key-file operator.keys apply schema.json --base 12-0123456789abcdef",
            )
            .args([
                file_arg("file"),
                base_arg(),
                option("version", "NUMBER", "Version of the schema; only the highest version so far takes effect")
                    .value_parser(ValueParser::from(clap::value_parser!(u64).range(1..))),
                wait_flag("Wait until every live session has applied it"),
            ]),
        Command::new("drain")
            .about("Moves all work away from a host or from one of its servers")
            .after_help(
                "Examples:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys drain ba-b-1 --wait\n  \
                 clementinectl --address 10.0.0.1:7112 --key-file operator.keys drain ba-b-1 --server 10.0.0.2:7250",
            )
            .args([host_arg(), server_arg(), base_arg(), wait_flag("Wait until it owns no keys")]),
        Command::new("undrain")
            .about("Ends a drain")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys undrain ba-b-1",
            )
            .args([host_arg(), server_arg(), base_arg()]),
        Command::new("move")
            .about("Moves a span of keys to a host")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys \\\n    \
                 move --service ucty --start SK31 --end SK32 --to-host tt-c-1",
            )
            .args([
                option("service", "NAME", "Name of the service").required(true),
                option("start", "KEY", "First key of the span; by default the lowest key").default_value(""),
                option("end", "KEY", "First key after the span; by default there is no upper bound"),
                option("to-host", "HOST", "Host to which the span moves").required(true),
                option("to-server", "IP:PORT", "Server of that host; by default the one with the fewest ranges"),
                base_arg(),
            ]),
    ]
}

fn control_command() -> Command {
    let member = |name: &'static str, help: &'static str| option(name, "ID", help);
    Command::new("control")
        .about("Shows and changes the control hosts")
        .after_help(
            "Examples:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys control status\n  \
             clementinectl --address 10.0.0.1:7112 --key-file operator.keys control add 10.0.0.4:7113\n  \
             clementinectl --address 10.0.0.1:7112 --key-file operator.keys \\\n    \
             control replace --old 00112233445566aa --new 10.0.0.4:7113",
        )
        .subcommand_required(true)
        .subcommands([
            Command::new("status").about("Prints the control hosts with their roles and lags"),
            Command::new("add")
                .about("Adds a control host, first as a learner and then as a voter")
                .arg(
                    Arg::new("peer")
                        .value_name("IP:PORT")
                        .required(true)
                        .help("Peer address of the host"),
                ),
            Command::new("remove").about("Removes a control host").arg(
                Arg::new("member")
                    .value_name("ID")
                    .required(true)
                    .help("Id of the member, as printed by control status"),
            ),
            Command::new("replace")
                .about("Adds a control host and then removes another one")
                .args([
                    member("old", "Id of the member to remove").required(true),
                    option("new", "IP:PORT", "Peer address of the host to add").required(true),
                ]),
        ])
}

fn split_command() -> Command {
    let step = |name: &'static str, about: &'static str| Command::new(name).about(about).arg(base_arg());
    Command::new("split")
        .about("Shows and controls the split that the schema declares")
        .after_help(
            "Examples:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys split start\n  \
             clementinectl --address 10.0.0.1:7112 --key-file operator.keys split status",
        )
        .subcommand_required(true)
        .subcommands([
            Command::new("status").about("Prints the stage and what is left to move"),
            step("start", "Starts to move ranges to servers of their half"),
            step("pause", "Stops the moves that the split needs"),
            step("resume", "Resumes the moves after a pause"),
            step(
                "part",
                "Cedes the keys of the second half, which cannot be undone",
            ),
        ])
}

fn evacuate_command() -> Command {
    let step = |name: &'static str, about: &'static str| {
        let domain = Arg::new("domain")
            .required(true)
            .help("Name of the failure domain");
        let dry_run = Arg::new("dry-run").long("dry-run").action(ArgAction::SetTrue);
        Command::new(name).about(about).args([
            domain,
            dry_run.help("Show what is affected, without changing it"),
            base_arg(),
        ])
    };
    Command::new("evacuate")
        .about("Takes a failure domain out of use: nothing more is sent to its servers")
        .after_help(
            "Examples:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys evacuate start tt-c --dry-run\n  \
             clementinectl --address 10.0.0.1:7112 --key-file operator.keys evacuate start tt-c\n  \
             clementinectl --address 10.0.0.1:7112 --key-file operator.keys evacuate finish tt-c",
        )
        .subcommand_required(true)
        .subcommands([
            step("start", "Sends nothing more to the servers of a failure domain, at the latest after 5 s"),
            step("finish", "Uses the servers of a failure domain again"),
            Command::new("list")
                .about("Prints the evacuations in force, or what one of a failure domain affects")
                .arg(Arg::new("domain").help("Name of the failure domain")),
        ])
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn file_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .required(true)
        .value_parser(ValueParser::string())
}

fn host_arg() -> Arg {
    Arg::new("host").required(true).help("Name of the host")
}

fn server_arg() -> Arg {
    option("server", "IP:PORT", "Only this server of the host")
}

fn base_arg() -> Arg {
    option(
        "base",
        "REVISION",
        "Revision that the command is based on; by default the one in force",
    )
}

fn wait_flag(help: &'static str) -> Arg {
    Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help(help)
}
