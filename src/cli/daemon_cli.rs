use {
    super::exit,
    crate::{daemon::run_daemon, event::start_logger, settings::Settings},
    clap::{Arg, ArgMatches, Command},
    std::{path::Path, process::ExitCode},
};

/// The commented example settings.
const EXAMPLE_SETTINGS: &str = include_str!("../../examples/settings.json");

/// Runs `clementined`.
pub fn run_daemon_cli() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("check", sub)) => check(sub),
        Some(("example-settings", _)) => {
            print!("{EXAMPLE_SETTINGS}");
            ExitCode::from(exit::OK)
        }
        _ => serve(&matches),
    }
}

fn command() -> Command {
    Command::new("clementined")
        .about("Routes calls to the servers that own their keys")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings_arg().global(true))
        .subcommand(Command::new("check").about("Checks a file of settings and starts nothing"))
        .subcommand(Command::new("example-settings").about("Prints example settings"))
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("File of settings, in JSON")
}

fn settings_path(matches: &ArgMatches) -> Result<&Path, ExitCode> {
    let missing = || exit::fail(exit::BAD_INPUT, &"--settings FILE is needed");
    matches
        .get_one::<String>("settings")
        .map(Path::new)
        .ok_or_else(missing)
}

fn load(matches: &ArgMatches) -> Result<Settings, ExitCode> {
    let path = settings_path(matches)?;
    Settings::load(path).map_err(|e| exit::fail(exit::BAD_INPUT, &format!("{}: {e}", path.display())))
}

fn check(matches: &ArgMatches) -> ExitCode {
    match load(matches) {
        Ok(settings) => {
            println!("the settings of host {} are good", settings.host);
            ExitCode::from(exit::OK)
        }
        Err(code) => code,
    }
}

fn serve(matches: &ArgMatches) -> ExitCode {
    let settings = match load(matches) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let log = start_logger(settings.log);
    match run_daemon(settings, log) {
        Ok(()) => ExitCode::from(exit::OK),
        Err(e) => exit::fail(exit::FAILED, &e),
    }
}
