//! Measures what each host, range, link and call costs, for docs/CAPACITY.md.
//!
//! Usage: `cargo bench --bench capacity -- [PART]...`. Without a part, all parts are measured.

mod control;
mod daemons;
mod links;
mod measure;
#[path = "../../tests/support/mod.rs"]
mod support;
mod table;

/// Name and function of each part.
const PARTS: [(&str, fn()); 8] = [
    ("table", table::memory_and_copies),
    ("route", table::routes),
    ("renewals", control::renewals),
    ("fanout", control::fan_out),
    ("links", links::cost),
    ("idle", daemons::idle),
    ("calls", daemons::calls),
    ("load", daemons::load),
];

fn main() {
    let selected: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    for (name, part) in PARTS {
        if selected.is_empty() || selected.iter().any(|s| s == name) {
            println!("== {name}");
            part();
        }
    }
}
