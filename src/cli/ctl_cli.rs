use {
    super::exit,
    crate::{clock::Clock, control::CommandId, edge::CommandRequest, link::KeyRing, schema::Schema},
    anyhow::{anyhow, Context, Result},
    clap::{Arg, ArgMatches, Command},
    serde_json::Value,
    std::{fs, path::Path, process::ExitCode, time::Duration},
    ureq::Agent,
};

/// Longest time for an answer of a daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs `clementinectl`.
pub fn run_ctl() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("check", sub)) => check(sub),
        Some(("apply", sub)) if read_schema(sub).is_err() => check(sub),
        Some((name, sub)) => match operate(&matches, name, sub) {
            Ok(code) => code,
            Err(e) => exit::fail(exit::FAILED, &e),
        },
        None => exit::fail(exit::BAD_INPUT, &"a command is needed; see --help"),
    }
}

fn command() -> Command {
    let host = Arg::new("host").required(true).help("Name of the host");
    let server = Arg::new("server")
        .long("server")
        .value_name("IP:PORT")
        .help("Only this server of the host");
    Command::new("clementinectl")
        .about("Operates a cluster of clementined")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("address")
                .long("address")
                .value_name("IP:PORT")
                .help("Operator address of any daemon"),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .value_name("FILE")
                .help("File with the operator's key"),
        )
        .arg(
            Arg::new("command-id")
                .long("command-id")
                .value_name("ID")
                .help("Id of an earlier command whose answer was lost, to send it again"),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a schema file without a daemon")
                .arg(Arg::new("file").required(true)),
        )
        .subcommand(
            Command::new("apply")
                .about("Puts a schema file in force")
                .arg(Arg::new("file").required(true))
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("REVISION")
                        .help("Revision that the file was made against"),
                ),
        )
        .subcommand(Command::new("show").about("Prints the schema in force"))
        .subcommand(Command::new("status").about("Prints sessions, servers and owners"))
        .subcommand(
            Command::new("drain")
                .about("Takes all work from a host or a server")
                .args([host.clone(), server.clone()]),
        )
        .subcommand(Command::new("undrain").about("Ends a drain").args([host, server]))
}

fn check(matches: &ArgMatches) -> ExitCode {
    match read_schema(matches) {
        Ok((schema, _)) => {
            println!("the schema of cluster {} is good", schema.cluster);
            ExitCode::from(exit::OK)
        }
        Err(e) => exit::fail(exit::BAD_INPUT, &e),
    }
}

/// Reads and checks the schema file of the command line. Returns its text too.
fn read_schema(matches: &ArgMatches) -> Result<(Schema, String)> {
    let path = text(matches, "file");
    let json = fs::read_to_string(path).with_context(|| path.to_owned())?;
    let schema = Schema::from_json(&json).map_err(|e| anyhow!("{path}: {e}"))?;
    Ok((schema, json))
}

/// A daemon and the key to talk to it.
struct Target {
    agent: Agent,
    address: String,
    authorization: String,
}

fn operate(matches: &ArgMatches, name: &str, sub: &ArgMatches) -> Result<ExitCode> {
    let target = target(matches)?;
    if matches!(name, "show" | "status") {
        let (_, answer) = target.get(name)?;
        println!("{}", serde_json::to_string_pretty(&answer)?);
        return Ok(ExitCode::from(exit::OK));
    }
    let mut request = CommandRequest {
        command_id: matches
            .get_one::<String>("command-id")
            .cloned()
            .map_or_else(new_command_id, Ok)?,
        base: base(&target, name, sub)?,
        ..CommandRequest::default()
    };
    if name == "apply" {
        let (_, json) = read_schema(sub)?;
        request.schema = Some(serde_json::from_str(&json)?);
    } else {
        request.host = text(sub, "host").to_owned();
        request.server = sub.get_one::<String>("server").cloned().unwrap_or_default();
    }
    eprintln!("command id: {}", request.command_id);
    let (_, answer) = target.post(name, &request)?;
    println!("{answer}");
    Ok(ExitCode::from(exit_code(&answer)))
}

/// Returns the revision given on the command line, or the one in force.
fn base(target: &Target, name: &str, sub: &ArgMatches) -> Result<String> {
    if let (true, Some(base)) = (name == "apply", sub.try_get_one::<String>("base").ok().flatten()) {
        return Ok(base.clone());
    }
    let (_, shown) = target.get("show")?;
    let revision = shown["revision"]
        .as_str()
        .context("the daemon gave no revision")?;
    Ok(revision.to_owned())
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

fn target(matches: &ArgMatches) -> Result<Target> {
    let address = matches
        .get_one::<String>("address")
        .context("--address IP:PORT is needed")?;
    let key_file = matches
        .get_one::<String>("key-file")
        .context("--key-file FILE is needed")?;
    let keys = KeyRing::load(Path::new(key_file))?;
    let config = Agent::config_builder().http_status_as_error(false).proxy(None);
    Ok(Target {
        agent: config.timeout_global(Some(ANSWER_TIMEOUT)).build().into(),
        address: address.clone(),
        authorization: format!("Bearer {}", keys.first_hex()),
    })
}

impl Target {
    fn get(&self, name: &str) -> Result<(u16, Value)> {
        let url = format!("http://{}/{name}", self.address);
        let response = self
            .agent
            .get(url)
            .header("authorization", &self.authorization)
            .call();
        read(response.with_context(|| self.address.clone())?)
    }

    fn post(&self, name: &str, request: &CommandRequest) -> Result<(u16, Value)> {
        let url = format!("http://{}/{name}", self.address);
        let response = self.agent.post(url).header("authorization", &self.authorization);
        let response = response.send(serde_json::to_string(request)?);
        read(response.with_context(|| self.address.clone())?)
    }
}

fn read(mut response: http::Response<ureq::Body>) -> Result<(u16, Value)> {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string()?;
    let value = serde_json::from_str(&text).map_err(|_| anyhow!("status {status}: {}", text.trim()))?;
    Ok((status, value))
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn new_command_id() -> Result<String> {
    let number = getrandom::u64().map_err(|e| anyhow!("random numbers: {e}"))?;
    Ok(CommandId::new(Clock::System.wall(), number).to_string())
}
