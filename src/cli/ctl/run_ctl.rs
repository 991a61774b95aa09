use {
    super::{
        command_line::command_line,
        operator_client::{ChangeResult, OperatorClient},
        progress::{ranges_left, sessions_behind, wait_until},
        schema_diff::differences,
        text_output::{control_text, diff_text, evacuation_text, explain_text, split_text, status_text},
    },
    crate::{cli::exit, clock::Clock, control::CommandId, edge::CommandRequest, schema::Schema},
    anyhow::{anyhow, bail, Context, Result},
    clap::ArgMatches,
    percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC},
    serde_json::{json, Value},
    std::{fs, io, process::ExitCode, time::Duration},
};

/// The example schema file that `example-schema` prints.
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
        "show" => run_query(sub, "show", |in_force| pretty(&in_force["schema"])),
        "status" => run_query(sub, "status", status_text),
        "explain" => run_query(sub, &explain_query(sub), explain_text),
        "wait" => wait(sub),
        "control" => control(sub),
        "split" => match sub.subcommand() {
            Some(("status", sub)) => run_query(sub, "split", split_text),
            Some((step, sub)) => run_change(&format!("split-{step}"), sub),
            None => bail!("a command is needed; see split --help"),
        },
        "evacuate" => match sub.subcommand() {
            Some((step, sub)) if step == "list" || is_set(sub, "dry-run") => {
                run_query(sub, &evacuation_query(sub), evacuation_text)
            }
            Some((step, sub)) => run_change(&format!("evacuate-{step}"), sub),
            None => bail!("a command is needed; see evacuate --help"),
        },
        _ => run_change(name, sub),
    }
}

/// Checks the schema files of the command line, so that an invalid file is refused before anything is sent.
fn check_files(sub: &ArgMatches) -> Result<()> {
    for name in ["file", "other"] {
        if optional_value(sub, name).is_some() {
            read_schema(sub, name)?;
        }
    }
    Ok(())
}

/// Reads and validates the schema file that the argument `name` gives.
fn read_schema(sub: &ArgMatches, name: &str) -> Result<(Schema, Value)> {
    let path = value_or_empty(sub, name);
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
    let (old, new) = if optional_value(sub, "other").is_some() {
        (file, read_schema(sub, "other")?.1)
    } else {
        (OperatorClient::new(sub)?.query("show")?["schema"].clone(), file)
    };
    print_differences(sub, &old, &new, &json!({}));
    Ok(exit::OK)
}

fn plan(sub: &ArgMatches) -> Result<u8> {
    let (schema, new) = read_schema(sub, "file")?;
    let client = OperatorClient::new(sub)?;
    let in_force = client.query("show")?;
    let status = client.query("status")?;
    let ranges = status["ranges"].as_array().map_or(&[][..], Vec::as_slice);
    let is_divided = |name: &Value| {
        let service = name.as_str().and_then(|name| schema.service(name));
        service.is_some_and(|service| service.divided_by_key)
    };
    let affected = ranges
        .iter()
        .filter(|r| !r["server"].is_null() && !is_divided(&r["service"]));
    let affected = affected.count();
    if affected > 0 {
        eprintln!(
            "warning: {affected} ranges of services that are no longer divided by key lose their owners"
        );
    }
    let extra = json!({ "revision": in_force["revision"], "ranges_that_lose_their_owners": affected });
    print_differences(sub, &in_force["schema"], &new, &extra);
    Ok(exit::OK)
}

