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

/// Maximum number of actions that are in flight for one server.
const IN_FLIGHT_MAX: usize = 256;

/// Next action for a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantAction {
    /// Order the server to hold the span.
    Grant {
        /// Keys to hold.
        span: KeyRange,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// Order the server to stop holding the span.
    Revoke {
        /// Keys to stop holding.
        span: KeyRange,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// Report to control that the server has given the span up.
    Report {
        /// Keys that the server has given up.
        span: KeyRange,
        /// Epoch of the ownership that ends.
        epoch: u64,
        /// Log index of the release.
        release: u64,
    },
}

/// What one server holds and what it should hold, for a server that receives its grants as orders.
///
/// The server is sent calls only for spans that it has confirmed and should still hold. Spans of one epoch never
/// overlap. Spans of different epochs may overlap while the older one is being revoked.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    /// Sorted by epoch and start.
    entries: Vec<GrantEntry>,
}

impl GrantTable {
    /// Returns the table for a new process at the address of the process that this table belonged to. The new
    /// process may have received orders that were meant for the old one, so all its spans are revoked.
    pub fn after_restart(mut self) -> Self {
        self.entries.retain(|e| !is_absent(e.phase));
        for entry in &mut self.entries {
            entry.goal = GrantGoal::Drop;
            entry.phase = GrantPhase::Unknown;
        }
        self
    }

    /// Returns the table for the same process after it was removed and has come back. It may still hold every span that it
    /// held or was ordered to hold.
    pub fn after_removal(mut self) -> Self {
        for entry in &mut self.entries {
            entry.phase = match entry.phase {
                GrantPhase::Absent | GrantPhase::Reporting(_) | GrantPhase::Reported(_) => GrantPhase::Absent,
                GrantPhase::Granting | GrantPhase::Held | GrantPhase::Revoking | GrantPhase::Unknown => {
                    GrantPhase::Unknown
                }
            };
        }
        self
    }

    /// Returns whether the server may still hold a span that it must drop.
    pub fn has_spans_to_drop(&self) -> bool {
        self.entries.iter().any(|e| e.goal == GrantGoal::Drop)
    }

    /// Returns whether the server has confirmed to hold `key` at `epoch` and should keep it.
    pub fn is_held(&self, key: &Key, epoch: u64) -> bool {
        self.find_entry(key, epoch)
            .is_some_and(|e| e.goal == GrantGoal::Hold && e.phase == GrantPhase::Held)
    }

    /// Returns the number of spans that the server has confirmed to hold.
    pub fn held_count(&self) -> usize {
        let held = self.entries.iter().filter(|e| e.phase == GrantPhase::Held);
        held.count()
    }

    /// Returns whether no span is held, wanted or in flight.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the server's grants may be extended. They may not while the server may still hold a span that
    /// it must drop, since an extension covers all spans at once.
    pub fn can_extend(&self) -> bool {
        let holds_any = self.entries.iter().any(|e| e.phase == GrantPhase::Held);
        holds_any && !self.has_spans_to_drop()
    }

    /// Returns the spans that the server gives up for planned moves.
    pub fn releasing_spans(&self) -> Vec<KeyRange> {
        let is_releasing = |e: &&GrantEntry| matches!(e.goal, GrantGoal::Release(_));
        let found = self.entries.iter().filter(is_releasing);
        found.map(|e| e.span.clone()).collect()
    }

    /// Updates the goals of all spans within `changed`. `wanted` lists everything that the server should own there, in
    /// the order of keys.
    pub fn reconcile(&mut self, changed: &KeyRange, wanted: &[WantedSpan]) {
        let mut reconciled = Vec::with_capacity(self.entries.len());
        for entry in std::mem::take(&mut self.entries) {
            if entry.span.overlaps(changed) {
                reconciled.extend(reconcile_entry(&entry, changed, wanted));
            } else {
                reconciled.push(entry);
            }
        }
        self.entries = reconciled;
        self.sort();
        let mut missing = Vec::new();
        for target in wanted {
            missing.extend(self.missing_entries(target));
        }
        self.entries.extend(missing);
        self.sort();
    }

