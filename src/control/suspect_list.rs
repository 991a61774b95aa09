use crate::{
    call::Fingerprint,
    clock::Ms,
    wire::control::{ServerCrashed, SuspectImage},
};

/// Time that a request is suspected or quarantined after its last crash.
const KEPT: Ms = Ms(3_600_000);
/// Most suspects; the oldest give way.
const SUSPECTS_MAX: usize = 10_000;
/// Crashes from which a request is quarantined.
const CRASHES_MAX: u32 = 2;

/// How a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// Like any other.
    Clear,
    /// Only while the server runs nothing else.
    Alone,
    /// Not at all.
    Quarantined,
}

/// The requests that were running when a server crashed, anywhere in the cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectList {
    /// Sorted by fingerprint.
    list: Vec<SuspectImage>,
}

impl SuspectList {
    /// Counts a crash against the requests that were running. Returns those that are quarantined by it.
    pub fn crashed(&mut self, crash: &ServerCrashed, at_ms: u64) -> Vec<Fingerprint> {
        self.list.retain(|s| Ms(at_ms) < Ms(s.at_ms) + KEPT);
        let mut quarantined = Vec::new();
        for fingerprint in crash
            .fingerprints
            .iter()
            .filter_map(|f| Fingerprint::from_bytes(f))
        {
            let suspect = self.entry(fingerprint, &crash.service);
            suspect.crashes += 1;
            suspect.at_ms = at_ms;
            if suspect.crashes == CRASHES_MAX {
                quarantined.push(fingerprint);
            }
        }
        while self.list.len() > SUSPECTS_MAX {
            self.remove_oldest();
        }
        quarantined
    }

    /// Forgets requests that a server survived, or that an operator released. Quarantined requests stay
    /// unless `release` is true. Returns how many were forgotten.
    pub fn clear(&mut self, fingerprints: &[bytes::Bytes], release: bool) -> usize {
        let before = self.list.len();
        self.list.retain(|s| {
            let kept = !release && s.crashes >= CRASHES_MAX;
            kept || !fingerprints.contains(&s.fingerprint)
        });
        before - self.list.len()
    }

    /// Tells how a request may be sent.
    pub fn suspicion(&self, fingerprint: Fingerprint, wall: Ms) -> Suspicion {
        let Ok(i) = self.position(fingerprint) else {
            return Suspicion::Clear;
        };
        let suspect = &self.list[i];
        match suspect.crashes {
            _ if wall >= Ms(suspect.at_ms) + KEPT => Suspicion::Clear,
            0 => Suspicion::Clear,
            crashes if crashes < CRASHES_MAX => Suspicion::Alone,
            _ => Suspicion::Quarantined,
        }
    }

    /// Returns all suspects, sorted by fingerprint.
    pub fn list(&self) -> &[SuspectImage] {
        &self.list
    }

    /// Reads the form of a snapshot.
    pub fn from_list(list: Vec<SuspectImage>) -> Self {
        Self { list }
    }

    /// Tells if there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.list
            .binary_search_by(|s| s.fingerprint.as_ref().cmp(fingerprint.0.as_slice()))
    }

    fn entry(&mut self, fingerprint: Fingerprint, service: &str) -> &mut SuspectImage {
        let i = match self.position(fingerprint) {
            Ok(i) => i,
            Err(i) => {
                let suspect = SuspectImage {
                    fingerprint: fingerprint.0.to_vec().into(),
                    service: service.to_owned(),
                    crashes: 0,
                    at_ms: 0,
                };
                self.list.insert(i, suspect);
                i
            }
        };
        &mut self.list[i]
    }

    fn remove_oldest(&mut self) {
        let oldest = self.list.iter().map(|s| s.at_ms).min();
        if let Some(i) = self.list.iter().position(|s| Some(s.at_ms) == oldest) {
            self.list.remove(i);
        }
    }
}
