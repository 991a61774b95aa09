use {
    super::{args::number_option, exit},
    crate::{
        clock::Ms,
        load::{run_load as run, LoadSettings},
        schema::Schema,
    },
    clap::{value_parser, Arg, ArgAction, Command},
    std::{fs, net::SocketAddr, process::ExitCode},
};

/// Runs `clementine-load`.
pub fn run_load() -> ExitCode {
    let matches = command().get_matches();
    let path = matches.get_one::<String>("schema").map_or("", String::as_str);
    let schema = fs::read_to_string(path)
        .map_err(|e| e.to_string())
        .and_then(|json| Schema::from_json(&json).map_err(|e| e.to_string()));
    let schema = match schema {
        Ok(schema) => schema,
        Err(e) => return exit::fail(exit::BAD_INPUT, &format!("{path}: {e}")),
    };
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or_default();
    let settings = LoadSettings {
        addresses: matches
            .get_many::<SocketAddr>("address")
            .unwrap_or_default()
            .copied()
            .collect(),
        schema,
        connections: number("connections").max(1),
        calls: number("calls"),
        keys: number("keys").max(1),
        deadline: Ms::from(number("deadline-ms")),
        pause: Ms::from(number("pause-ms")),
        seed: matches.get_one::<u64>("seed").copied().unwrap_or_default(),
    };
    match run(&settings) {
        Ok(report) => {
            print!("{report}");
            let is_success = !matches.get_flag("all-answered") || report.all_answered();
            ExitCode::from(if is_success && report.wrong() == 0 {
                exit::OK
            } else {
                exit::FAILED
            })
        }
        Err(e) => exit::fail(exit::FAILED, &e),
    }
}

fn command() -> Command {
    Command::new("clementine-load")
        .about("Sends calls of every kind in a schema and reports outcomes and latencies")
        .version(env!("CARGO_PKG_VERSION"))
        .args([
            Arg::new("address")
                .long("address")
                .value_name("IP:PORT")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Caller address of a daemon; can be given several times"),
            Arg::new("schema")
                .long("schema")
                .value_name("FILE")
                .required(true)
                .help("Schema file"),
            number_option(
                "connections",
                "16",
                "Number of connections; each sends one call at a time",
            ),
            number_option("calls", "2000", "Total number of calls"),
            number_option("keys", "500", "Number of keys that calls choose from"),
            number_option("deadline-ms", "3000", "Deadline of each call, in ms"),
            number_option("pause-ms", "0", "Pause of each connection after a call, in ms"),
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the random choice of calls and keys"),
            Arg::new("all-answered")
                .long("all-answered")
                .action(ArgAction::SetTrue)
                .help("Exit with an error unless every call is answered"),
        ])
}
