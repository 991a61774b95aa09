use {
    super::Vacated,
    crate::{
        clock::Ms,
        control::{Range, RangeTable, State},
        key::Key,
    },
};

/// Time for which the host of an ended session is remembered.
const HOST_KEPT: Ms = Ms(3_600_000);

/// The host of a session that lives or has ended.
#[derive(Clone, Debug)]
struct KnownHost {
    session: u64,
    host: String,
    failure_domain: String,
    seen_at: Ms,
}

/// What was seen of one range.
#[derive(Clone, Debug)]
pub(super) struct KnownRange {
    start: Key,
    /// Its owner, or its last one.
    session: Option<u64>,
    vacated_at: Option<Ms>,
    pub moved_at: Option<Ms>,
}

/// What the leader saw of owners and moves. A new leader starts without it: to it, a range that has
/// no owner is a new one.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownRanges {
    /// Sorted by session.
    hosts: Vec<KnownHost>,
    /// Sorted by service; the ranges of each are sorted by start.
    services: Vec<(String, Vec<KnownRange>)>,
}

impl KnownRanges {
    /// Compares what is known with the state.
    pub fn observe(&mut self, state: &State, now: Ms) {
        self.hosts.retain(|h| now - h.seen_at < HOST_KEPT);
        for session in state.sessions() {
            let seen = KnownHost {
                session: session.id,
                host: session.open.host.clone(),
                failure_domain: session.open.failure_domain.clone(),
                seen_at: now,
            };
            match self.hosts.binary_search_by_key(&session.id, |h| h.session) {
                Ok(i) => self.hosts[i].seen_at = now,
                Err(i) => self.hosts.insert(i, seen),
            }
        }
        let before = std::mem::take(&mut self.services);
        for table in state.range_tables() {
            let found = before.iter().find(|(service, _)| *service == table.service);
            let known = found.map_or(&[][..], |(_, ranges)| ranges);
            self.services
                .push((table.service.clone(), observe_table(known, table, now)));
        }
    }

    /// Returns what is known of the ranges of a service, in the order of its table.
    pub fn ranges(&self, service: &str) -> &[KnownRange] {
        let found = self.services.binary_search_by(|(s, _)| s.as_str().cmp(service));
        found.map_or(&[], |i| &self.services[i].1)
    }

    /// Returns who lost a range that has no owner.
    pub fn vacated(&self, range: &KnownRange) -> Option<Vacated> {
        let (at, session) = (range.vacated_at?, range.session?);
        let position = self.hosts.binary_search_by_key(&session, |h| h.session).ok()?;
        let host = &self.hosts[position];
        Some(Vacated {
            at,
            host: host.host.clone(),
            failure_domain: host.failure_domain.clone(),
        })
    }

    /// Notes that the range which holds `start` is to move. A span that is split off starts there.
    pub fn moved(&mut self, service: &str, start: &Key, now: Ms) {
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

/// Walks along both lists. A new range takes over what was known of the one that held its start.
fn observe_table(known: &[KnownRange], table: &RangeTable, now: Ms) -> Vec<KnownRange> {
    let mut next = Vec::with_capacity(table.ranges().len());
    let mut at = 0;
    for range in table.ranges() {
        while known.get(at + 1).is_some_and(|k| k.start <= range.start) {
            at += 1;
        }
        next.push(observe_range(known.get(at), range, now));
    }
    next
}

fn observe_range(known: Option<&KnownRange>, range: &Range, now: Ms) -> KnownRange {
    let owner = range.owner.as_ref().map(|o| o.session);
    let vacated_at = match (owner, known) {
        (None, Some(known)) if known.session.is_some() => known.vacated_at.or(Some(now)),
        _ => None,
    };
    KnownRange {
        start: range.start.clone(),
        session: owner.or_else(|| known.and_then(|k| k.session)),
        vacated_at,
        // A range that an operator moves settles there as one that the planner moves.
        moved_at: match range.release {
            Some(_) => Some(now),
            None => known.and_then(|k| k.moved_at),
        },
    }
}
