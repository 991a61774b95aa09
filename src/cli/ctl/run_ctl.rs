use {
    super::{
        command_line::command_line,
        operator_client::{Sent, Target},
        progress::{ranges_left, sessions_behind, wait_until},
        schema_diff::differences,
        text_output::{control_text, diff_text, explain_text, split_text, status_text},
    },
    crate::{cli::exit, clock::Clock, control::CommandId, edge::CommandRequest, schema::Schema},
    anyhow::{anyhow, bail, Context, Result},
    clap::ArgMatches,
    percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC},
    serde_json::{json, Value},
    std::{fs, io, process::ExitCode, time::Duration},
};

/// The example schema file.
const EXAMPLE_SCHEMA: &str = include_str!("../../../examples/schema.json");

/// Runs `clementinectl`.
pub fn run_ctl() -> ExitCode {
    let matches = command_line().get_matches();
    let Some((name, sub)) = matches.subcommand() else {
        return exit::fail(exit::BAD_INPUT, &"a command is needed; see --help");
    };
    if let Err(e) = check_files(sub) {
        return exit::fail(exit::BAD_INPUT, &e);
    }
    match run(name, sub) {
        Ok(code) => ExitCode::from(code),
        Err(e) => exit::fail(exit::FAILED, &e),
    }
}

fn run(name: &str, sub: &ArgMatches) -> Result<u8> {
    match name {
        "check" => check(sub),
        "diff" => diff(sub),
        "plan" => plan(sub),
        "completions" => completions(sub),
        "example-schema" => {
            print!("{EXAMPLE_SCHEMA}");
            Ok(exit::OK)
        }
        "show" => question(sub, "show", |shown| pretty(&shown["schema"])),
        "status" => question(sub, "status", status_text),
        "explain" => question(sub, &explain_question(sub), explain_text),
        "wait" => wait(sub),
        "control" => control(sub),
        "split" => match sub.subcommand() {
            Some(("status", sub)) => question(sub, "split", split_text),
            Some((step, sub)) => change(&format!("split-{step}"), sub),
            None => bail!("a command is needed; see split --help"),
        },
        _ => change(name, sub),
    }
}

/// A file that is refused ends every command before a daemon is asked.
fn check_files(sub: &ArgMatches) -> Result<()> {
    for name in ["file", "other"] {
        if optional(sub, name).is_some() {
            read_schema(sub, name)?;
        }
    }
    Ok(())
}

/// Reads and checks a schema file of the command line.
fn read_schema(sub: &ArgMatches, name: &str) -> Result<(Schema, Value)> {
    let path = text(sub, name);
    let json = fs::read_to_string(path).with_context(|| path.to_owned())?;
    let schema = Schema::from_json(&json).map_err(|e| anyhow!("{path}: {e}"))?;
    Ok((schema, serde_json::from_str(&json)?))
}

fn check(sub: &ArgMatches) -> Result<u8> {
    let (schema, _) = read_schema(sub, "file")?;
    print(sub, &json!({ "cluster": schema.cluster, "good": true }), |_| {
        format!("the schema of cluster {} is good\n", schema.cluster)
    });
    Ok(exit::OK)
}

fn diff(sub: &ArgMatches) -> Result<u8> {
    let (_, file) = read_schema(sub, "file")?;
    let (old, new) = if optional(sub, "other").is_some() {
        (file, read_schema(sub, "other")?.1)
    } else {
        (Target::new(sub)?.ask("show")?["schema"].clone(), file)
    };
    print_differences(sub, &old, &new, &json!({}));
    Ok(exit::OK)
}

fn plan(sub: &ArgMatches) -> Result<u8> {
    let (schema, new) = read_schema(sub, "file")?;
    let target = Target::new(sub)?;
    let shown = target.ask("show")?;
    let status = target.ask("status")?;
    let ranges = status["ranges"].as_array().map_or(&[][..], Vec::as_slice);
    let divided = |name: &Value| {
        let service = name.as_str().and_then(|name| schema.service(name));
        service.is_some_and(|service| service.divided_by_key)
    };
    let lost = ranges
        .iter()
        .filter(|r| !r["server"].is_null() && !divided(&r["service"]));
    let lost = lost.count();
    if lost > 0 {
        eprintln!("warning: {lost} ranges of services that are no longer divided by key lose their owners");
    }
    let more = json!({ "revision": shown["revision"], "ranges_that_lose_their_owners": lost });
    print_differences(sub, &shown["schema"], &new, &more);
    Ok(exit::OK)
}

