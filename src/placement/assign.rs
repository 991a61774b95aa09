use crate::{
    control::{Range, RangeTable, Server, Session, State},
    wire::control::AssignRange,
};

/// A server that can take ranges, with the ranges that it has.
struct Candidate<'a> {
    session: &'a Session,
    server: &'a Server,
    ranges: usize,
}

/// Returns an assignment for each range that has no owner, to the server with the fewest ranges a
/// slot. Ranges of a service without a usable server stay without an owner.
pub fn assign_unowned(state: &State) -> Vec<AssignRange> {
    let mut assignments = Vec::new();
    for table in state.services() {
        let mut candidates = candidates(state, table);
        for (position, range) in table.ranges().iter().enumerate() {
            if range.owner.is_some() {
                continue;
            }
            let Some(i) = choose(&candidates, range) else {
                break;
            };
            candidates[i].ranges += 1;
            let span = table.span(position);
            assignments.push(AssignRange {
                service: table.service.clone(),
                start: span.start.to_bytes(),
                end: span.end.map(|e| e.to_bytes()),
                session: candidates[i].session.id,
                server: candidates[i].server.address.clone(),
                reason: "no owner".into(),
            });
        }
    }
    assignments
}

fn candidates<'a>(state: &'a State, table: &RangeTable) -> Vec<Candidate<'a>> {
    let mut candidates = Vec::new();
    for session in state.sessions() {
        for server in &session.servers {
            if server.service != table.service || state.is_drained(session, server) {
                continue;
            }
            let owned = |r: &&Range| {
                r.owner
                    .as_ref()
                    .is_some_and(|o| o.session == session.id && o.server == server.address)
            };
            let ranges = table.ranges().iter().filter(owned).count();
            candidates.push(Candidate {
                session,
                server,
                ranges,
            });
        }
    }
    candidates
}

/// Returns the position of the target of a planned move, or else of the least loaded server.
fn choose(candidates: &[Candidate<'_>], range: &Range) -> Option<usize> {
    if let Some(release) = &range.release {
        let is_target =
            |c: &Candidate<'_>| c.session.id == release.to_session && c.server.address == release.to_server;
        if let Some(target) = candidates.iter().position(is_target) {
            return Some(target);
        }
    }
    let load = |c: &Candidate<'_>| (c.ranges + 1) as f64 / f64::from(c.server.slots.max(1));
    (0..candidates.len()).min_by(|a, b| load(&candidates[*a]).total_cmp(&load(&candidates[*b])))
}
