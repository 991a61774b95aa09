use {
    super::Guard,
    crate::key::{Key, KeyRange},
};

/// What this daemon is to the guard of a tenure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It decides on calls.
    Owner {
        /// Peer address of the daemon with the copy; empty if there is none.
        holder: String,
        /// True once the copy is in place and that is committed.
        ready: bool,
    },
    /// It keeps the copy.
    Copy {
        /// True once the whole guard has come.
        complete: bool,
    },
}

/// The guard of one span during one ownership.
#[derive(Clone, Debug)]
pub struct Tenure {
    /// Name of the service.
    pub service: String,
    /// The keys.
    pub span: KeyRange,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// What this daemon is to it.
    pub role: Role,
    /// Parts that a later owner has read: they take no further entries.
    pub sealed: Vec<KeyRange>,
    /// The calls.
    pub guard: Guard,
}

impl Tenure {
    /// Tells if the tenure has everything that was ever let through in it.
    pub fn is_complete(&self) -> bool {
        match self.role {
            Role::Owner { .. } => true,
            Role::Copy { complete } => complete,
        }
    }

    /// Tells if the owner may let calls of `key` through.
    pub fn is_ready(&self, key: &Key) -> bool {
        !self.is_sealed(key) && matches!(self.role, Role::Owner { ready: true, .. })
    }

    /// Closes a part that a later owner reads. The rest of the tenure goes on.
    pub fn seal(&mut self, part: KeyRange) {
        if !self.sealed.contains(&part) {
            self.sealed.push(part);
        }
    }

    /// Tells if a later owner has read the part with `key`.
    pub fn is_sealed(&self, key: &Key) -> bool {
        self.sealed.iter().any(|part| part.contains(key))
    }

    /// Takes over the closed parts of `older`, an earlier copy of the same tenure, with their entries.
    pub fn keep_sealed(&mut self, older: &Self) {
        for part in &older.sealed {
            let entries = older.guard.entries_of(part);
            entries.into_iter().for_each(|entry| self.guard.apply_copy(entry));
            self.seal(part.clone());
        }
        self.guard.record_gap(older.guard.gap_until());
    }
}

/// The tenures that this daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Tenures {
    list: Vec<Tenure>,
}

impl Tenures {
    /// Adds a tenure. One of the same span, epoch and kind is replaced.
    pub fn put(&mut self, tenure: Tenure) {
        self.list.retain(|t| {
            t.service != tenure.service || t.epoch != tenure.epoch || !t.span.overlaps(&tenure.span)
        });
        self.list.push(tenure);
    }

    /// Returns the tenure of `key` at `epoch`.
    pub fn get(&mut self, service: &str, key: &Key, epoch: u64) -> Option<&mut Tenure> {
        self.list
            .iter_mut()
            .find(|t| t.epoch == epoch && t.service == service && t.span.contains(key))
    }

    /// Removes the tenures that `keep` does not want.
    pub fn retain(&mut self, keep: impl Fn(&Tenure) -> bool) {
        self.list.retain(keep);
    }

    /// Returns all tenures for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Tenure> {
        self.list.iter_mut()
    }

    /// Returns all tenures.
    pub fn iter(&self) -> impl Iterator<Item = &Tenure> {
        self.list.iter()
    }
}
