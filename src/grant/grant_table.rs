use {
    super::{
        grant_entry::{GrantEntry, GrantGoal, GrantPhase},
        WantedSpan,
    },
    crate::{
        clock::Ms,
        key::{Key, KeyRange},
    },
};

/// Most orders and reports of one server that are under way at once.
const UNDER_WAY_MAX: usize = 256;

/// What is to be done about a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantAction {
    /// Order the server to hold it.
    Grant {
        /// The keys.
        span: KeyRange,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// Order the server to stop holding it.
    Revoke {
        /// The keys.
        span: KeyRange,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// Report that the server has given it up.
    Report {
        /// The keys.
        span: KeyRange,
        /// Epoch of the ownership.
        epoch: u64,
        /// Log index of the release.
        release: u64,
    },
}

/// What one server holds and what it is to hold.
///
/// Calls go to the server only for spans that it confirmed and that are to be held. Spans of one epoch never
/// overlap; the spans of different epochs may, while an older one is revoked.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    /// Sorted by epoch and start.
    entries: Vec<GrantEntry>,
}

impl GrantTable {
    /// Returns the book for a process that was started anew at the address of the one with this book. It may
    /// have been ordered to hold what the one before it held, so all of that is revoked.
    pub fn after_restart(mut self) -> Self {
        self.entries.retain(|e| !is_absent(e.phase));
        for entry in &mut self.entries {
            entry.goal = GrantGoal::Drop;
            entry.phase = GrantPhase::Unsure;
        }
        self
    }

    /// Tells if something that has to go may still be there.
    pub fn has_spans_to_drop(&self) -> bool {
        self.entries.iter().any(|e| e.goal == GrantGoal::Drop)
    }

    /// Tells if the server confirmed to hold `key` at `epoch` and is to go on.
    pub fn is_held(&self, key: &Key, epoch: u64) -> bool {
        self.entry_of(key, epoch)
            .is_some_and(|e| e.goal == GrantGoal::Hold && e.phase == GrantPhase::Held)
    }

    /// Returns the number of spans that the server holds.
    pub fn held_count(&self) -> usize {
        let held = self.entries.iter().filter(|e| e.phase == GrantPhase::Held);
        held.count()
    }

    /// Tells if nothing is held or under way.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tells if all grants may be extended: not while one that has to go may still be there.
    pub fn can_extend(&self) -> bool {
        let holds = self.entries.iter().any(|e| e.phase == GrantPhase::Held);
        holds && !self.has_spans_to_drop()
    }

    /// Returns the spans that are being given up for planned moves.
    pub fn releasing_spans(&self) -> Vec<KeyRange> {
        let releasing = |e: &&GrantEntry| matches!(e.goal, GrantGoal::Release(_));
        let found = self.entries.iter().filter(releasing);
        found.map(|e| e.span.clone()).collect()
    }

    /// Takes over what the state wants within `touched`; `wanted` has all of it, in the order of keys.
    pub fn reconcile(&mut self, touched: &KeyRange, wanted: &[WantedSpan]) {
        let mut aligned = Vec::with_capacity(self.entries.len());
        for entry in std::mem::take(&mut self.entries) {
            if entry.span.overlaps(touched) {
                aligned.extend(align_entry(&entry, touched, wanted));
            } else {
                aligned.push(entry);
            }
        }
        self.entries = aligned;
        self.sort();
        let mut missing = Vec::new();
        for want in wanted {
            missing.extend(self.uncovered(want));
        }
        self.entries.extend(missing);
        self.sort();
    }

    /// Wants nothing any more, e.g. after the end of the session.
    pub fn drop_all(&mut self) {
        for entry in &mut self.entries {
            entry.goal = GrantGoal::Drop;
        }
    }

    /// Takes note that the server has lost everything that it held, since its lease had ended. Calls may
    /// still run there, so a span that is given up is revoked all the same.
    pub fn mark_all_lost(&mut self) {
        for entry in &mut self.entries {
            if entry.phase == GrantPhase::Held {
                entry.phase = GrantPhase::Unsure;
            }
        }
    }

    /// Forgets what has to go and can no longer be there, since all leases given to the server ended before
    /// `now`.
    pub fn forget_dropped(&mut self, leases_end_at: Ms, now: Ms) {
        if leases_end_at <= now {
            self.entries
                .retain(|e| e.goal != GrantGoal::Drop || e.phase == GrantPhase::Revoking);
        }
    }

    /// Returns what is to be done now and notes that it is under way. `is_busy` tells if calls of a span run.
    pub fn next_actions(&mut self, is_busy: impl Fn(&KeyRange) -> bool) -> Vec<GrantAction> {
        self.entries
            .retain(|e| e.goal != GrantGoal::Drop || !is_absent(e.phase));
        let under_way = self.entries.iter().filter(|e| is_under_way(e.phase)).count();
        let mut actions = Vec::new();
        for entry in self.entries.iter_mut().filter(|e| !e.is_settled()) {
            if under_way + actions.len() == UNDER_WAY_MAX {
                break;
            }
            actions.extend(next_action(entry, &is_busy));
        }
        actions
    }

