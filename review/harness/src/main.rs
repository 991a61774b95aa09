//! Runs one case of the review: `review-harness CASE FOLDER`, in the root of the repository. It writes `record.txt` into
//! the folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0`
//! in the environment the disruption is left out.

mod cases;
mod client;
mod config;
mod fleet;
mod http;
mod json;
mod record;
mod server;

use {
    record::Record,
    std::{env, panic, path::PathBuf, process::ExitCode, sync::Arc},
};

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let words: Vec<String> = env::args().collect();
    let [_, name, folder] = words.as_slice() else {
        eprintln!("usage: review-harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let is_disrupted = env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = env::current_dir().expect("no current folder");
    record.say(&format!("case {name}, disruption: {is_disrupted}"));
    let verdict = match cases::find(name) {
        Some(case) => {
            let ended = panic::catch_unwind(panic::AssertUnwindSafe(|| case(&record, root, is_disrupted)));
            ended.unwrap_or_else(|_| Verdict::CouldNotRun("the program failed".to_owned()))
        }
        None => Verdict::CouldNotRun(format!("there is no case {name}")),
    };
    fleet::kill_all();
    let (text, code) = match verdict {
        Verdict::Held => ("result: the rule held".to_owned(), 0),
        Verdict::Broken => ("result: the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(reason) => (format!("result: the case could not run: {reason}"), 2),
    };
    record.say(&text);
    record.flush();
    ExitCode::from(code)
}
