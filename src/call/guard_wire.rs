use {
    super::{CallResult, Fingerprint, GuardEntry, GuardId, GuardPhase},
    crate::{clock::Ms, key::Key, wire::peer::GuardEntryImage},
};

/// One change of a guard, as it is sent to the copy.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardChange {
    /// The entry was added or changed.
    Put(GuardEntry),
    /// The entry was removed with this sequence number, since the call was not run.
    Removed(GuardId, u64),
}

impl GuardChange {
    /// Returns the id of the call.
    pub fn id(&self) -> &GuardId {
        match self {
            Self::Put(entry) => &entry.id,
            Self::Removed(id, _) => id,
        }
    }

    /// Converts to the message form. Times are sent as the time left, since the clocks of hosts differ.
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

    /// Converts from the message form. Returns `None` if the digest has a wrong length.
    pub fn from_wire(image: GuardEntryImage, now: Ms) -> Option<Self> {
        let id = GuardId {
            // The id stays when the recorded answer is dropped, and must not keep the message that had both.
            key: Key::new(image.key).detached(),
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
