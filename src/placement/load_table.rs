use {
    super::KeyLoad,
    crate::{clock::Ms, key::Key, wire::peer::RangeLoad},
};

/// Part of the newest report in the smoothed load.
const SMOOTHING: f64 = 0.2;
/// Change of a load that is no noise: a part of the load, and slots. It is taken at once.
const JUMP: f64 = 0.5;
const JUMP_MIN: f64 = 0.2;
/// Time without a report after which a range has no load.
const STALE_AFTER: Ms = Ms(15_000);

/// Smoothed load of one range.
#[derive(Clone, Debug)]
pub(super) struct BookedLoad {
    service: String,
    start: Key,
    pub load: f64,
    pub top: Vec<KeyLoad>,
    pub middle: Option<Key>,
    at: Ms,
}

/// The latest reports of all daemons, kept by the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadBook {
    /// Sorted by service and start.
    loads: Vec<BookedLoad>,
}

impl LoadBook {
    /// Takes the report of a range.
    pub fn take(&mut self, report: &RangeLoad, now: Ms) {
        if !report.busy_slots.is_finite() || report.busy_slots < 0.0 {
            return;
        }
        let start = Key::new(report.start.clone());
        let top = report.top.iter().map(|t| KeyLoad {
            key: Key::new(t.key.clone()),
            load: t.busy_slots,
        });
        let mut booked = BookedLoad {
            service: report.service.clone(),
            start,
            load: report.busy_slots,
            top: top.collect(),
            middle: (!report.middle.is_empty()).then(|| Key::new(report.middle.clone())),
            at: now,
        };
        match self.position(&booked.service, &booked.start) {
            Ok(i) => {
                booked.load = smooth(self.loads[i].load, report.busy_slots);
                self.loads[i] = booked;
            }
            Err(i) => self.loads.insert(i, booked),
        }
    }

    /// Returns the load of the range that starts at `start`, unless it is too old.
    pub fn get(&self, service: &str, start: &Key, now: Ms) -> Option<&BookedLoad> {
        let found = self.position(service, start).ok().map(|i| &self.loads[i]);
        found.filter(|load| now - load.at < STALE_AFTER)
    }

    /// Forgets loads that are too old.
    pub fn prune(&mut self, now: Ms) {
        self.loads.retain(|load| now - load.at < STALE_AFTER);
    }

    fn position(&self, service: &str, start: &Key) -> Result<usize, usize> {
        self.loads
            .binary_search_by(|l| (l.service.as_str(), &l.start).cmp(&(service, start)))
    }
}

fn smooth(before: f64, seen: f64) -> f64 {
    let change = seen - before;
    let is_jump = change.abs() > before * JUMP + JUMP_MIN;
    if is_jump {
        seen
    } else {
        before + change * SMOOTHING
    }
}
