use {
    super::{args::number_option, exit},
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
        .about("Example backend server that records its grants and the calls that it ran")
        .version(env!("CARGO_PKG_VERSION"))
        .args([
            Arg::new("service")
                .long("service")
                .required(true)
                .help("Name of the service"),
            address_option("address", "Address of this server").required(true),
            address_option("daemon", "Server address of the local daemon").required(true),
            address_option(
                "report",
                "Address on which GET /report returns the grants and runs",
            ),
            number_option("slots", "12", "Maximum number of calls that run at the same time"),
            number_option("connections", "130", "Maximum number of connections"),
            number_option("work-ms", "1", "Duration of a call, in ms"),
            Arg::new("crash-on")
                .long("crash-on")
                .value_name("TEXT")
                .help("Crash on a call whose path or body contains this text"),
            Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(ArgAction::SetTrue)
                .help("Refuse calls whose epoch was not granted"),
        ])
        .get_matches();
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or_default();
    let address = |name: &str| matches.get_one::<SocketAddr>(name).copied();
    let (Some(server_address), Some(daemon_address)) = (address("address"), address("daemon")) else {
        return exit::fail(exit::BAD_INPUT, &"--address and --daemon are needed");
    };
    let settings = StandinSettings {
        service: matches.get_one::<String>("service").cloned().unwrap_or_default(),
        address: server_address,
        daemon_address,
        report_listen_address: address("report"),
        slots: number("slots"),
        connections: number("connections"),
        call_duration: Ms::from(number("work-ms")),
        crash_on: matches.get_one("crash-on").cloned(),
        checks_fencing: matches.get_flag("checks-fencing"),
    };
    match run(settings) {
        Ok(()) => ExitCode::from(exit::OK),
        Err(e) => exit::fail(exit::FAILED, &e),
    }
}

fn address_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}
