use {
    crate::{
        clock::Ms,
        key::{Key, KeyRange},
    },
    serde::Serialize,
};

/// Why a call is refused before any work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The epoch of the call is not the one that was granted.
    StaleEpoch,
    /// The key was not granted, or its lease has ended.
    NotOwner,
    /// The server takes no new work.
    Draining,
}

impl Refusal {
    /// Returns the word of the `Fold-Refused` header.
    pub fn word(self) -> &'static str {
        match self {
            Self::StaleEpoch => "stale-epoch",
            Self::NotOwner => "not-owner",
            Self::Draining => "draining",
        }
    }
}

/// A span that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Granted {
    span: KeyRange,
    epoch: u64,
}

/// One change of what the server owns, for the checker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OwnershipRecord {
    /// `grant` or `revoke`.
    pub change: &'static str,
    /// First key of the span, as text.
    pub start: String,
    /// First key after the span, as text. `None`: no upper bound.
    pub end: Option<String>,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// When it was changed, by the clock of the host.
    pub at_ms: u64,
}

/// A time without a gap in which the grants were good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LeasePeriod {
    /// Start by the clock of the host.
    pub from_ms: u64,
    /// End by the clock of the host.
    pub until_ms: u64,
}

/// What a server owns, and how it got there.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
    granted: Vec<Granted>,
    /// Highest epoch that was granted for any span, with the span.
    seen: Vec<Granted>,
    leases: Vec<LeasePeriod>,
    draining: bool,
    records: Vec<OwnershipRecord>,
}

impl Ownership {
    /// Takes a grant. False: a higher epoch was granted for a part of the span before.
    ///
    /// Grants whose lease has ended are dropped first, so that no later lease brings them back.
    pub fn grant(&mut self, span: KeyRange, epoch: u64, lease_ends_at: Ms, now: Ms) -> bool {
        self.drop_ended(now);
        if self
            .seen
            .iter()
            .any(|g| g.epoch > epoch && g.span.overlaps(&span))
        {
            return false;
        }
        self.cut(&span);
        self.seen.retain(|g| g.span != span);
        self.seen.push(Granted {
            span: span.clone(),
            epoch,
        });
        self.record("grant", &span, epoch, now);
        self.granted.push(Granted { span, epoch });
        self.prolong(lease_ends_at, now);
        true
    }

    /// Extends all grants. False: nothing is granted, or the lease has ended; it is not revived.
    pub fn extend(&mut self, lease_ends_at: Ms, now: Ms) -> bool {
        self.drop_ended(now);
        if self.granted.is_empty() {
            return false;
        }
        self.prolong(lease_ends_at, now);
        true
    }

    /// Stops owning a span that was granted at `epoch`.
    pub fn revoke(&mut self, span: &KeyRange, epoch: u64, now: Ms) {
        let (revoked, kept): (Vec<_>, Vec<_>) = self
            .granted
            .drain(..)
            .partition(|g| g.epoch == epoch && g.span.overlaps(span));
        self.granted = kept;
        for part in revoked {
            self.granted.extend(without(&part, span));
        }
        self.record("revoke", span, epoch, now);
    }

    /// Takes no new work.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Decides whether a call may run.
    ///
    /// # Errors
    /// Why the call is refused.
    pub fn admit(&self, key: &Key, epoch: u64, now: Ms) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::Draining);
        }
        let granted = self
            .granted
            .iter()
            .find(|g| g.span.contains(key))
            .ok_or(Refusal::NotOwner)?;
        if granted.epoch != epoch {
            return Err(Refusal::StaleEpoch);
        }
        if !self.lease_holds(now) {
            return Err(Refusal::NotOwner);
        }
        Ok(())
    }

    /// Returns all changes of what the server owns.
    pub fn records(&self) -> &[OwnershipRecord] {
        &self.records
    }

    /// Returns the times in which the grants were good.
    pub fn leases(&self) -> &[LeasePeriod] {
        &self.leases
    }

    fn lease_holds(&self, now: Ms) -> bool {
        self.leases.last().is_some_and(|lease| now.0 < lease.until_ms)
    }

    fn drop_ended(&mut self, now: Ms) {
        if !self.lease_holds(now) {
            self.granted.clear();
        }
    }

    fn prolong(&mut self, ends_at: Ms, now: Ms) {
        if ends_at <= now {
            return;
        }
        match self.leases.last_mut() {
            Some(lease) if now.0 < lease.until_ms => lease.until_ms = lease.until_ms.max(ends_at.0),
            _ => self.leases.push(LeasePeriod {
                from_ms: now.0,
                until_ms: ends_at.0,
            }),
        }
    }

    /// Removes `span` from everything that was granted.
    fn cut(&mut self, span: &KeyRange) {
        let granted = std::mem::take(&mut self.granted);
        for part in granted {
            if part.span.overlaps(span) {
                self.granted.extend(without(&part, span));
            } else {
                self.granted.push(part);
            }
        }
    }

    fn record(&mut self, change: &'static str, span: &KeyRange, epoch: u64, now: Ms) {
        self.records.push(OwnershipRecord {
            change,
            start: span.start.to_text(),
            end: span.end.as_ref().map(Key::to_text),
            epoch,
            at_ms: now.0,
        });
    }
}

/// Returns what is left of `granted` without `span`.
fn without(granted: &Granted, span: &KeyRange) -> Vec<Granted> {
    let mut left = Vec::new();
    if granted.span.start < span.start {
        let end = Some(span.start.clone());
        left.push(Granted {
            span: KeyRange {
                start: granted.span.start.clone(),
                end,
            },
            epoch: granted.epoch,
        });
    }
    if let Some(end) = &span.end {
        let above = KeyRange {
            start: end.clone(),
            end: granted.span.end.clone(),
        };
        if !above.is_empty() {
            left.push(Granted {
                span: above,
                epoch: granted.epoch,
            });
        }
    }
    left
}
