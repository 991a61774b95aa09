use {
    super::GrantTarget,
    crate::{
        clock::Ms,
        control::{Owner, State},
        key::{Key, KeyRange},
    },
};

/// Longest time by the daemon's clock that a hold may last on a server whose clock runs slow, in percent of the hold.
const SLOW_CLOCK_PERCENT: u64 = 103;

/// A span that a server reports as held or as still running calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedSpan {
    /// Keys that the server reports.
    pub span: KeyRange,
    /// Epoch of the ownership.
    pub epoch: u64,
}

/// A span that a server has given up, with the handover token for the next owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreedSpan {
    /// Keys that the server no longer holds.
    pub span: KeyRange,
    /// Token with which the next owner gets the state of the keys.
    pub handover: String,
}

/// A span that a server should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Keys to hold, or to give up if `release` is set.
    pub span: KeyRange,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Handover token of the previous owner, or empty if there is none.
    pub handover: String,
    /// Log index of the release, if the server should give the span up.
    pub release: Option<u64>,
}

/// A release that a server has completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// Keys that the server has released.
    pub span: KeyRange,
    /// Epoch of the ownership that has ended.
    pub epoch: u64,
    /// Log index of the release.
    pub release: u64,
    /// Handover token for the next owner, or empty if the server gave none.
    pub handover: String,
}

/// What one server holds, for a server that fetches its grants with its heartbeats.
///
/// Such a server holds exactly the spans in the answer to its last heartbeat, for the time given there. So a span is
/// free once an answer has left it out and a later heartbeat no longer reports it, or once the last hold has ended. Of
/// holds that were given before the table existed, only the end is known, and not which heartbeats were sent before them.
#[derive(Clone, Debug, Default)]
pub struct HoldTable {
    /// Spans in the last answer, sorted by start, or `None` if no heartbeat has been answered yet.
    offered: Option<Vec<Hold>>,
    /// End of the longest hold given so far, by the daemon's clock.
    ends_at: Ms,
    /// End of the holds that were given before this table existed. Their spans are not known.
    inherited_until: Ms,
    /// Spans that the server has reported before `inherited_until`.
    seen: Vec<KeyRange>,
    /// Spans whose handover tokens have not been passed on yet.
    freed: Vec<FreedSpan>,
}

impl HoldTable {
    /// Handles a heartbeat that was received at `now`. `wanted` is what the server should hold by the replicated
    /// state. `hold` is the time that the answer grants, or zero if it grants none. Returns the spans for the answer,
    /// or `None` if `hold` is zero, and the releases that are complete.
    pub fn heartbeat(
        &mut self,
        reported: &[ReportedSpan],
        freed: Vec<FreedSpan>,
        wanted: Vec<Hold>,
        hold: Ms,
        now: Ms,
    ) -> (Option<Vec<Hold>>, Vec<Released>) {
        self.freed.extend(freed);
        let may_be_held = |span: &KeyRange| {
            let offered = self.offered.iter().flatten();
            offered.map(|h| &h.span).any(|s| s.overlaps(span))
                || reported.iter().any(|r| r.span.overlaps(span))
        };
        // A heartbeat may be older than a hold that was given before this table existed. Only one that follows a report of
        // the span is known not to be: an answer that offered it may have been for a late heartbeat, too.
        let is_inherited =
            |span: &KeyRange| now < self.inherited_until && !self.seen.iter().any(|seen| seen.covers(span));
        let released: Vec<Released> = wanted
            .iter()
            .filter(|h| !may_be_held(&h.span) && !is_inherited(&h.span))
            .filter_map(|h| self.released(h))
            .collect();
        self.record_seen(reported, now);
        if hold == Ms::ZERO {
            return (None, released);
        }
        let mut offered: Vec<Hold> = wanted.into_iter().filter(|h| h.release.is_none()).collect();
        for hold in &mut offered {
            // A server that already holds the keys needs no token.
            if reported
                .iter()
                .any(|r| r.epoch == hold.epoch && r.span.overlaps(&hold.span))
            {
                hold.handover.clear();
            }
        }
        // Once keys are granted again, their token is obsolete.
        self.freed
            .retain(|f| !offered.iter().any(|h| h.span.overlaps(&f.span)));
        // The server may measure the hold with a slow clock.
        self.ends_at = self.ends_at.max(now + Ms(hold.0 * SLOW_CLOCK_PERCENT / 100));
        self.offered = Some(offered.clone());
        (Some(offered), released)
    }

