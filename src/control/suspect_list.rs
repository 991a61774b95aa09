use crate::{
    call::Fingerprint,
    clock::Ms,
    wire::control::{ServerCrashed, SuspectImage},
};

/// How long a request stays suspected or quarantined after its last crash.
const SUSPICION_TTL: Ms = Ms(3_600_000);
/// Limit on the suspects. The oldest ones are evicted.
const SUSPECTS_MAX: usize = 10_000;
/// Number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: u32 = 2;

/// How a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// The request may run next to others.
    Clear,
    /// The request may run only while the server runs nothing else.
    Alone,
    /// The request may not be sent.
    Quarantined,
}

/// The requests that were running when a server crashed, anywhere in the cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectList {
    /// Sorted by fingerprint.
    list: Vec<SuspectImage>,
}

impl SuspectList {
    /// Counts a crash against the requests that were running, and returns those that are quarantined because of it.
    pub fn record_crash(&mut self, crash: &ServerCrashed, at_ms: u64) -> Vec<Fingerprint> {
        self.list.retain(|s| Ms(at_ms) < Ms(s.at_ms) + SUSPICION_TTL);
        let mut quarantined = Vec::new();
        for fingerprint in crash
            .fingerprints
            .iter()
            .filter_map(|f| Fingerprint::from_bytes(f))
        {
            let suspect = self.entry(fingerprint, &crash.service);
            suspect.crashes += 1;
            suspect.at_ms = at_ms;
            if suspect.crashes == QUARANTINE_CRASHES {
                quarantined.push(fingerprint);
            }
        }
        while self.list.len() > SUSPECTS_MAX {
            self.remove_oldest();
        }
        quarantined
    }

    /// Removes requests that a server survived, or that an operator released. Quarantined requests stay unless
    /// `is_release` is true. Returns the number of removed requests.
    pub fn clear(&mut self, fingerprints: &[bytes::Bytes], is_release: bool) -> usize {
        let old_len = self.list.len();
        self.list.retain(|s| {
            let stays_quarantined = !is_release && s.crashes >= QUARANTINE_CRASHES;
            stays_quarantined || !fingerprints.contains(&s.fingerprint)
        });
        old_len - self.list.len()
    }

    /// Returns how a request may be sent. `wall` is the wall clock in ms since the Unix epoch.
    pub fn suspicion(&self, fingerprint: Fingerprint, wall: Ms) -> Suspicion {
        let Ok(i) = self.position(fingerprint) else {
            return Suspicion::Clear;
        };
        let suspect = &self.list[i];
        match suspect.crashes {
            _ if wall >= Ms(suspect.at_ms) + SUSPICION_TTL => Suspicion::Clear,
            0 => Suspicion::Clear,
            crashes if crashes < QUARANTINE_CRASHES => Suspicion::Alone,
            _ => Suspicion::Quarantined,
        }
    }

    /// Returns all suspects, sorted by fingerprint.
    pub fn list(&self) -> &[SuspectImage] {
        &self.list
    }

    /// Returns the list of a snapshot, whose suspects are sorted by fingerprint.
    pub fn from_list(list: Vec<SuspectImage>) -> Self {
        Self { list }
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.list
            .binary_search_by(|s| s.fingerprint.as_ref().cmp(fingerprint.0.as_slice()))
    }

    /// Returns the suspect with this fingerprint, and adds it if it is new.
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
