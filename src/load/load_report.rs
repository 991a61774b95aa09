use {
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, fmt},
};

/// Highest latency that the histogram distinguishes, in µs. Higher ones are counted as this one.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Outcomes and latencies of the calls of one kind.
#[derive(Clone, Debug)]
struct KindReport {
    answered: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
    latencies_us: Histogram<u64>,
}

impl Default for KindReport {
    fn default() -> Self {
        let latencies_us =
            Histogram::new_with_max(LATENCY_MAX_US, 3).expect("the histogram bounds are valid");
        Self {
            answered: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            latencies_us,
        }
    }
}

/// Outcomes and latencies of the calls of a run, by service and kind.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    kinds: BTreeMap<String, KindReport>,
}

/// Outcome of one call, as its caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    Answered,
    NotRun,
    Unknown,
    /// The answer did not belong to this call.
    Wrong,
}

impl LoadReport {
    pub(super) fn count(&mut self, kind: &str, outcome: CallOutcome, latency_us: u64) {
        let report = self.kinds.entry(kind.to_owned()).or_default();
        match outcome {
            CallOutcome::Answered => report.answered += 1,
            CallOutcome::NotRun => report.not_run += 1,
            CallOutcome::Unknown => report.unknown += 1,
            CallOutcome::Wrong => report.wrong += 1,
        }
        report.latencies_us.saturating_record(latency_us);
    }

    pub(super) fn merge(&mut self, other: Self) {
        for (name, theirs) in other.kinds {
            let ours = self.kinds.entry(name).or_default();
            ours.answered += theirs.answered;
            ours.not_run += theirs.not_run;
            ours.unknown += theirs.unknown;
            ours.wrong += theirs.wrong;
            ours.latencies_us += theirs.latencies_us;
        }
    }

    /// Returns whether every call was answered correctly.
    pub fn all_answered(&self) -> bool {
        self.kinds.values().all(|k| k.not_run + k.unknown + k.wrong == 0)
    }

    /// Returns the number of calls.
    pub fn calls(&self) -> u64 {
        let kinds = self.kinds.values();
        kinds.map(|k| k.answered + k.not_run + k.unknown + k.wrong).sum()
    }

    /// Returns the number of calls that were answered correctly.
    pub fn answered(&self) -> u64 {
        self.kinds.values().map(|k| k.answered).sum()
    }

    /// Returns the number of answers that did not belong to their calls.
    pub fn wrong(&self) -> u64 {
        self.kinds.values().map(|k| k.wrong).sum()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<34} {:>9} {:>8} {:>8} {:>6} {:>9} {:>9}",
            "kind", "answered", "not-run", "unknown", "wrong", "p50 ms", "p99 ms"
        )?;
        for (name, k) in &self.kinds {
            let ms = |q| k.latencies_us.value_at_quantile(q) as f64 / 1000.0;
            writeln!(
                f,
                "{name:<34} {:>9} {:>8} {:>8} {:>6} {:>9.2} {:>9.2}",
                k.answered,
                k.not_run,
                k.unknown,
                k.wrong,
                ms(0.5),
                ms(0.99)
            )?;
        }
        Ok(())
    }
}
