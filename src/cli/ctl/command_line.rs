use clap::{builder::ValueParser, value_parser, Arg, ArgAction, Command};

/// Examples of `clementinectl` as a whole.
const EXAMPLES: &str = "\
Examples:
  clementinectl check schema.json
  clementinectl --address 10.0.0.1:7112 --address 10.0.0.2:7112 --key-file operator.keys status
  clementinectl --address 10.0.0.1:7112 --key-file operator.keys apply schema.json --wait

Exit codes:
  0  done
  1  failed, e.g. no daemon could be reached
  2  the command line or a file was refused
  3  conflict: another change came first
  4  refused by the cluster
  5  not known whether it took effect: send it again with --command-id";

/// Returns the command line of `clementinectl`.
pub(super) fn command_line() -> Command {
    Command::new("clementinectl")
        .about("Operates a cluster of clementined")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXAMPLES)
        .arg_required_else_help(true)
        .subcommand_required(true)
        .args(global_args())
        .subcommands(file_commands())
        .subcommands(questions())
        .subcommands(changes())
        .subcommand(control())
        .subcommand(split())
        .subcommand(
            Command::new("release")
                .about("Lets a quarantined request run again; status lists them")
                .after_help(
                    "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys release 00112233445566aa",
                )
                .args([
                    Arg::new("fingerprint")
                        .value_name("FINGERPRINT")
                        .required(true)
                        .help("Fingerprint of the request"),
                    base(),
                ]),
        )
        .subcommand(
            Command::new("example-schema")
                .about("Prints an example schema file; docs/SCHEMA.md lists the fields")
                .after_help("Example:\n  clementinectl example-schema > schema.json"),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints the completions for a shell")
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
            "Operator address of a daemon; several are tried in turn",
        )
        .action(ArgAction::Append)
        .global(true),
        option("key-file", "FILE", "File with the operator's key").global(true),
        option("output", "FORMAT", "Form of what is printed: text or json")
            .value_parser(["text", "json"])
            .default_value("text")
            .global(true),
        option(
            "command-id",
            "ID",
            "Id of an earlier command whose answer was lost, to send it again",
        )
        .global(true),
        option(
            "timeout-ms",
            "MS",
            "Longest time that --wait and wait go on, in ms",
        )
        .value_parser(value_parser!(u64))
        .default_value("60000")
        .global(true),
    ]
}

/// Commands that need no daemon, or only the schema in force.
fn file_commands() -> [Command; 3] {
    [
        Command::new("check")
            .about("Checks a schema file without a daemon")
            .after_help("Example:\n  clementinectl check schema.json")
            .arg(file("file")),
        Command::new("diff")
            .about("Compares two schema files, or one with the schema in force")
            .after_help(
                "Examples:\n  clementinectl diff old.json new.json\n  \
                 clementinectl --address 10.0.0.1:7112 --key-file operator.keys diff schema.json",
            )
            .args([file("file"), Arg::new("other").value_name("NEWER")]),
        Command::new("plan")
            .about("Tells what apply would do, and changes nothing")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys plan schema.json",
            )
            .arg(file("file")),
    ]
}

fn questions() -> [Command; 4] {
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
            .about("Tells who owns a key, why, and what would be done with a call now")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys \\\n    \
                 explain --service ucty --key SK3112000000198742637541",
            )
            .args([
                option("service", "NAME", "Name of the service").required(true),
                option("key", "KEY", "Key, as text or as base64: and its bytes").default_value(""),
                option("method", "METHOD", "HTTP method of the call").default_value("GET"),
                option("path", "PATH", "Path of the call after the service").default_value("/"),
            ]),
        Command::new("wait")
            .about("Waits until the revision in force is applied by every live session")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys wait --timeout-ms 8000",
            )
            .arg(option(
                "revision",
                "REVISION",
                "Revision to wait for; the latest one that the daemon knows if absent",
            )),
    ]
}

fn changes() -> [Command; 4] {
    [
        Command::new("apply")
            .about("Puts a schema file in force")
            .after_help(
                "Examples:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys apply schema.json --wait\n  \
                 clementinectl --address 10.0.0.1:7112 --key-file operator.keys apply schema.json --base 12-0123456789abcdef",
            )
            .args([
                file("file"),
                base(),
                option("version", "NUMBER", "Version of the schema; it changes nothing unless it is the highest")
                    .value_parser(ValueParser::from(clap::value_parser!(u64).range(1..))),
                wait_flag("Wait until every live session has applied it"),
            ]),
        Command::new("drain")
            .about("Takes all work from a host or one of its servers")
            .after_help(
                "Examples:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys drain ba-b-1 --wait\n  \
                 clementinectl --address 10.0.0.1:7112 --key-file operator.keys drain ba-b-1 --server 10.0.0.2:7250",
            )
            .args([host(), server(), base(), wait_flag("Wait until it owns no key any more")]),
        Command::new("undrain")
            .about("Ends a drain")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys undrain ba-b-1",
            )
            .args([host(), server(), base()]),
        Command::new("move")
            .about("Moves a span of keys to a host")
            .after_help(
                "Example:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys \\\n    \
                 move --service ucty --start SK31 --end SK32 --to-host tt-c-1",
            )
            .args([
                option("service", "NAME", "Name of the service").required(true),
                option("start", "KEY", "First key; the lowest if absent").default_value(""),
                option("end", "KEY", "First key after the span; no upper bound if absent"),
                option("to-host", "HOST", "Host that gets the span").required(true),
                option("to-server", "IP:PORT", "Server of that host; the one with the fewest ranges if absent"),
                base(),
            ]),
    ]
}

fn control() -> Command {
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
            Command::new("status").about("Prints the control hosts, their roles and how far they lag"),
            Command::new("add")
                .about("Adds a control host: as a learner first, then with a vote")
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
                    .help("Id of the member, as in control status"),
            ),
            Command::new("replace")
                .about("Adds a control host and removes another one after it")
                .args([
                    member("old", "Member that goes").required(true),
                    option("new", "IP:PORT", "Peer address of the host that comes").required(true),
                ]),
        ])
}

fn split() -> Command {
    let step = |name: &'static str, about: &'static str| Command::new(name).about(about).arg(base());
    Command::new("split")
        .about("Shows and steps the split that the schema declares")
        .after_help(
            "Examples:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys split start\n  \
             clementinectl --address 10.0.0.1:7112 --key-file operator.keys split status",
        )
        .subcommand_required(true)
        .subcommands([
            Command::new("status").about("Prints the stage and what is left to move"),
            step("start", "Starts to move ranges to servers of their own half"),
            step("pause", "Stops moves to the other half"),
            step("resume", "Goes on after a pause"),
            step(
                "part",
                "Cedes the keys of the second half, which cannot be taken back",
            ),
        ])
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn file(name: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .required(true)
        .value_parser(ValueParser::string())
}

fn host() -> Arg {
    Arg::new("host").required(true).help("Name of the host")
}

fn server() -> Arg {
    option("server", "IP:PORT", "Only this server of the host")
}

fn base() -> Arg {
    option(
        "base",
        "REVISION",
        "Revision that the command was made against; the one in force if absent",
    )
}

fn wait_flag(help: &'static str) -> Arg {
    Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help(help)
}
