use {
    super::{args::number, exit},
    crate::{
        clock::Ms,
        standin::{run_standin as run, StandinSettings},
    },
    clap::{value_parser, Arg, ArgAction, Command},
    std::{net::SocketAddr, process::ExitCode},
};

/// Runs `clementine-standin`.
pub fn run_standin() -> ExitCode {
    let matches = Command::new("clementine-standin")
        .about("Example backend server that records what it was granted and what it ran")
        .version(env!("CARGO_PKG_VERSION"))
        .args([
            Arg::new("service")
                .long("service")
                .required(true)
                .help("Name of the service"),
            address("address", "Address of this server").required(true),
            address("daemon", "Server address of the local daemon").required(true),
            address("report", "Address of the report of grants and runs"),
            number("slots", "12", "Calls that run at once"),
            number("connections", "130", "Most connections"),
            number("work-ms", "1", "Time that a call takes, in ms"),
            Arg::new("crash-on")
                .long("crash-on")
                .value_name("TEXT")
                .help("Crash on a call whose path or body holds this text"),
            Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(ArgAction::SetTrue)
                .help("Refuse calls with an epoch that was not granted"),
        ])
        .get_matches();
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or_default();
    let address = |name: &str| matches.get_one::<SocketAddr>(name).copied();
    let (Some(own), Some(daemon)) = (address("address"), address("daemon")) else {
        return exit::fail(exit::BAD_INPUT, &"--address and --daemon are needed");
    };
    let settings = StandinSettings {
        service: matches.get_one::<String>("service").cloned().unwrap_or_default(),
        address: own,
        daemon,
        report: address("report"),
        slots: number("slots"),
        connections: number("connections"),
        work: Ms::from(number("work-ms")),
        crash_on: matches.get_one("crash-on").cloned(),
        checks_fencing: matches.get_flag("checks-fencing"),
    };
    match run(settings) {
        Ok(()) => ExitCode::from(exit::OK),
        Err(e) => exit::fail(exit::FAILED, &e),
    }
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}
