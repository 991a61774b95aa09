use crate::{clock::Ms, control::State, settings::LeaseSettings, wire::control::AssignRange};

/// The leader's view of ranges that need a wait before their next owner.
///
/// A server that does not check fences may still run calls of an owner whose session has ended. The next
/// owner waits until the longest deadline of those calls has passed. The wait is counted by the leader's own
/// clock from when the end was committed; a new leader counts it anew.
#[derive(Clone, Debug, Default)]
pub struct TakeoverWaits {
    timing: LeaseSettings,
    /// Changes up to this log index count as committed at this time.
    floor: (u64, Ms),
    /// Log indexes of later changes that may have left ranges without an owner, with the time of their
    /// commit, ascending.
    committed: Vec<(u64, Ms)>,
}

impl TakeoverWaits {
    /// Returns the view of a new leader, for which everything up to `applied` is committed at `now`.
    pub fn new(timing: LeaseSettings, applied: u64, now: Ms) -> Self {
        Self {
            timing,
            floor: (applied, now),
            committed: Vec::new(),
        }
    }

    /// Notes that the change at `index` was committed, which may have left ranges without an owner.
    pub fn committed(&mut self, index: u64, now: Ms) {
        self.committed.push((index, now));
    }

    /// Returns the assignments that may be made at `now`.
    pub fn allowed(&mut self, state: &State, mut assignments: Vec<AssignRange>, now: Ms) -> Vec<AssignRange> {
        self.forget_passed(state, now);
        assignments.retain(|assignment| {
            let vacancies = state.vacancies_within(assignment);
            let passed = vacancies
                .iter()
                .all(|v| self.since(v.index) + self.stretched(v.wait) <= now);
            passed
        });
        assignments
    }

    /// Returns when the change at `index` was committed. A change that was not noted never was.
    fn since(&self, index: u64) -> Ms {
        if index <= self.floor.0 {
            return self.floor.1;
        }
        let found = self.committed.binary_search_by_key(&index, |c| c.0);
        found.map_or(Ms::MAX, |i| self.committed[i].1)
    }

    /// Returns the time on the leader's clock in which `wait` has passed on every other one.
    fn stretched(&self, wait: Ms) -> Ms {
        let fast = (self.timing.ttl + self.timing.drift).0;
        let slow = (self.timing.ttl - self.timing.drift).0.max(1);
        Ms((wait.0 * fast).div_ceil(slow))
    }

    /// Folds the changes for which every wait has passed into the floor.
    fn forget_passed(&mut self, state: &State, now: Ms) {
        let longest = state.range_tables().iter().map(|t| t.longest_deadline).max();
        let longest = self.stretched(longest.unwrap_or_default());
        let passed = self.committed.partition_point(|(_, at)| *at + longest <= now);
        if let Some(last) = self.committed[..passed].last() {
            self.floor = *last;
        }
        self.committed.drain(..passed);
    }
}
