use {
    super::KeyLoad,
    crate::{clock::Ms, key::Key, wire::peer::RangeLoad},
};

/// Weight of the newest report in the exponential moving average of a load.
const SMOOTHING_FACTOR: f64 = 0.2;
/// A change of more than this share of the load plus [`JUMP_MIN_SLOTS`] is too large for noise and is taken over
/// unsmoothed.
const JUMP_SHARE: f64 = 0.5;
const JUMP_MIN_SLOTS: f64 = 0.2;
/// Time without a report after which a range counts as idle.
const STALE_AFTER: Ms = Ms(15_000);

/// Smoothed load of one range.
#[derive(Clone, Debug)]
pub(super) struct SmoothedLoad {
    service: String,
    start: Key,
    pub load: f64,
    /// Calls a second, as last reported.
    calls_per_s: f64,
    pub top: Vec<KeyLoad>,
    pub middle: Option<Key>,
    reported_at: Ms,
}

/// Smoothed loads of all ranges, which the leader builds from the reports of all daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadTable {
    /// Sorted by service and start.
    loads: Vec<SmoothedLoad>,
}

impl LoadTable {
    /// Adds the report of a range. A report whose load is negative or not finite is ignored.
    pub fn record(&mut self, report: &RangeLoad, now: Ms) {
        if !report.busy_slots.is_finite() || report.busy_slots < 0.0 {
            return;
        }
        let start = Key::new(report.start.clone());
        let top = report.top.iter().map(|t| KeyLoad {
            key: Key::new(t.key.clone()),
            load: t.busy_slots,
        });
        let mut entry = SmoothedLoad {
            service: report.service.clone(),
            start,
            load: report.busy_slots,
            calls_per_s: report.calls_per_second,
            top: top.collect(),
            middle: (!report.middle.is_empty()).then(|| Key::new(report.middle.clone())),
            reported_at: now,
        };
        match self.position(&entry.service, &entry.start) {
            Ok(i) => {
                entry.load = smooth(self.loads[i].load, report.busy_slots);
                self.loads[i] = entry;
            }
            Err(i) => self.loads.insert(i, entry),
        }
    }

    /// Returns the load of the range that starts at `start`, or `None` if its last report is missing or too old.
    pub fn get(&self, service: &str, start: &Key, now: Ms) -> Option<&SmoothedLoad> {
        let found = self.position(service, start).ok().map(|i| &self.loads[i]);
        found.filter(|load| now - load.reported_at < STALE_AFTER)
    }

    /// Returns the mean time of a call of a service in seconds, or `None` if none was reported lately.
    pub fn call_time_s(&self, service: &str, now: Ms) -> Option<f64> {
        let loads = self.loads.iter().filter(|l| l.service == service);
        let reported = loads.filter(|l| now - l.reported_at < STALE_AFTER && l.calls_per_s > 0.0);
        let (busy, calls) = reported.fold((0.0, 0.0), |(busy, calls), l| {
            (busy + l.load, calls + l.calls_per_s)
        });
        (calls > 0.0).then(|| busy / calls)
    }

    /// Removes loads whose last report is too old.
    pub fn prune(&mut self, now: Ms) {
        self.loads.retain(|load| now - load.reported_at < STALE_AFTER);
    }

    fn position(&self, service: &str, start: &Key) -> Result<usize, usize> {
        self.loads
            .binary_search_by(|l| (l.service.as_str(), &l.start).cmp(&(service, start)))
    }
}

fn smooth(smoothed: f64, measured: f64) -> f64 {
    let change = measured - smoothed;
    let is_jump = change.abs() > smoothed * JUMP_SHARE + JUMP_MIN_SLOTS;
    if is_jump {
        measured
    } else {
        smoothed + change * SMOOTHING_FACTOR
    }
}