fn print_differences(sub: &ArgMatches, old: &Value, new: &Value, extra: &Value) {
    let found = differences(old, new);
    let listed: Vec<Value> = found
        .iter()
        .map(|d| json!({ "path": d.path, "old": d.old, "new": d.new }))
        .collect();
    let mut answer = json!({ "differences": listed });
    if let (Value::Object(answer), Value::Object(extra)) = (&mut answer, extra) {
        answer.extend(extra.clone());
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

fn run_query(sub: &ArgMatches, path_and_query: &str, as_text: impl Fn(&Value) -> String) -> Result<u8> {
    let answer = OperatorClient::new(sub)?.query(path_and_query)?;
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

fn explain_query(sub: &ArgMatches) -> String {
    let encoded = |name: &str| utf8_percent_encode(value_or_empty(sub, name), NON_ALPHANUMERIC).to_string();
    format!(
        "explain?service={}&key={}&method={}&path={}",
        encoded("service"),
        encoded("key"),
        encoded("method"),
        encoded("path")
    )
}

fn evacuation_query(sub: &ArgMatches) -> String {
    match optional_value(sub, "domain") {
        Some(domain) => {
            let encoded = utf8_percent_encode(domain, NON_ALPHANUMERIC);
            format!("evacuations?failure_domain={encoded}")
        }
        None => "evacuations".into(),
    }
}

fn wait(sub: &ArgMatches) -> Result<u8> {
    let wanted = optional_value(sub, "revision");
    let client = OperatorClient::new(sub)?;
    let pending = |answer: &Value| {
        let known = answer["revision"].as_str().unwrap_or_default();
        match wanted {
            Some(wanted) if revision_index(known) < revision_index(wanted) => {
                Some(format!("{wanted} is not known to the daemon yet"))
            }
            _ => sessions_behind(answer),
        }
    };
    let answer = wait_until(&client, "in-force", wait_timeout(sub), pending)?;
    print(sub, &answer, |a| {
        format!("{} is in force\n", a["revision"].as_str().unwrap_or("?"))
    });
    Ok(exit::OK)
}

fn control(sub: &ArgMatches) -> Result<u8> {
    let Some((name, sub)) = sub.subcommand() else {
        bail!("a command is needed; see control --help");
    };
    let client = OperatorClient::new(sub)?;
    let request = match name {
        "add" => json!({ "add": value_or_empty(sub, "peer") }),
        "remove" => json!({ "remove": value_or_empty(sub, "member") }),
        "replace" => {
            json!({ "replace": { "old": value_or_empty(sub, "old"), "new": value_or_empty(sub, "new") } })
        }
        _ => return run_query(sub, "control", control_text),
    };
    let answer = match client.change("control", &request)? {
        ChangeResult::Answered(answer) => answer,
        ChangeResult::Unknown(why) => {
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

/// Returns the log index that a revision starts with, or 0 if the revision is malformed.
fn revision_index(revision: &str) -> u64 {
    let index = revision.split('-').next();
    index.and_then(|index| index.parse().ok()).unwrap_or_default()
}

fn run_change(name: &str, sub: &ArgMatches) -> Result<u8> {
    let client = OperatorClient::new(sub)?;
    let base = match optional_value(sub, "base") {
        Some(base) => base.to_owned(),
        None => current_revision(&client)?,
    };
    let command_id = optional_value(sub, "command-id").map_or_else(new_command_id, |id| Ok(id.to_owned()))?;
    eprintln!("command id: {command_id}");
    let request = CommandRequest {
        command_id,
        base,
        ..command_fields(name, sub)?
    };
    let answer = match client.change(name, &request)? {
        ChangeResult::Answered(answer) => answer,
        ChangeResult::Unknown(why) => {
            let id = &request.command_id;
            eprintln!("it is not known whether the command took effect: {why}");
            eprintln!("send it again with: --command-id {id} --base {}", request.base);
            return Ok(exit::UNAVAILABLE);
        }
    };
    print(sub, &answer, |answer| format!("{answer}\n"));
    let code = exit_code(&answer);
    if code == exit::OK && is_set(sub, "wait") {
        wait_for_effect(name, sub, &client)?;
    }
    Ok(code)
}

/// Returns the fields of a command from its arguments, without the command id and the base revision.
fn command_fields(name: &str, sub: &ArgMatches) -> Result<CommandRequest> {
    let value = |name: &str| optional_value(sub, name).unwrap_or_default().to_owned();
    let request = CommandRequest::default();
    Ok(match name {
        "apply" => CommandRequest {
            schema: Some(read_schema(sub, "file")?.1),
            version: sub.get_one::<u64>("version").copied().unwrap_or_default(),
            ..request
        },
        "release" => CommandRequest {
            fingerprint: value("fingerprint"),
            ..request
        },
        "evacuate-start" | "evacuate-finish" => CommandRequest {
            failure_domain: value("domain"),
            ..request
        },
        "move" => CommandRequest {
            service: value("service"),
            start: value("start"),
            end: optional_value(sub, "end").map(str::to_owned),
            host: value("to-host"),
            server: value("to-server"),
            ..request
        },
        _ => CommandRequest {
            host: value("host"),
            server: value("server"),
            ..request
        },
    })
}

fn wait_for_effect(name: &str, sub: &ArgMatches, client: &OperatorClient) -> Result<()> {
    if name == "drain" {
        let (host, server) = (value_or_empty(sub, "host"), value_or_empty(sub, "server"));
        wait_until(client, "status", wait_timeout(sub), |status| {
            ranges_left(status, host, server)
        })?;
        eprintln!("{host}: no ranges left");
        return Ok(());
    }
    wait_until(client, "in-force", wait_timeout(sub), sessions_behind)?;
    eprintln!("in force at every live session");
    Ok(())
}

fn current_revision(client: &OperatorClient) -> Result<String> {
    let in_force = client.query("show")?;
    let revision = in_force["revision"].as_str();
    Ok(revision.context("the daemon returned no revision")?.to_owned())
}

fn exit_code(answer: &Value) -> u8 {
    let exit_codes = [
        ("accepted", exit::OK),
        ("conflict", exit::CONFLICT),
        ("refused", exit::REFUSED),
    ];
    let found = exit_codes.iter().find(|(word, _)| answer.get(word).is_some());
    found.map_or(exit::UNAVAILABLE, |(_, code)| *code)
}

fn wait_timeout(sub: &ArgMatches) -> Duration {
    Duration::from_millis(sub.get_one::<u64>("timeout-ms").copied().unwrap_or_default())
}

/// Prints an answer in the format that `--output` selects.
fn print(sub: &ArgMatches, answer: &Value, as_text: impl Fn(&Value) -> String) {
    if optional_value(sub, "output") == Some("json") {
        println!("{}", pretty(answer).trim_end());
    } else {
        print!("{}", as_text(answer));
    }
}

fn pretty(value: &Value) -> String {
    format!("{value:#}\n")
}

fn value_or_empty<'a>(sub: &'a ArgMatches, name: &str) -> &'a str {
    optional_value(sub, name).unwrap_or_default()
}

fn optional_value<'a>(sub: &'a ArgMatches, name: &str) -> Option<&'a str> {
    let value = sub.try_get_one::<String>(name).ok().flatten();
    value.map(String::as_str)
}

fn is_set(sub: &ArgMatches, name: &str) -> bool {
    sub.try_get_one::<bool>(name)
        .ok()
        .flatten()
        .copied()
        .unwrap_or_default()
}

fn new_command_id() -> Result<String> {
    let number = getrandom::u64().map_err(|e| anyhow!("cannot get a random number: {e}"))?;
    Ok(CommandId::new(Clock::System.wall(), number).to_string())
}