    /// Marks all spans to be dropped, e.g. after the end of the session.
    pub fn drop_all(&mut self) {
        for entry in &mut self.entries {
            entry.goal = GrantGoal::Drop;
        }
    }

    /// Records that the server has lost all its spans because its lease ended. Calls may still run there, so a span
    /// that must be given up is revoked nevertheless.
    pub fn mark_all_lost(&mut self) {
        for entry in &mut self.entries {
            if entry.phase == GrantPhase::Held {
                entry.phase = GrantPhase::Unknown;
            }
        }
    }

    /// Removes the spans to drop that the server can no longer hold, if all leases given to it have ended by `now`.
    /// A span whose revocation is in flight is kept until that is answered.
    pub fn forget_dropped(&mut self, leases_end_at: Ms, now: Ms) {
        if leases_end_at <= now {
            self.entries
                .retain(|e| e.goal != GrantGoal::Drop || e.phase == GrantPhase::Revoking);
        }
    }

    /// Returns the next actions and marks them as in flight. `is_busy` returns whether calls for a span are running.
    pub fn next_actions(&mut self, is_busy: impl Fn(&KeyRange) -> bool) -> Vec<GrantAction> {
        self.entries
            .retain(|e| e.goal != GrantGoal::Drop || !is_absent(e.phase));
        let in_flight = self.entries.iter().filter(|e| is_in_flight(e.phase)).count();
        let mut actions = Vec::new();
        for entry in self.entries.iter_mut().filter(|e| !e.is_settled()) {
            if in_flight + actions.len() == IN_FLIGHT_MAX {
                break;
            }
            actions.extend(next_action(entry, &is_busy));
        }
        actions
    }

    /// Completes an action. `confirmed` says whether the server or control has confirmed it.
    pub fn complete(&mut self, action: &GrantAction, confirmed: bool) {
        let (span, epoch) = match action {
            GrantAction::Grant { span, epoch }
            | GrantAction::Revoke { span, epoch }
            | GrantAction::Report { span, epoch, .. } => (span, *epoch),
        };
        let is_affected = |e: &&mut GrantEntry| e.epoch == epoch && e.span.overlaps(span);
        for entry in self.entries.iter_mut().filter(is_affected) {
            entry.phase = match (action, entry.phase) {
                (GrantAction::Grant { .. }, GrantPhase::Granting) if confirmed => GrantPhase::Held,
                (GrantAction::Revoke { .. }, GrantPhase::Revoking) if confirmed => GrantPhase::Absent,
                (GrantAction::Report { release, .. }, GrantPhase::Reporting(_)) if confirmed => {
                    GrantPhase::Reported(*release)
                }
                (GrantAction::Report { .. }, GrantPhase::Reporting(_)) => GrantPhase::Absent,
                (_, GrantPhase::Granting | GrantPhase::Revoking) => GrantPhase::Unknown,
                (_, phase) => phase,
            };
        }
    }

    fn find_entry(&self, key: &Key, epoch: u64) -> Option<&GrantEntry> {
        let after = self
            .entries
            .partition_point(|e| (e.epoch, &e.span.start) <= (epoch, key));
        let entry = &self.entries[after.checked_sub(1)?];
        (entry.epoch == epoch && entry.span.contains(key)).then_some(entry)
    }

    /// Returns entries for the parts of `target` that have none.
    fn missing_entries(&self, target: &WantedSpan) -> Vec<GrantEntry> {
        let mut parts = Vec::new();
        let mut start = target.span.start.clone();
        let first = self
            .entries
            .partition_point(|e| (e.epoch, &e.span.start) < (target.epoch, &start));
        let first = first.saturating_sub(1);
        let same_epoch = self.entries[first..]
            .iter()
            .skip_while(|e| e.epoch < target.epoch)
            .take_while(|e| e.epoch == target.epoch)
            .filter(|e| e.span.overlaps(&target.span));
        for entry in same_epoch {
            if start < entry.span.start {
                parts.push(new_entry(target, start, Some(entry.span.start.clone())));
            }
            match &entry.span.end {
                Some(end) => start = end.clone(),
                None => return parts,
            }
        }
        if target.span.end.as_ref().is_none_or(|end| start < *end) {
            parts.push(new_entry(target, start, target.span.end.clone()));
        }
        parts
    }

