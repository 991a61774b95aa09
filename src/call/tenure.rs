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
        whole: bool,
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
    /// True once a later owner has read it: it takes no further entries.
    pub sealed: bool,
    /// The calls.
    pub guard: Guard,
}

impl Tenure {
    /// Tells if the tenure has everything that was ever let through in it.
    pub fn is_whole(&self) -> bool {
        match self.role {
            Role::Owner { .. } => true,
            Role::Copy { whole } => whole,
        }
    }

    /// Tells if the owner may let calls through.
    pub fn is_ready(&self) -> bool {
        !self.sealed && matches!(self.role, Role::Owner { ready: true, .. })
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