fn print_differences(sub: &ArgMatches, old: &Value, new: &Value, more: &Value) {
    let found = differences(old, new);
    let listed: Vec<Value> = found
        .iter()
        .map(|d| json!({ "path": d.path, "old": d.old, "new": d.new }))
        .collect();
    let mut answer = json!({ "differences": listed });
    if let (Value::Object(answer), Value::Object(more)) = (&mut answer, more) {
        answer.extend(more.clone());
    }
    print(sub, &answer, |_| match found.as_slice() {
        [] => "no difference\n".into(),
        found => diff_text(found),
    });
}

fn completions(sub: &ArgMatches) -> Result<u8> {
    let shell = sub.get_one::<clap_complete::Shell>("shell");
    let shell = shell.context("a shell is needed")?;
    clap_complete::generate(*shell, &mut command_line(), "clementinectl", &mut io::stdout());
    Ok(exit::OK)
}

fn question(sub: &ArgMatches, question: &str, as_text: impl Fn(&Value) -> String) -> Result<u8> {
    let answer = Target::new(sub)?.ask(question)?;
    if let Some(refused) = answer.get("refused") {
        bail!(
            "{}: {}",
            refused["field"].as_str().unwrap_or_default(),
            refused["reason"]
        );
    }
    print(sub, &answer, as_text);
    Ok(exit::OK)
}

fn explain_question(sub: &ArgMatches) -> String {
    let coded = |name: &str| utf8_percent_encode(text(sub, name), NON_ALPHANUMERIC).to_string();
    format!(
        "explain?service={}&key={}&method={}&path={}",
        coded("service"),
        coded("key"),
        coded("method"),
        coded("path")
    )
}

fn wait(sub: &ArgMatches) -> Result<u8> {
    let wanted = optional(sub, "revision");
    let target = Target::new(sub)?;
    let done = |answer: &Value| {
        let known = answer["revision"].as_str().unwrap_or_default();
        match wanted {
            Some(wanted) if index(known) < index(wanted) => Some(format!("{wanted} is not known there")),
            _ => sessions_behind(answer),
        }
    };
    let answer = wait_until(&target, "in-force", patience(sub), done)?;
    print(sub, &answer, |a| {
        format!("{} is in force\n", a["revision"].as_str().unwrap_or("?"))
    });
    Ok(exit::OK)
}

fn control(sub: &ArgMatches) -> Result<u8> {
    let Some((name, sub)) = sub.subcommand() else {
        bail!("a command is needed; see control --help");
    };
    let target = Target::new(sub)?;
    let request = match name {
        "add" => json!({ "add": text(sub, "peer") }),
        "remove" => json!({ "remove": text(sub, "member") }),
        "replace" => json!({ "replace": { "old": text(sub, "old"), "new": text(sub, "new") } }),
        _ => return question(sub, "control", control_text),
    };
    let answer = match target.change("control", &request)? {
        Sent::Answered(answer) => answer,
        Sent::Unknown(why) => {
            eprintln!("it is not known whether the command took effect: {why}; see control status");
            return Ok(exit::UNAVAILABLE);
        }
    };
    print(sub, &answer, control_text);
    Ok(if answer.get("refused").is_some() {
        exit::REFUSED
    } else {
        exit::OK
    })
}

/// Returns the log index of a revision.
fn index(revision: &str) -> u64 {
    let index = revision.split('-').next();
    index.and_then(|index| index.parse().ok()).unwrap_or_default()
}

