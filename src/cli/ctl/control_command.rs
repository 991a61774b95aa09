use {
    super::target::{Sent, Target},
    crate::cli::exit,
    anyhow::Result,
    clap::{Arg, ArgMatches, Command},
    serde_json::{json, Value},
    std::fmt::Write as _,
};

/// Returns the command line of `control`.
pub(super) fn control_command() -> Command {
    let address = |help| {
        Arg::new("host-address")
            .value_name("IP:PORT")
            .required(true)
            .help(help)
    };
    let member = |help| Arg::new("member").value_name("ID").required(true).help(help);
    Command::new("control")
        .about("Prints or changes the control hosts of the cell")
        .after_help(
            "Examples:\n  clementinectl --address 10.0.0.1:7112 --key-file operator.keys control status\n  \
             clementinectl --address 10.0.0.1:7112 --key-file operator.keys \\\n    \
             control replace 0123456789abcdef 10.0.0.3:7113",
        )
        .subcommand_required(true)
        .subcommand(
            Command::new("status").about("Prints the members and the empty disks that offer themselves"),
        )
        .subcommand(
            Command::new("add")
                .about("Adds the empty disk of a host; it votes once it has caught up")
                .arg(address("Peer address of the host")),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a member")
                .arg(member("Id of the member, as status prints it")),
        )
        .subcommand(
            Command::new("replace")
                .about("Adds the empty disk of a host and removes a member once the new one votes")
                .arg(member("Id of the member that goes"))
                .arg(address("Peer address of the host that comes")),
        )
}

/// Runs `control`. Returns the answer and the exit code.
pub(super) fn control(matches: &ArgMatches) -> Result<(Value, u8)> {
    let Some((name, sub)) = matches.subcommand() else {
        return Ok((Value::Null, exit::BAD_INPUT));
    };
    let target = Target::new(sub)?;
    let text = |name: &str| sub.get_one::<String>(name).map_or("", String::as_str);
    let body = match name {
        "add" => json!({ "add": text("host-address") }),
        "remove" => json!({ "remove": text("member") }),
        "replace" => json!({ "replace": { "old": text("member"), "new": text("host-address") } }),
        _ => return Ok((target.ask("control")?, exit::OK)),
    };
    match target.post("control", &body.to_string())? {
        Sent::Answered(answer) if answer.get("refused").is_some() => Ok((answer, exit::REFUSED)),
        Sent::Answered(answer) => Ok((answer, exit::OK)),
        Sent::Unknown(why) => Ok((json!({ "unavailable": why }), exit::UNAVAILABLE)),
    }
}

/// Returns the text form of an answer to `control`.
pub(super) fn members_text(answer: &Value) -> String {
    let Some(members) = answer["members"].as_array() else {
        return format!("{answer}\n");
    };
    let mut out = format!("term {}\n", answer["term"]);
    for member in members {
        let field = |name: &str| member[name].as_str().unwrap_or_default();
        let _ = writeln!(
            out,
            "{}  {:<21}  {:<8}  lag {}  silent {} ms",
            field("id"),
            field("address"),
            field("role"),
            member["lag"],
            member["silent_ms"],
        );
    }
    out
}
