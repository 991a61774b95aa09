//! Runs one case of the review: `review-case NAME RECORD`. With TROUBLE=0 in the environment, it does the same without
//! the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod fleet;
mod http;
mod json;
mod record;
mod server;
mod template;

use std::{path::Path, process::exit, thread, time::Duration};

/// Longest time of a run.
const LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path] = args.as_slice() else {
        eprintln!("review-case NAME RECORD is expected");
        exit(2);
    };
    record::open(Path::new(path));
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    record!("case {name}, {} the disruption", if trouble { "with" } else { "without" });
    thread::spawn(|| {
        thread::sleep(LIMIT);
        record!("the time is over");
        fleet::kill_all();
        exit(2);
    });
    let case = match name.as_str() {
        "late-ping" => cases::late_ping,
        "wrong-life" => cases::wrong_life,
        "removed-server" => cases::removed_server,
        "popular-request" => cases::popular_request,
        other => {
            eprintln!("no case {other}");
            exit(2);
        }
    };
    let result = std::panic::catch_unwind(|| case(trouble));
    fleet::kill_all();
    let code = match result {
        Ok(broken) if broken.is_empty() => {
            record!("the rule held");
            0
        }
        Ok(broken) => {
            for text in &broken {
                record!("result: {text}");
                println!("{text}");
            }
            1
        }
        Err(_) => {
            record!("the case could not run");
            2
        }
    };
    exit(code);
}
