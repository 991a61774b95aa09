use {
    super::LostOwner,
    crate::{
        clock::Ms,
        control::{Range, RangeTable, State},
        key::Key,
    },
};

/// Time for which the host of an ended session is kept.
const HOST_RETENTION: Ms = Ms(3_600_000);

/// The host of a live or ended session.
#[derive(Clone, Debug)]
struct HostRecord {
    session: u64,
    host: String,
    failure_domain: String,
    last_seen_at: Ms,
}

/// Last owner and last move of one range.
#[derive(Clone, Debug)]
pub(super) struct RangeRecord {
    start: Key,
    /// Session of its owner, or of its last owner.
    session: Option<u64>,
    lost_at: Option<Ms>,
    pub moved_at: Option<Ms>,
}

/// Owners and moves that this leader has observed.
///
/// A new leader starts with an empty history, so it treats each range without an owner as a new one.
#[derive(Clone, Debug, Default)]
pub(super) struct RangeHistory {
    /// Sorted by session.
    hosts: Vec<HostRecord>,
    /// Sorted by service; the ranges of each are sorted by start.
    services: Vec<(String, Vec<RangeRecord>)>,
}

impl RangeHistory {
    /// Updates the history from the state.
    pub fn observe(&mut self, state: &State, now: Ms) {
        self.hosts.retain(|h| now - h.last_seen_at < HOST_RETENTION);
        for session in state.sessions() {
            let record = HostRecord {
                session: session.id,
                host: session.open.host.clone(),
                failure_domain: session.open.failure_domain.clone(),
                last_seen_at: now,
            };
            match self.hosts.binary_search_by_key(&session.id, |h| h.session) {
                Ok(i) => self.hosts[i].last_seen_at = now,
                Err(i) => self.hosts.insert(i, record),
            }
        }
        let previous_services = std::mem::take(&mut self.services);
        for table in state.range_tables() {
            let found = previous_services
                .iter()
                .find(|(service, _)| *service == table.service);
            let previous = found.map_or(&[][..], |(_, ranges)| ranges);
            self.services
                .push((table.service.clone(), observe_table(previous, table, now)));
        }
    }

    /// Returns the records of the ranges of a service, in the order of its range table.
    pub fn ranges(&self, service: &str) -> &[RangeRecord] {
        let found = self.services.binary_search_by(|(s, _)| s.as_str().cmp(service));
        found.map_or(&[], |i| &self.services[i].1)
    }

    /// Returns the last owner of a range that has lost it, or `None` if the range has an owner or the host of the last
    /// one is unknown.
    pub fn lost_owner(&self, range: &RangeRecord) -> Option<LostOwner> {
        let (at, session) = (range.lost_at?, range.session?);
        let position = self.hosts.binary_search_by_key(&session, |h| h.session).ok()?;
        let host = &self.hosts[position];
        Some(LostOwner {
            at,
            host: host.host.clone(),
            failure_domain: host.failure_domain.clone(),
        })
    }

    /// Records that a span that starts at `start` is about to move. If it will be split off, the range that still
    /// contains it is marked.
    pub fn record_move(&mut self, service: &str, start: &Key, now: Ms) {
        let Ok(i) = self.services.binary_search_by(|(s, _)| s.as_str().cmp(service)) else {
            return;
        };
        let ranges = &mut self.services[i].1;
        match ranges.binary_search_by(|r| r.start.cmp(start)) {
            Ok(i) => ranges[i].moved_at = Some(now),
            Err(i) if i > 0 => ranges[i - 1].moved_at = Some(now),
            Err(_) => {}
        }
    }
}

/// Returns the new records of a table's ranges. A new range inherits the record of the range that contained its start.
fn observe_table(previous: &[RangeRecord], table: &RangeTable, now: Ms) -> Vec<RangeRecord> {
    let mut next = Vec::with_capacity(table.ranges().len());
    let mut index = 0;
    for range in table.ranges() {
        while previous.get(index + 1).is_some_and(|p| p.start <= range.start) {
            index += 1;
        }
        next.push(observe_range(previous.get(index), range, now));
    }
    next
}

fn observe_range(previous: Option<&RangeRecord>, range: &Range, now: Ms) -> RangeRecord {
    let owner = range.owner.as_ref().map(|o| o.session);
    let lost_at = match (owner, previous) {
        (None, Some(previous)) if previous.session.is_some() => previous.lost_at.or(Some(now)),
        _ => None,
    };
    RangeRecord {
        start: range.start.clone(),
        session: owner.or_else(|| previous.and_then(|p| p.session)),
        lost_at,
        // A move by an operator starts the settling time too, as a move by the planner does.
        moved_at: match range.release {
            Some(_) => Some(now),
            None => previous.and_then(|p| p.moved_at),
        },
    }
}
