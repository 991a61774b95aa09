//! Runs one case of the review: `review-case NUMBER FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod fleet;
mod foreign_ping;
mod http;
mod json;
mod keyed_case;
mod keyed_server;
mod record;
mod returned_service;

use {
    record::Record,
    std::{env, path::Path, process::ExitCode},
};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, number, folder] = args.as_slice() else {
        eprintln!("usage: review-case NUMBER FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = Record::create(&Path::new(folder).join("record.txt")).and_then(|record| {
        record.line(format_args!("case {number}, disruption: {}", if has_trouble { "yes" } else { "no" }));
        let broken = match number.as_str() {
            "6" => returned_service::run(&record, has_trouble),
            "7" => foreign_ping::run(&record, has_trouble),
            _ => Err("there is no such case".into()),
        };
        record.line(match &broken {
            Ok(0) => "the rule held".to_owned(),
            Ok(count) => format!("the rule was broken, {count} times"),
            Err(e) => format!("the case could not run: {e}"),
        });
        broken
    });
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
