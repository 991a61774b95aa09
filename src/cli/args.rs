use clap::{value_parser, Arg};

/// Returns an option `--name N` that takes a whole number.
pub(super) fn number_option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u32))
        .default_value(default)
        .help(help)
}
