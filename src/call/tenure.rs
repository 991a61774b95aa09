use {
    super::Guard,
    crate::key::{Key, KeyRange},
};

/// The role of this daemon in a tenure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// The daemon decides on calls.
    Owner {
        /// Peer address of the daemon with the copy; empty if there is none.
        holder: String,
        /// Number of the daemon process with the copy. A later process at the same address does not have it.
        holder_process: u64,
        /// Whether the copy is complete and the control hosts have committed this.
        ready: bool,
    },
    /// The daemon keeps the copy.
    Copy {
        /// Whether all entries have been received.
        complete: bool,
    },
}

/// The guard of one span from the beginning to the end of one ownership.
#[derive(Clone, Debug)]
pub struct Tenure {
    /// Name of the service.
    pub service: String,
    /// Keys whose calls the guard records.
    pub span: KeyRange,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Role of this daemon.
    pub role: Role,
    /// Parts that a later owner has read. They accept no further entries.
    pub sealed: Vec<KeyRange>,
    /// Record of the non-idempotent calls of the span.
    pub guard: Guard,
}

impl Tenure {
    /// Returns whether the guard has the entries of all calls that were admitted in this tenure.
    pub fn is_complete(&self) -> bool {
        match self.role {
            Role::Owner { .. } => true,
            Role::Copy { complete } => complete,
        }
    }

    /// Returns whether the owner may admit calls of `key`.
    pub fn is_ready(&self, key: &Key) -> bool {
        !self.is_sealed(key) && matches!(self.role, Role::Owner { ready: true, .. })
    }

    /// Seals a part that a later owner reads. The rest of the span still accepts calls.
    pub fn seal(&mut self, part: KeyRange) {
        if !self.sealed.contains(&part) {
            self.sealed.push(part);
        }
    }

    /// Returns whether a later owner has read the part with `key`.
    pub fn is_sealed(&self, key: &Key) -> bool {
        self.sealed.iter().any(|part| part.contains(key))
    }

    /// Takes over the sealed parts and their entries from `older`, an earlier copy of the same tenure.
    pub fn keep_sealed(&mut self, older: &Self) {
        for part in &older.sealed {
            let entries = older.guard.entries_of(part);
            entries.into_iter().for_each(|entry| self.guard.apply_copy(entry));
            self.seal(part.clone());
        }
        self.guard.record_gap(older.guard.gap_until());
    }
}

/// The tenures in which this daemon is the owner or keeps the copy.
#[derive(Clone, Debug, Default)]
pub struct Tenures {
    tenures: Vec<Tenure>,
}

impl Tenures {
    /// Adds a tenure. Tenures of the same service and epoch with an overlapping span are replaced.
    pub fn put(&mut self, tenure: Tenure) {
        self.tenures.retain(|t| {
            t.service != tenure.service || t.epoch != tenure.epoch || !t.span.overlaps(&tenure.span)
        });
        self.tenures.push(tenure);
    }

    /// Returns the tenure of `key` at `epoch`, or `None` if there is none.
    pub fn get(&mut self, service: &str, key: &Key, epoch: u64) -> Option<&mut Tenure> {
        self.tenures
            .iter_mut()
            .find(|t| t.epoch == epoch && t.service == service && t.span.contains(key))
    }

    /// Removes the tenures for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Tenure) -> bool) {
        self.tenures.retain(keep);
    }

    /// Returns all tenures, mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Tenure> {
        self.tenures.iter_mut()
    }

    /// Returns all tenures.
    pub fn iter(&self) -> impl Iterator<Item = &Tenure> {
        self.tenures.iter()
    }
}
