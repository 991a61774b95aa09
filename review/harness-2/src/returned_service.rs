//! Case 6: keys of a service that one configuration leaves out and the next one names again.

use {
    crate::{
        fleet::Fleet,
        keyed_case::{self, config, CALM},
        record::Record,
    },
    std::{thread::sleep, time::Duration},
};

/// Number of times that the service is left out.
const ROUNDS: u64 = 5;
/// Time between two configurations. The site's list of troubles has 0.33 s for `config_storm` and 1.2 s for `config_race`.
const GAP: Duration = Duration::from_millis(800);
/// Time that the servers work on a request.
const WORK: Duration = Duration::from_millis(1500);

/// Returns how often the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> Result<u32, String> {
    keyed_case::run(record, WORK, |fleet, _| change_configurations(fleet, record, has_trouble))
}

fn change_configurations(fleet: &Fleet, record: &Record, has_trouble: bool) -> Result<(), String> {
    for round in 0..ROUNDS {
        for (version, has_keyed) in [(2 * round + 2, !has_trouble), (2 * round + 3, true)] {
            let what = if has_keyed { "with" } else { "without" };
            record.line(format_args!("operator: sends version {version}, {what} the service ucty and its route"));
            fleet.replace_config(&config(version, has_keyed))?;
            record.line(format_args!("operator: version {version} is acknowledged"));
            sleep(GAP);
        }
        sleep(CALM);
    }
    Ok(())
}
