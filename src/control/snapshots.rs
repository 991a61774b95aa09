use {
    super::{
        control_loop::{ControlLoop, LoopEnd},
        ControlError, State,
    },
    crate::{consensus::StorageError, wire::consensus::Snapshot},
};

/// Applied entries after which a new snapshot is written.
const ENTRIES_PER_SNAPSHOT: u64 = 10_000;
/// Applied configurations after which a new snapshot is written. A host that restarts applies those after the snapshot
/// before it can lead, and spends tens of milliseconds on a large one.
const CONFIGURATIONS_PER_SNAPSHOT: u64 = 8;

/// The part of the loop that writes snapshots of its state, or takes the state of one.
impl ControlLoop {
    pub(super) fn write_snapshot_if_due(&mut self) {
        let applied = self.state.applied();
        let entries = applied.saturating_sub(self.core.log().snapshot_index());
        if entries >= ENTRIES_PER_SNAPSHOT
            || self.configurations_since_snapshot >= CONFIGURATIONS_PER_SNAPSHOT
        {
            self.configurations_since_snapshot = 0;
            self.core.compact(applied, self.state.to_image().into());
        }
    }

    /// Replaces the state with that of a snapshot from the leader.
    pub(super) fn restore(&mut self, snapshot: &Snapshot) {
        match state_from_snapshot(snapshot) {
            Ok(state) => {
                self.state = state;
                self.configurations_since_snapshot = 0;
                self.watches.reset(snapshot.index);
                self.state_parts.clear();
            }
            Err(e) => self.end = Some(LoopEnd::Failed(e.to_string())),
        }
    }
}

/// Returns the state of a snapshot.
///
/// # Errors
/// The snapshot is damaged.
pub(super) fn state_from_snapshot(snapshot: &Snapshot) -> Result<State, ControlError> {
    let state = State::from_image(&snapshot.image).filter(|s| s.applied() == snapshot.index);
    let damaged = StorageError::Incomplete("the snapshot holds no state");
    state.ok_or(ControlError::Storage(damaged))
}
