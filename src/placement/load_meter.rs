use {
    super::SpaceSaving,
    crate::{
        clock::Ms,
        key::Key,
        wire::peer::{KeyLoad, RangeLoad},
    },
};

/// Least time between two reports.
const REPORT_EACH: Ms = Ms(1000);
/// Keys that the sketch of one range counts.
const SKETCH_KEYS: usize = 32;
/// Least share of the load of its range with which a key is reported.
const TOP_SHARE: f64 = 0.1;
/// Most keys that are reported for one range.
const TOP_KEYS: usize = 4;
/// Most bytes of keys in one report.
const KEY_BYTES_MAX: usize = 2048;
/// Most ranges in one report; the heaviest go first.
const RANGES_MAX: usize = 32;
/// Time after which the load of a range is reported though it is as it was.
const REPEAT_AFTER: Ms = Ms(5000);
/// Change of a load, as a part of it, that is reported at once.
const CHANGE_MIN: f64 = 0.1;

/// Work of one range since the last report.
struct RangeMeter {
    service: String,
    start: Key,
    calls: u64,
    busy_ms: f64,
    sketch: SpaceSaving,
    reported: f64,
    reported_at: Option<Ms>,
}

/// Measures the work of this daemon's servers by range, in a bounded number of bytes a second.
pub struct LoadMeter {
    /// Sorted by service and start.
    ranges: Vec<RangeMeter>,
    since: Ms,
}

impl LoadMeter {
    /// Returns a meter that starts at `now`.
    pub fn new(now: Ms) -> Self {
        Self {
            ranges: Vec::new(),
            since: now,
        }
    }

    /// Adds a call for `key` that kept a slot of its server busy for `busy`. `start` is the first key of
    /// its range.
    pub fn add(&mut self, service: &str, start: &Key, key: &Key, busy: Ms) {
        let found = self
            .ranges
            .binary_search_by(|r| (r.service.as_str(), &r.start).cmp(&(service, start)));
        let position = found.unwrap_or_else(|i| {
            self.ranges.insert(i, RangeMeter::new(service, start));
            i
        });
        // A call of less than a clock step still counts.
        let work = busy.0.max(1) as f64;
        let range = &mut self.ranges[position];
        range.calls += 1;
        range.busy_ms += work;
        range.sketch.add(key, work);
    }

    /// Returns the loads to report, or none if the last report was just made.
    pub fn report(&mut self, now: Ms) -> Vec<RangeLoad> {
        let spent = now - self.since;
        if spent < REPORT_EACH {
            return Vec::new();
        }
        self.since = now;
        let mut due: Vec<&mut RangeMeter> = self.ranges.iter_mut().filter(|r| r.is_due(spent, now)).collect();
        due.sort_by(|a, b| b.busy_ms.total_cmp(&a.busy_ms));
        let mut key_bytes = 0;
        let mut loads = Vec::new();
        for range in due.into_iter().take(RANGES_MAX) {
            if key_bytes >= KEY_BYTES_MAX {
                break;
            }
            let load = range.load(spent);
            key_bytes += load.start.len() + load.middle.len();
            key_bytes += load.top.iter().map(|t| t.key.len()).sum::<usize>();
            range.reported = load.busy_slots;
            range.reported_at = Some(now);
            loads.push(load);
        }
        self.ranges
            .retain(|r| r.calls > 0 || r.reported_at.is_some_and(|at| now - at < REPEAT_AFTER));
        for range in &mut self.ranges {
            range.calls = 0;
            range.busy_ms = 0.0;
            range.sketch.clear();
        }
        loads
    }
}

impl RangeMeter {
    fn new(service: &str, start: &Key) -> Self {
        Self {
            service: service.to_owned(),
            start: start.clone(),
            calls: 0,
            busy_ms: 0.0,
            sketch: SpaceSaving::new(SKETCH_KEYS),
            reported: 0.0,
            reported_at: None,
        }
    }

    fn is_due(&self, spent: Ms, now: Ms) -> bool {
        let busy = self.busy_ms / spent.0 as f64;
        let is_old = self.reported_at.is_none_or(|at| now - at >= REPEAT_AFTER);
        let is_changed = (busy - self.reported).abs() > self.reported * CHANGE_MIN;
        (is_old && self.calls > 0) || is_changed
    }

    fn load(&self, spent: Ms) -> RangeLoad {
        let spent = spent.0 as f64;
        let heavy = self.sketch.heavy(TOP_SHARE);
        let top = heavy.iter().take(TOP_KEYS).map(|h| KeyLoad {
            key: h.key.to_bytes(),
            busy_slots: (h.count - h.error) / spent,
        });
        RangeLoad {
            service: self.service.clone(),
            start: self.start.to_bytes(),
            calls_per_second: self.calls as f64 * 1000.0 / spent,
            busy_slots: self.busy_ms / spent,
            top: top.collect(),
            middle: self.sketch.middle().unwrap_or_default().to_bytes(),
        }
    }
}