    /// Takes the end of an action. `confirmed`: the server or control confirmed it.
    pub fn complete(&mut self, action: &GrantAction, confirmed: bool) {
        let (span, epoch) = match action {
            GrantAction::Grant { span, epoch }
            | GrantAction::Revoke { span, epoch }
            | GrantAction::Report { span, epoch, .. } => (span, *epoch),
        };
        let within = |e: &&mut GrantEntry| e.epoch == epoch && e.span.overlaps(span);
        for entry in self.entries.iter_mut().filter(within) {
            entry.phase = match (action, entry.phase) {
                (GrantAction::Grant { .. }, GrantPhase::Granting) if confirmed => GrantPhase::Held,
                (GrantAction::Revoke { .. }, GrantPhase::Revoking) if confirmed => GrantPhase::Absent,
                (GrantAction::Report { release, .. }, GrantPhase::Reporting(_)) if confirmed => {
                    GrantPhase::Reported(*release)
                }
                (GrantAction::Report { .. }, GrantPhase::Reporting(_)) => GrantPhase::Absent,
                (_, GrantPhase::Granting | GrantPhase::Revoking) => GrantPhase::Unsure,
                (_, phase) => phase,
            };
        }
    }

    fn entry_of(&self, key: &Key, epoch: u64) -> Option<&GrantEntry> {
        let after = self
            .entries
            .partition_point(|e| (e.epoch, &e.span.start) <= (epoch, key));
        let entry = &self.entries[after.checked_sub(1)?];
        (entry.epoch == epoch && entry.span.contains(key)).then_some(entry)
    }

    /// Returns entries for the parts of `want` that have none.
    fn uncovered(&self, want: &WantedSpan) -> Vec<GrantEntry> {
        let mut parts = Vec::new();
        let mut start = want.span.start.clone();
        let first = self
            .entries
            .partition_point(|e| (e.epoch, &e.span.start) < (want.epoch, &start));
        let first = first.saturating_sub(1);
        let same_epoch = self.entries[first..]
            .iter()
            .skip_while(|e| e.epoch < want.epoch)
            .take_while(|e| e.epoch == want.epoch)
            .filter(|e| e.span.overlaps(&want.span));
        for entry in same_epoch {
            if start < entry.span.start {
                parts.push(wanted_entry(want, start, Some(entry.span.start.clone())));
            }
            match &entry.span.end {
                Some(end) => start = end.clone(),
                None => return parts,
            }
        }
        if want.span.end.as_ref().is_none_or(|end| start < *end) {
            parts.push(wanted_entry(want, start, want.span.end.clone()));
        }
        parts
    }

    fn sort(&mut self) {
        self.entries
            .sort_by(|a, b| (a.epoch, &a.span.start).cmp(&(b.epoch, &b.span.start)));
    }
}

/// Returns the parts of `entry` with the goals that `wanted` gives them.
fn align_entry(entry: &GrantEntry, touched: &KeyRange, wanted: &[WantedSpan]) -> Vec<GrantEntry> {
    let first = wanted.partition_point(|w| w.span.end.as_ref().is_some_and(|end| *end <= entry.span.start));
    let overlapping = || {
        let of_entry = wanted[first..]
            .iter()
            .take_while(|w| w.span.overlaps(&entry.span));
        of_entry.filter(|w| w.epoch == entry.epoch)
    };
    let spans = std::iter::once(touched).chain(overlapping().map(|w| &w.span));
    let bounds = spans.flat_map(|span| std::iter::once(&span.start).chain(&span.end));
    let mut keys: Vec<Key> = bounds.cloned().collect();
    keys.sort();
    let mut parts = entry.cut_at(&keys);
    for part in &mut parts {
        let want = overlapping().find(|w| w.span.contains(&part.span.start));
        if let Some(want) = want {
            part.goal = want.goal;
        } else if touched.contains(&part.span.start) {
            part.goal = GrantGoal::Drop;
        }
    }
    parts
}

fn wanted_entry(want: &WantedSpan, start: Key, end: Option<Key>) -> GrantEntry {
    GrantEntry {
        span: KeyRange { start, end },
        epoch: want.epoch,
        goal: want.goal,
        phase: GrantPhase::Absent,
    }
}

fn is_absent(phase: GrantPhase) -> bool {
    matches!(phase, GrantPhase::Absent | GrantPhase::Reported(_))
}

fn is_under_way(phase: GrantPhase) -> bool {
    matches!(
        phase,
        GrantPhase::Granting | GrantPhase::Revoking | GrantPhase::Reporting(_)
    )
}

/// Returns what is to be done about `entry` and notes that it is under way.
fn next_action(entry: &mut GrantEntry, is_busy: impl Fn(&KeyRange) -> bool) -> Option<GrantAction> {
    let span = entry.span.clone();
    let epoch = entry.epoch;
    match (entry.goal, entry.phase) {
        (GrantGoal::Hold, GrantPhase::Absent | GrantPhase::Unsure | GrantPhase::Reported(_)) => {
            entry.phase = GrantPhase::Granting;
            Some(GrantAction::Grant { span, epoch })
        }
        (GrantGoal::Release(_), GrantPhase::Held | GrantPhase::Unsure) if is_busy(&span) => None,
        (GrantGoal::Release(_) | GrantGoal::Drop, GrantPhase::Held | GrantPhase::Unsure) => {
            entry.phase = GrantPhase::Revoking;
            Some(GrantAction::Revoke { span, epoch })
        }
        (GrantGoal::Release(release), GrantPhase::Reported(reported)) if release == reported => None,
        (GrantGoal::Release(release), GrantPhase::Absent | GrantPhase::Reported(_)) => {
            entry.phase = GrantPhase::Reporting(release);
            Some(GrantAction::Report { span, epoch, release })
        }
        (GrantGoal::Hold, GrantPhase::Held)
        | (GrantGoal::Drop, GrantPhase::Absent | GrantPhase::Reported(_))
        | (_, GrantPhase::Granting | GrantPhase::Revoking | GrantPhase::Reporting(_)) => None,
    }
}