fn change(name: &str, sub: &ArgMatches) -> Result<u8> {
    let target = Target::new(sub)?;
    let base = match optional(sub, "base") {
        Some(base) => base.to_owned(),
        None => revision(&target)?,
    };
    let command_id = optional(sub, "command-id").map_or_else(new_command_id, |id| Ok(id.to_owned()))?;
    eprintln!("command id: {command_id}");
    let request = CommandRequest {
        command_id,
        base,
        ..fields(name, sub)?
    };
    let answer = match target.change(name, &request)? {
        Sent::Answered(answer) => answer,
        Sent::Unknown(why) => {
            let id = &request.command_id;
            eprintln!("it is not known whether the command took effect: {why}");
            eprintln!("send it again with: --command-id {id} --base {}", request.base);
            return Ok(exit::UNAVAILABLE);
        }
    };
    print(sub, &answer, |answer| format!("{answer}\n"));
    let code = exit_code(&answer);
    if code == exit::OK && flag(sub, "wait") {
        wait_for_effect(name, sub, &target)?;
    }
    Ok(code)
}

/// Returns the fields of one command.
fn fields(name: &str, sub: &ArgMatches) -> Result<CommandRequest> {
    let given = |name: &str| optional(sub, name).unwrap_or_default().to_owned();
    let request = CommandRequest::default();
    Ok(match name {
        "apply" => CommandRequest {
            schema: Some(read_schema(sub, "file")?.1),
            version: sub.get_one::<u64>("version").copied().unwrap_or_default(),
            ..request
        },
        "release" => CommandRequest {
            fingerprint: given("fingerprint"),
            ..request
        },
        "move" => CommandRequest {
            service: given("service"),
            start: given("start"),
            end: optional(sub, "end").map(str::to_owned),
            host: given("to-host"),
            server: given("to-server"),
            ..request
        },
        _ => CommandRequest {
            host: given("host"),
            server: given("server"),
            ..request
        },
    })
}

fn wait_for_effect(name: &str, sub: &ArgMatches, target: &Target) -> Result<()> {
    if name == "drain" {
        let (host, server) = (text(sub, "host"), text(sub, "server"));
        wait_until(target, "status", patience(sub), |status| {
            ranges_left(status, host, server)
        })?;
        eprintln!("{host}: no ranges left");
        return Ok(());
    }
    wait_until(target, "in-force", patience(sub), sessions_behind)?;
    eprintln!("in force everywhere");
    Ok(())
}

fn revision(target: &Target) -> Result<String> {
    let shown = target.ask("show")?;
    let revision = shown["revision"].as_str();
    Ok(revision.context("the daemon gave no revision")?.to_owned())
}

fn exit_code(answer: &Value) -> u8 {
    let known = [
        ("accepted", exit::OK),
        ("conflict", exit::CONFLICT),
        ("refused", exit::REFUSED),
    ];
    let found = known.iter().find(|(word, _)| answer.get(word).is_some());
    found.map_or(exit::UNAVAILABLE, |(_, code)| *code)
}

fn patience(sub: &ArgMatches) -> Duration {
    Duration::from_millis(sub.get_one::<u64>("timeout-ms").copied().unwrap_or_default())
}

/// Prints an answer in the form that the command line asks for.
fn print(sub: &ArgMatches, answer: &Value, as_text: impl Fn(&Value) -> String) {
    if optional(sub, "output") == Some("json") {
        println!("{}", pretty(answer).trim_end());
    } else {
        print!("{}", as_text(answer));
    }
}

fn pretty(value: &Value) -> String {
    format!("{value:#}\n")
}

fn text<'a>(sub: &'a ArgMatches, name: &str) -> &'a str {
    optional(sub, name).unwrap_or_default()
}

fn optional<'a>(sub: &'a ArgMatches, name: &str) -> Option<&'a str> {
    let value = sub.try_get_one::<String>(name).ok().flatten();
    value.map(String::as_str)
}

fn flag(sub: &ArgMatches, name: &str) -> bool {
    sub.try_get_one::<bool>(name)
        .ok()
        .flatten()
        .copied()
        .unwrap_or_default()
}

fn new_command_id() -> Result<String> {
    let number = getrandom::u64().map_err(|e| anyhow!("random numbers: {e}"))?;
    Ok(CommandId::new(Clock::System.wall(), number).to_string())
}
