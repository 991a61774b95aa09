//! Slopes for docs/CAPACITY.md. `cargo bench --bench capacity -- PART` measures one part, without a part all.

mod control;
mod daemons;
mod links;
mod measure;
#[path = "../../tests/support/mod.rs"]
mod support;
mod table;

/// The parts by name.
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
    let wanted: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    for (name, part) in PARTS {
        if wanted.is_empty() || wanted.iter().any(|w| w == name) {
            println!("== {name}");
            part();
        }
    }
}
