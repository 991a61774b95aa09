use crate::{
    clock::Ms,
    control::{Server, State},
    key::{Key, KeyRange},
};

/// Time that passes here while a hold passes on the slowest clock of a server, in percent of the hold.
const SLOW_CLOCK_PERCENT: u64 = 103;

/// A span that a server says it holds or still works on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedSpan {
    /// The keys.
    pub span: KeyRange,
    /// Epoch of the ownership.
    pub epoch: u64,
}

/// A span that a server has given up, with the token for the next owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreedSpan {
    /// The keys.
    pub span: KeyRange,
    /// Token by which the next owner gets the state of the keys.
    pub handover: String,
}

/// A span that a server is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The keys.
    pub span: KeyRange,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Token of the owner before. Empty: there is none.
    pub handover: String,
    /// Log index of the release, if the span is to be given up.
    pub release: Option<u64>,
}

/// A release that the server has carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// The keys.
    pub span: KeyRange,
    /// Epoch of the ownership that ends.
    pub epoch: u64,
    /// Log index of the release.
    pub release: u64,
    /// Token for the next owner. Empty: the server gave none.
    pub handover: String,
}

/// What a server that fetches its grants with its heartbeats holds.
///
/// A server holds exactly what the answer to its last heartbeat named, for the time that the answer gave. So a
/// span is free once an answer has left it out and a later heartbeat no longer reports it, or once the last
/// hold has ended.
#[derive(Clone, Debug, Default)]
pub struct HoldTable {
    /// What the last answer named, sorted by start. `None`: no heartbeat has been answered yet.
    offered: Option<Vec<Hold>>,
    /// End of the longest hold that was given, by the daemon's clock.
    ends_at: Ms,
    /// Tokens that were not passed on yet.
    freed: Vec<FreedSpan>,
}

impl HoldTable {
    /// Takes a heartbeat that was received at `now`, and what the state wants the server to hold. `hold` is the
    /// time that the answer gives, zero if it gives none. Returns the spans that the answer names, unless it
    /// gives no time, and the releases that are complete.
    pub fn heartbeat(
        &mut self,
        reported: &[ReportedSpan],
        freed: Vec<FreedSpan>,
        wanted: Vec<Hold>,
        hold: Ms,
        now: Ms,
    ) -> (Option<Vec<Hold>>, Vec<Released>) {
        self.freed.extend(freed);
        let is_kept = |span: &KeyRange| {
            let offered = self.offered.iter().flatten();
            offered.map(|h| &h.span).any(|s| s.overlaps(span))
                || reported.iter().any(|r| r.span.overlaps(span))
        };
        let released: Vec<Released> = wanted
            .iter()
            .filter(|want| !is_kept(&want.span))
            .filter_map(|want| self.released(want))
            .collect();
        if hold == Ms::ZERO {
            return (None, released);
        }
        let mut offered: Vec<Hold> = wanted.into_iter().filter(|want| want.release.is_none()).collect();
        for hold in &mut offered {
            // A token is of use only until the server has the keys.
            if reported
                .iter()
                .any(|r| r.epoch == hold.epoch && r.span.overlaps(&hold.span))
            {
                hold.handover.clear();
            }
        }
        // A token is of no use once its keys are held again.
        self.freed
            .retain(|f| !offered.iter().any(|h| h.span.overlaps(&f.span)));
        // The server may count the hold by a slow clock.
        self.ends_at = self.ends_at.max(now + Ms(hold.0 * SLOW_CLOCK_PERCENT / 100));
        self.offered = Some(offered.clone());
        (Some(offered), released)
    }

    /// Returns what the last answer named and the server does not report.
    pub fn unreported(&self, reported: &[ReportedSpan]) -> Vec<Hold> {
        let offered = self.offered.iter().flatten();
        let missing = offered.filter(|h| !reported.iter().any(|r| r.span.overlaps(&h.span)));
        missing.cloned().collect()
    }

    /// Tells if the server may be sent a call for `key`, which it owns at `epoch`. Its grant may have an earlier epoch,
    /// since ranges that are joined take the highest one. Before the first heartbeat that is answered here, the
    /// server itself decides.
    pub fn can_serve(&self, key: &Key, epoch: u64, now: Ms) -> bool {
        let Some(offered) = &self.offered else {
            return true;
        };
        let found = offered.partition_point(|h| h.span.start <= *key).checked_sub(1);
        let held = found.map(|i| &offered[i]).filter(|h| h.span.contains(key));
        now < self.ends_at && held.is_some_and(|h| h.epoch <= epoch)
    }

    /// Returns the end of the longest hold that was given.
    pub fn ends_at(&self) -> Ms {
        self.ends_at
    }

    /// Counts a hold that was given before, by an earlier process or to an earlier server.
    pub fn record_hold_end(&mut self, ends_at: Ms) {
        self.ends_at = self.ends_at.max(ends_at);
    }

    /// Returns the number of spans that the server holds.
    pub fn held_count(&self) -> usize {
        self.offered.as_ref().map_or(0, Vec::len)
    }

    fn released(&self, want: &Hold) -> Option<Released> {
        let token = self.freed.iter().rev().find(|f| f.span.overlaps(&want.span));
        Some(Released {
            span: want.span.clone(),
            epoch: want.epoch,
            release: want.release?,
            handover: token.map(|f| f.handover.clone()).unwrap_or_default(),
        })
    }
}

/// Returns what the state wants `server` behind `session` to hold, sorted by key.
pub fn wanted_holds(state: &State, session: Option<u64>, server: &Server) -> Vec<Hold> {
    let Some(session) = session.and_then(|id| state.session(id)) else {
        return Vec::new();
    };
    let listed = session.server(&server.service, &server.address);
    let Some(table) = state.table(&server.service) else {
        return Vec::new();
    };
    // A process that was started anew gets nothing that the state gave to the one before it.
    if listed.is_none_or(|listed| listed.incarnation != server.incarnation) {
        return Vec::new();
    }
    let mut holds = Vec::new();
    for (position, range) in table.ranges().iter().enumerate() {
        let owner = range.owner.as_ref();
        let own = |o: &&crate::control::Owner| o.session == session.id && o.server == server.address;
        if let Some(owner) = owner.filter(own) {
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
