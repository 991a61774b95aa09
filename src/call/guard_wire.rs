use {
    super::{CallResult, Fingerprint, GuardEntry, GuardId, GuardPhase},
    crate::{clock::Ms, key::Key, wire::peer::GuardEntryImage},
};

/// One change of a guard, as its copy receives it.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardChange {
    /// The entry is as given.
    Put(GuardEntry),
    /// The entry was removed at this sequence, since the call was not run.
    Removed(GuardId, u64),
}

impl GuardChange {
    /// Returns which call it is about.
    pub fn id(&self) -> &GuardId {
        match self {
            Self::Put(entry) => &entry.id,
            Self::Removed(id, _) => id,
        }
    }

    /// Returns the message form. Times are sent as the time left, since clocks of hosts differ.
    pub fn to_wire(&self, now: Ms) -> GuardEntryImage {
        match self {
            Self::Put(entry) => GuardEntryImage {
                key: entry.id.key.to_bytes(),
                request_id: entry.id.request_id.clone(),
                digest: entry.digest.0.to_vec().into(),
                sequence: entry.sequence,
                kept_ms: (entry.kept_until - now).0,
                result: match &entry.phase {
                    GuardPhase::Running => None,
                    GuardPhase::Finished(result) => Some(result.clone().into_wire(0)),
                },
                removed: false,
            },
            Self::Removed(id, sequence) => GuardEntryImage {
                key: id.key.to_bytes(),
                request_id: id.request_id.clone(),
                sequence: *sequence,
                removed: true,
                ..GuardEntryImage::default()
            },
        }
    }

    /// Reads the message form. `None`: the digest has a wrong length.
    pub fn from_wire(image: GuardEntryImage, now: Ms) -> Option<Self> {
        let id = GuardId {
            key: Key::new(image.key),
            request_id: image.request_id,
        };
        if image.removed {
            return Some(Self::Removed(id, image.sequence));
        }
        Some(Self::Put(GuardEntry {
            id,
            digest: Fingerprint::from_bytes(&image.digest)?,
            phase: match image.result {
                None => GuardPhase::Running,
                Some(result) => GuardPhase::Finished(CallResult::from_wire(result)),
            },
            sequence: image.sequence,
            kept_until: now + Ms(image.kept_ms),
        }))
    }
}