    fn sort(&mut self) {
        self.entries
            .sort_by(|a, b| (a.epoch, &a.span.start).cmp(&(b.epoch, &b.span.start)));
    }
}

/// Splits `entry` at the bounds of `changed` and `wanted`, and returns the parts with their new goals.
fn reconcile_entry(entry: &GrantEntry, changed: &KeyRange, wanted: &[WantedSpan]) -> Vec<GrantEntry> {
    let first = wanted.partition_point(|w| w.span.end.as_ref().is_some_and(|end| *end <= entry.span.start));
    let overlapping = || {
        let of_entry = wanted[first..]
            .iter()
            .take_while(|w| w.span.overlaps(&entry.span));
        of_entry.filter(|w| w.epoch == entry.epoch)
    };
    let spans = std::iter::once(changed).chain(overlapping().map(|w| &w.span));
    let bounds = spans.flat_map(|span| std::iter::once(&span.start).chain(&span.end));
    let mut keys: Vec<Key> = bounds.cloned().collect();
    keys.sort();
    let mut parts = entry.split_at(&keys);
    for part in &mut parts {
        let target = overlapping().find(|w| w.span.contains(&part.span.start));
        if let Some(target) = target {
            part.goal = target.goal;
        } else if changed.contains(&part.span.start) {
            part.goal = GrantGoal::Drop;
        }
    }
    parts
}

fn new_entry(target: &WantedSpan, start: Key, end: Option<Key>) -> GrantEntry {
    GrantEntry {
        span: KeyRange { start, end },
        epoch: target.epoch,
        goal: target.goal,
        phase: GrantPhase::Absent,
    }
}

fn is_absent(phase: GrantPhase) -> bool {
    matches!(phase, GrantPhase::Absent | GrantPhase::Reported(_))
}

fn is_in_flight(phase: GrantPhase) -> bool {
    matches!(
        phase,
        GrantPhase::Granting | GrantPhase::Revoking | GrantPhase::Reporting(_)
    )
}

/// Returns the next action for `entry`, if there is one, and marks it as in flight.
fn next_action(entry: &mut GrantEntry, is_busy: impl Fn(&KeyRange) -> bool) -> Option<GrantAction> {
    let span = entry.span.clone();
    let epoch = entry.epoch;
    match (entry.goal, entry.phase) {
        (GrantGoal::Hold, GrantPhase::Absent | GrantPhase::Unknown | GrantPhase::Reported(_)) => {
            entry.phase = GrantPhase::Granting;
            Some(GrantAction::Grant { span, epoch })
        }
        (GrantGoal::Release(release), GrantPhase::Reported(reported)) if release == reported => None,
        // Calls may also run in a span that was dropped before, and is owned again.
        (GrantGoal::Release(_), _) if is_busy(&span) => None,
        (GrantGoal::Release(_) | GrantGoal::Drop, GrantPhase::Held | GrantPhase::Unknown) => {
            entry.phase = GrantPhase::Revoking;
            Some(GrantAction::Revoke { span, epoch })
        }
        (GrantGoal::Release(release), GrantPhase::Absent | GrantPhase::Reported(_)) => {
            entry.phase = GrantPhase::Reporting(release);
            Some(GrantAction::Report { span, epoch, release })
        }
        (GrantGoal::Hold, GrantPhase::Held)
        | (GrantGoal::Drop, GrantPhase::Absent | GrantPhase::Reported(_))
        | (_, GrantPhase::Granting | GrantPhase::Revoking | GrantPhase::Reporting(_)) => None,
    }
}
