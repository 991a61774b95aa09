use {
    super::SpaceSaving,
    crate::{
        clock::Ms,
        key::Key,
        wire::peer::{KeyLoad, RangeLoad},
    },
};

/// Minimum time between two reports.
const REPORT_INTERVAL_MIN: Ms = Ms(1000);
/// Maximum number of keys that the sketch of one range counts.
const SKETCH_KEYS_MAX: usize = 32;
/// Minimum share of the load of its range at which a key is reported.
const TOP_KEY_SHARE_MIN: f64 = 0.1;
/// Maximum number of keys that are reported for one range.
const TOP_KEYS_MAX: usize = 4;
/// Bytes of keys in one report from which on no further range is added to it.
const KEY_BYTES_PER_REPORT: usize = 2048;
/// Maximum number of ranges in one report. Those with the most load go first.
const RANGES_PER_REPORT_MAX: usize = 32;
/// Time after which the load of a range is reported again even if it has not changed.
const REPEAT_AFTER: Ms = Ms(5000);
/// Relative change from which on a load is part of the next report.
const CHANGE_SHARE_MIN: f64 = 0.1;

/// Work of one range since the last report, and the load that was reported last.
struct RangeMeter {
    service: String,
    start: Key,
    calls: u64,
    busy_ms: f64,
    sketch: SpaceSaving,
    reported_load: f64,
    reported_at: Option<Ms>,
}

/// Measures the work of this daemon's servers by range. Its reports take a bounded number of bytes a second.
pub struct LoadMeter {
    /// Sorted by service and start.
    ranges: Vec<RangeMeter>,
    interval_start: Ms,
}

impl LoadMeter {
    /// Returns a meter that starts at `now`.
    pub fn new(now: Ms) -> Self {
        Self {
            ranges: Vec::new(),
            interval_start: now,
        }
    }

    /// Adds a call for `key` that kept a slot of its server busy for `busy`. `start` is the first key of its range.
    pub fn add(&mut self, service: &str, start: &Key, key: &Key, busy: Ms) {
        let found = self
            .ranges
            .binary_search_by(|r| (r.service.as_str(), &r.start).cmp(&(service, start)));
        let position = found.unwrap_or_else(|i| {
            self.ranges.insert(i, RangeMeter::new(service, start));
            i
        });
        // A call that is shorter than the resolution of the clock still counts.
        let work_ms = busy.0.max(1) as f64;
        let range = &mut self.ranges[position];
        range.calls += 1;
        range.busy_ms += work_ms;
        range.sketch.add(key, work_ms);
    }

    /// Returns the loads to report, or nothing if less than `REPORT_INTERVAL_MIN` has passed since the last report.
    pub fn report(&mut self, now: Ms) -> Vec<RangeLoad> {
        let elapsed = now - self.interval_start;
        if elapsed < REPORT_INTERVAL_MIN {
            return Vec::new();
        }
        self.interval_start = now;
        let mut due: Vec<&mut RangeMeter> = self
            .ranges
            .iter_mut()
            .filter(|r| r.is_due(elapsed, now))
            .collect();
        due.sort_by(|a, b| b.busy_ms.total_cmp(&a.busy_ms));
        let mut key_bytes = 0;
        let mut loads = Vec::new();
        for range in due.into_iter().take(RANGES_PER_REPORT_MAX) {
            if key_bytes >= KEY_BYTES_PER_REPORT {
                break;
            }
            let load = range.load(elapsed);
            key_bytes += load.start.len() + load.middle.len();
            key_bytes += load.top.iter().map(|t| t.key.len()).sum::<usize>();
            range.reported_load = load.busy_slots;
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
            sketch: SpaceSaving::new(SKETCH_KEYS_MAX),
            reported_load: 0.0,
            reported_at: None,
        }
    }

    fn is_due(&self, elapsed: Ms, now: Ms) -> bool {
        let current_load = self.busy_ms / elapsed.0 as f64;
        let is_old = self.reported_at.is_none_or(|at| now - at >= REPEAT_AFTER);
        let is_changed = (current_load - self.reported_load).abs() > self.reported_load * CHANGE_SHARE_MIN;
        (is_old && self.calls > 0) || is_changed
    }

    fn load(&self, elapsed: Ms) -> RangeLoad {
        let elapsed = elapsed.0 as f64;
        let heavy_keys = self.sketch.heavy_keys(TOP_KEY_SHARE_MIN);
        let top = heavy_keys.iter().take(TOP_KEYS_MAX).map(|h| KeyLoad {
            key: h.key.to_bytes(),
            busy_slots: (h.count - h.error) / elapsed,
        });
        RangeLoad {
            service: self.service.clone(),
            start: self.start.to_bytes(),
            calls_per_second: self.calls as f64 * 1000.0 / elapsed,
            busy_slots: self.busy_ms / elapsed,
            top: top.collect(),
            middle: self.sketch.median_key().unwrap_or_default().to_bytes(),
        }
    }
}
