use crate::{clock::Ms, control::State, settings::LeaseSettings, wire::control::AssignRange};

/// Waiting times of ranges before they may be assigned to their next owner.
///
/// A server that does not check fencing epochs may still run calls of an owner whose session has ended. The next
/// owner must wait until the longest deadline of those calls has passed. The wait is measured by the leader's own
/// clock from when the end of the session was committed. A new leader starts it again.
#[derive(Clone, Debug, Default)]
pub struct TakeoverWaits {
    timing: LeaseSettings,
    /// A log index and a time. All changes up to that index count as committed at that time.
    floor: (u64, Ms),
    /// Log indexes of later changes that may have left ranges without an owner, with the times of their commits,
    /// ascending.
    committed: Vec<(u64, Ms)>,
}

impl TakeoverWaits {
    /// Creates the waits of a new leader, for which all changes up to `applied` count as committed at `now`.
    pub fn new(timing: LeaseSettings, applied: u64, now: Ms) -> Self {
        Self {
            timing,
            floor: (applied, now),
            committed: Vec::new(),
        }
    }

    /// Records that the change at `index` was committed, which may have left ranges without an owner.
    pub fn record_change(&mut self, index: u64, now: Ms) {
        self.committed.push((index, now));
    }

    /// Returns those of `assignments` that may be made at `now`.
    pub fn allowed(&mut self, state: &State, mut assignments: Vec<AssignRange>, now: Ms) -> Vec<AssignRange> {
        self.forget_passed(state, now);
        assignments.retain(|assignment| {
            let vacancies = state.vacancies_within(assignment);
            let has_passed = vacancies
                .iter()
                .all(|v| self.committed_at(v.index) + stretch_for_drift(self.timing, v.wait) <= now);
            has_passed
        });
        assignments
    }

    /// Returns when the change at `index` was committed, or [`Ms::MAX`] if it was not recorded.
    fn committed_at(&self, index: u64) -> Ms {
        if index <= self.floor.0 {
            return self.floor.1;
        }
        let found = self.committed.binary_search_by_key(&index, |c| c.0);
        found.map_or(Ms::MAX, |i| self.committed[i].1)
    }

    /// Moves the floor to the last change for which every possible wait has passed, and removes the changes up to it.
    fn forget_passed(&mut self, state: &State, now: Ms) {
        let retired = state.retired_services().iter().map(|retired| &retired.ranges);
        let tables = state.range_tables().iter().chain(retired);
        let longest = tables.map(|t| t.longest_deadline).max();
        let longest = stretch_for_drift(self.timing, longest.unwrap_or_default());
        let passed = self.committed.partition_point(|(_, at)| *at + longest <= now);
        if let Some(last) = self.committed[..passed].last() {
            self.floor = *last;
        }
        self.committed.drain(..passed);
    }
}

/// Returns the time by the leader's clock after which `wait` has passed on every other clock within the drift.
pub(super) fn stretch_for_drift(timing: LeaseSettings, wait: Ms) -> Ms {
    let fast = (timing.ttl + timing.drift).0;
    let slow = (timing.ttl - timing.drift).0.max(1);
    Ms((wait.0 * fast).div_ceil(slow))
}
