use {
    super::exit,
    crate::{
        daemon::run_daemon,
        event::{level_from_word, start_logger, LogFormat, LogSettings, LEVEL_WORDS},
        settings::Settings,
    },
    clap::{Arg, ArgMatches, Command},
    std::{path::Path, process::ExitCode},
};

/// The example settings that `example-settings` prints.
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
        _ => run(&matches),
    }
}

fn command() -> Command {
    Command::new("clementined")
        .about("Routes calls to the servers that own their keys")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings_arg().global(true))
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_name("FORMAT")
                .value_parser(LogFormat::WORDS)
                .help("Format of the log lines; overrides log.format of the settings"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .value_parser(LEVEL_WORDS)
                .help("Lowest level that is logged; overrides log.level of the settings"),
        )
        .subcommand(Command::new("check").about("Checks a settings file without starting the daemon"))
        .subcommand(Command::new("example-settings").about("Prints example settings"))
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Settings file in JSON")
}

fn settings_path(matches: &ArgMatches) -> Result<&Path, ExitCode> {
    let missing = || exit::fail(exit::BAD_INPUT, &"--settings FILE is needed");
    matches
        .get_one::<String>("settings")
        .map(Path::new)
        .ok_or_else(missing)
}

fn load_settings(matches: &ArgMatches) -> Result<Settings, ExitCode> {
    let path = settings_path(matches)?;
    Settings::load(path).map_err(|e| exit::fail(exit::BAD_INPUT, &format!("{}: {e}", path.display())))
}

fn check(matches: &ArgMatches) -> ExitCode {
    match load_settings(matches) {
        Ok(settings) => {
            println!("the settings of host {} are good", settings.host);
            ExitCode::from(exit::OK)
        }
        Err(code) => code,
    }
}

/// Returns the log settings. Options of the command line override the settings file.
fn log_settings(settings: &Settings, matches: &ArgMatches) -> LogSettings {
    let word = |name: &str| matches.get_one::<String>(name).map(String::as_str);
    LogSettings {
        format: word("log-format")
            .and_then(LogFormat::from_word)
            .unwrap_or(settings.log.format),
        level: word("log-level")
            .and_then(level_from_word)
            .unwrap_or(settings.log.level),
    }
}

fn run(matches: &ArgMatches) -> ExitCode {
    let settings = match load_settings(matches) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let log = start_logger(log_settings(&settings, matches));
    match run_daemon(settings, log) {
        Ok(()) => ExitCode::from(exit::OK),
        Err(e) => exit::fail(exit::FAILED, &e),
    }
}