    /// Records what the server has reported while holds from before this table may last.
    fn record_seen(&mut self, reported: &[ReportedSpan], now: Ms) {
        if now >= self.inherited_until {
            self.seen.clear();
            return;
        }
        for span in reported.iter().map(|r| &r.span) {
            if !self.seen.contains(span) {
                self.seen.push(span.clone());
            }
        }
    }

    /// Returns the spans of the last answer that the server does not report.
    pub fn unreported(&self, reported: &[ReportedSpan]) -> Vec<Hold> {
        let offered = self.offered.iter().flatten();
        let missing = offered.filter(|h| !reported.iter().any(|r| r.span.overlaps(&h.span)));
        missing.cloned().collect()
    }

    /// Returns whether the server may be sent a call for `key`, which it owns at `epoch`. Its grant may have an
    /// earlier epoch, since joined ranges take the highest one. Until the first heartbeat has been answered, every
    /// call may be sent and the server itself decides.
    pub fn can_serve(&self, key: &Key, epoch: u64, now: Ms) -> bool {
        let Some(offered) = &self.offered else {
            return true;
        };
        let found = offered.partition_point(|h| h.span.start <= *key).checked_sub(1);
        let held = found.map(|i| &offered[i]).filter(|h| h.span.contains(key));
        now < self.ends_at && held.is_some_and(|h| h.epoch <= epoch)
    }

    /// Returns the end of the longest hold given so far, by the daemon's clock.
    pub fn ends_at(&self) -> Ms {
        self.ends_at
    }

    /// Records the end of a hold that was given by an earlier daemon process or to an earlier server process.
    pub fn record_hold_end(&mut self, ends_at: Ms) {
        self.ends_at = self.ends_at.max(ends_at);
        self.inherited_until = self.inherited_until.max(ends_at);
    }

    /// Returns the number of spans in the answer to the last heartbeat, or zero if there is none.
    pub fn held_count(&self) -> usize {
        self.offered.as_ref().map_or(0, Vec::len)
    }

    /// Returns the number of spans in the answer to the last heartbeat and their highest epoch, which are zero if there
    /// are none.
    pub fn summary(&self) -> (usize, u64) {
        let epochs = self.offered.iter().flatten().map(|h| h.epoch);
        (self.held_count(), epochs.max().unwrap_or_default())
    }

    fn released(&self, hold: &Hold) -> Option<Released> {
        let token = self.freed.iter().rev().find(|f| f.span.overlaps(&hold.span));
        Some(Released {
            span: hold.span.clone(),
            epoch: hold.epoch,
            release: hold.release?,
            handover: token.map(|f| f.handover.clone()).unwrap_or_default(),
        })
    }
}

/// Returns the spans that a server should hold by the replicated state, sorted by key. There are none while the state lacks
/// a list of servers that may have ended its ownerships.
pub fn wanted_holds(state: &State, target: &GrantTarget<'_>) -> Vec<Hold> {
    let Some((session, table)) = target.listed(state) else {
        return Vec::new();
    };
    let mut holds = Vec::new();
    for (position, range) in table.ranges().iter().enumerate() {
        let owner = range.owner.as_ref();
        let is_own = |o: &&Owner| o.session == session.id && o.server == target.server.address;
        if let Some(owner) = owner.filter(is_own) {
            holds.push(Hold {
                span: table.span(position),
                epoch: owner.epoch,
                handover: owner.handover.clone(),
                release: range.release.as_ref().map(|r| r.index),
            });
        }
    }
    holds
}
