use {
    crate::{
        clock::Ms,
        key::{Key, KeyRange},
    },
    serde::Serialize,
};

/// The reason why the server refuses a call without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The epoch of the call differs from the granted one.
    StaleEpoch,
    /// The key is not granted to this server, or the lease has expired.
    NotOwner,
    /// The server drains and takes no new calls.
    Draining,
}

impl Refusal {
    /// Returns the value of the `Fold-Refused` header.
    pub fn word(self) -> &'static str {
        match self {
            Self::StaleEpoch => "stale-epoch",
            Self::NotOwner => "not-owner",
            Self::Draining => "draining",
        }
    }
}

/// A span with the epoch at which it was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
struct GrantedSpan {
    span: KeyRange,
    epoch: u64,
}

/// One change of what the server owns, for the ownership check of the tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OwnershipRecord {
    /// `grant` or `revoke`.
    pub change: &'static str,
    /// First key of the span, as text.
    pub start: String,
    /// First key after the span, as text, or `None` if there is no upper bound.
    pub end: Option<String>,
    /// Epoch of the grant.
    pub epoch: u64,
    /// Time of the change by the clock of the host, in ms.
    pub at_ms: u64,
}

/// An uninterrupted period in which the lease was valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LeasePeriod {
    /// Start by the clock of the host, in ms.
    pub from_ms: u64,
    /// End by the clock of the host, in ms.
    pub until_ms: u64,
}

/// The spans that a server owns, their common lease, and the history of both.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
    granted: Vec<GrantedSpan>,
    /// Every span that was ever granted, with its latest epoch. Grants with a lower epoch are refused.
    highest_epochs: Vec<GrantedSpan>,
    leases: Vec<LeasePeriod>,
    draining: bool,
    records: Vec<OwnershipRecord>,
}

impl Ownership {
    /// Accepts a grant. Returns false, without granting the span, if a higher epoch was granted for a part of it.
    ///
    /// Grants whose lease has expired are dropped first, so that a later lease does not make them valid again.
    pub fn grant(&mut self, span: KeyRange, epoch: u64, lease_ends_at: Ms, now: Ms) -> bool {
        self.drop_expired_grants(now);
        if self
            .highest_epochs
            .iter()
            .any(|g| g.epoch > epoch && g.span.overlaps(&span))
        {
            return false;
        }
        self.remove_span(&span);
        self.highest_epochs.retain(|g| g.span != span);
        self.highest_epochs.push(GrantedSpan {
            span: span.clone(),
            epoch,
        });
        self.record("grant", &span, epoch, now);
        self.granted.push(GrantedSpan { span, epoch });
        self.extend_lease(lease_ends_at, now);
        true
    }

    /// Extends the lease of all grants. Returns false if nothing is granted or the lease has expired: an expired
    /// lease is not revived.
    pub fn extend(&mut self, lease_ends_at: Ms, now: Ms) -> bool {
        self.drop_expired_grants(now);
        if self.granted.is_empty() {
            return false;
        }
        self.extend_lease(lease_ends_at, now);
        true
    }

    /// Gives up a span that was granted at `epoch`.
    pub fn revoke(&mut self, span: &KeyRange, epoch: u64, now: Ms) {
        let (revoked, kept): (Vec<_>, Vec<_>) = self
            .granted
            .drain(..)
            .partition(|g| g.epoch == epoch && g.span.overlaps(span));
        self.granted = kept;
        for part in revoked {
            self.granted.extend(subtract_span(&part, span));
        }
        self.record("revoke", span, epoch, now);
    }

    /// Refuses all calls from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Checks whether a call for `key` may run.
    ///
    /// # Errors
    /// Returns the reason why the call is refused.
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
        if !self.is_lease_valid(now) {
            return Err(Refusal::NotOwner);
        }
        Ok(())
    }

    /// Returns all changes of what the server owns, oldest first.
    pub fn records(&self) -> &[OwnershipRecord] {
        &self.records
    }

    /// Returns the periods in which the lease was valid, oldest first.
    pub fn leases(&self) -> &[LeasePeriod] {
        &self.leases
    }

    fn is_lease_valid(&self, now: Ms) -> bool {
        self.leases.last().is_some_and(|lease| now.0 < lease.until_ms)
    }

    fn drop_expired_grants(&mut self, now: Ms) {
        if !self.is_lease_valid(now) {
            self.granted.clear();
        }
    }

    fn extend_lease(&mut self, ends_at: Ms, now: Ms) {
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

    /// Removes `span` from the granted spans.
    fn remove_span(&mut self, span: &KeyRange) {
        let granted = std::mem::take(&mut self.granted);
        for part in granted {
            if part.span.overlaps(span) {
                self.granted.extend(subtract_span(&part, span));
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

/// Returns the parts of `granted` that lie outside `span`.
fn subtract_span(granted: &GrantedSpan, span: &KeyRange) -> Vec<GrantedSpan> {
    let mut remaining = Vec::new();
    if granted.span.start < span.start {
        let end = Some(span.start.clone());
        remaining.push(GrantedSpan {
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
            remaining.push(GrantedSpan {
                span: above,
                epoch: granted.epoch,
            });
        }
    }
    remaining
}
