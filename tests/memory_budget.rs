//! The budget of memory: what is granted, what waits and what is refused, and in which order.

use {
    clementinefold::{
        clock::{Clock, Ms},
        memory::{
            Ledger, MemoryBudget, Refused, ReservationKind, ReservationState, Settled, PRESSURE_TIME,
            SMALL_BYTES, STALL_TIME, WRITE_STALL_TIME,
        },
    },
    std::{
        future::Future,
        net::{IpAddr, Ipv4Addr},
    },
    tokio::{runtime::Builder, time::timeout},
};

const LIMIT: usize = 1024 * 1024;
const LARGE: usize = 4 * SMALL_BYTES;
const START: Ms = Ms(10_000);

fn client(number: u8) -> Option<IpAddr> {
    Some(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)))
}

/// Opens a body and asks for its bytes.
fn body(ledger: &mut Ledger, from: u8, bytes: usize, now: Ms) -> (u64, ReservationState) {
    let id = ledger.open(ReservationKind::Body, client(from), now);
    (id, ledger.request(id, bytes, now))
}

#[test]
fn one_request_fits() {
    let mut ledger = Ledger::new(LIMIT);
    let (id, state) = body(&mut ledger, 1, 3 * LIMIT, START);
    assert_eq!((state, ledger.held()), (ReservationState::Held, 3 * LIMIT));
    // Its response is read as well, although the budget is exceeded.
    let response = ledger.open(ReservationKind::Response, None, START);
    assert_eq!(ledger.request(response, LIMIT, START), ReservationState::Held);
    ledger.close(response, START);
    ledger.close(id, START);
    assert_eq!(ledger.held(), 0);
}

#[test]
fn bodies_wait() {
    let mut ledger = Ledger::new(LIMIT);
    let (first, _) = body(&mut ledger, 1, LARGE, START);
    body(&mut ledger, 1, LARGE, START);
    let (third, state) = body(&mut ledger, 1, LARGE, START);
    assert_eq!(state, ReservationState::Waiting);
    // Ordinary requests are not behind large ones, nor are responses.
    assert_eq!(body(&mut ledger, 2, SMALL_BYTES, START).1, ReservationState::Held);
    let response = ledger.open(ReservationKind::Response, None, START);
    assert_eq!(ledger.request(response, LARGE, START), ReservationState::Held);
    ledger.close(response, START);
    let settled = ledger.close(first, START);
    assert!(settled.granted.is_empty());
    let (_, state) = body(&mut ledger, 3, LARGE, START);
    assert_eq!(state, ReservationState::Waiting, "it must not overtake the third");
    assert_eq!(ledger.state(third), ReservationState::Waiting);
}

#[test]
fn stalled_refused_first() {
    let mut ledger = Ledger::new(LIMIT);
    let (oldest, _) = body(&mut ledger, 1, LARGE, START);
    let (moving, _) = body(&mut ledger, 1, LARGE, START);
    let (waiting, _) = body(&mut ledger, 2, LARGE, START + STALL_TIME - PRESSURE_TIME);
    let now = START + STALL_TIME;
    ledger.record_progress(moving, 1, now - Ms(1));
    assert!(ledger.settle(now - Ms(1)).refused.is_empty());
    assert_eq!(ledger.settle(now).refused, [oldest]);
    // What ends already is not refused twice, and nobody else is refused in its place.
    assert!(ledger.settle(now + Ms(1)).refused.is_empty());
    assert_eq!(ledger.close(oldest, now).granted, [waiting]);
    // A wait for the budget is no stall of the sender.
    let (last, _) = body(&mut ledger, 3, LARGE, now);
    ledger.record_progress(moving, 1, now + PRESSURE_TIME);
    assert!(ledger.settle(now + PRESSURE_TIME).refused.is_empty());
    assert_eq!(ledger.state(last), ReservationState::Waiting);
}

#[test]
fn without_pressure_nobody_refused() {
    let mut ledger = Ledger::new(LIMIT);
    body(&mut ledger, 1, LARGE, START);
    body(&mut ledger, 1, LARGE, START);
    let settled = ledger.settle(START + Ms(60_000));
    assert_eq!(settled, Settled::default());
}

#[test]
fn waiting_for_each_other() {
    // Two bodies hold a half of what bodies may hold and want more: without a refusal neither of them would ever end.
    let mut ledger = Ledger::new(LIMIT);
    let (first, _) = body(&mut ledger, 1, LARGE, START);
    let (second, _) = body(&mut ledger, 2, LARGE, START + Ms(1));
    ledger.request(first, LARGE, START + Ms(2));
    ledger.request(second, LARGE, START + Ms(2));
    let settled = ledger.settle(START + PRESSURE_TIME + Ms(2));
    assert_eq!(settled.refused, [first]);
    assert_eq!(ledger.close(first, START).granted, [second]);
}

#[test]
fn waiting_not_refused_for_stalled() {
    // A sender that waits for a body that is about to count as stalled must not be refused in its place.
    let mut ledger = Ledger::new(LIMIT);
    let (stalled, _) = body(&mut ledger, 1, 2 * LARGE, START);
    let (waiting, _) = body(&mut ledger, 1, SMALL_BYTES, START);
    ledger.request(waiting, LARGE, START + Ms(1));
    assert!(ledger.settle(START + STALL_TIME - Ms(1)).refused.is_empty());
    assert_eq!(ledger.settle(START + STALL_TIME).refused, [stalled]);
    assert_eq!(ledger.close(stalled, START + STALL_TIME).granted, [waiting]);
}

#[test]
fn slowest_refused() {
    let mut ledger = Ledger::new(LIMIT);
    let (slow, _) = body(&mut ledger, 1, LARGE, START);
    let (fast, _) = body(&mut ledger, 1, LARGE, START);
    body(&mut ledger, 2, LARGE, START);
    let now = START + Ms(4000);
    ledger.record_progress(slow, 10, now);
    ledger.record_progress(fast, 200_000, now);
    assert_eq!(ledger.settle(now).refused, [slow]);
}

#[test]
fn many_connections_of_one_client() {
    let mut ledger = Ledger::new(LIMIT);
    let held: Vec<u64> = (0..12)
        .map(|_| body(&mut ledger, 1, SMALL_BYTES, START).0)
        .collect();
    let greedy: Vec<u64> = (0..50)
        .map(|_| body(&mut ledger, 1, SMALL_BYTES, START).0)
        .collect();
    let (other, state) = body(&mut ledger, 2, SMALL_BYTES, START + Ms(1));
    assert_eq!(state, ReservationState::Waiting);
    // The client that holds less is served before the earlier requests of the other one.
    assert_eq!(ledger.close(held[0], START).granted, [other]);
    assert_eq!(ledger.close(held[1], START).granted, [greedy[0]]);
    // When both are stalled, the connections of the client that holds most are refused.
    let refused = ledger.settle(START + STALL_TIME + Ms(1)).refused;
    assert!(!refused.is_empty() && !refused.contains(&other), "{refused:?}");
}

#[test]
fn unread_response_refused() {
    let mut ledger = Ledger::new(LIMIT);
    let kept = ledger.open(ReservationKind::Kept, None, START);
    assert_eq!(ledger.request(kept, LIMIT, START), ReservationState::Held);
    let writing = ledger.open(ReservationKind::Writing, client(1), START);
    ledger.set_freed_bytes(writing, LIMIT, START);
    // A small body has room beside it.
    body(&mut ledger, 2, LARGE, START);
    assert!(ledger.settle(START + WRITE_STALL_TIME - Ms(1)).refused.is_empty());
    assert_eq!(ledger.settle(START + WRITE_STALL_TIME).refused, [writing]);
}

/// Guards against heartbeats of servers that wait while callers leave responses unread.
#[test]
fn small_body_beside_responses() {
    let mut ledger = Ledger::new(LIMIT);
    let mut response = || {
        let id = ledger.open(ReservationKind::Response, None, START);
        ledger.request(id, LARGE, START)
    };
    let granted = (0..LIMIT / LARGE)
        .filter(|_| response() == ReservationState::Held)
        .count();
    assert_eq!(granted, LIMIT / LARGE - 1);
    let kept = ledger.open(ReservationKind::Kept, None, START);
    ledger.request(kept, LIMIT, START);
    assert_eq!(body(&mut ledger, 1, SMALL_BYTES, START).1, ReservationState::Held);
    assert_eq!(
        body(&mut ledger, 2, SMALL_BYTES, START).1,
        ReservationState::Waiting
    );
}

/// Guards against daemons that hold responses for each other and have no room left to fetch any.
#[test]
fn forwarded_share() {
    let mut ledger = Ledger::new(LIMIT);
    let mut request = |kind, bytes| {
        let id = ledger.open(kind, None, START);
        (id, ledger.request(id, bytes, START))
    };
    let (forwarded, state) = request(ReservationKind::ForwardedResponse, LIMIT / 2);
    assert_eq!(state, ReservationState::Held);
    let (next, state) = request(ReservationKind::ForwardedResponse, LARGE);
    assert_eq!(state, ReservationState::Waiting);
    let (own, state) = request(ReservationKind::Response, LIMIT / 2);
    assert_eq!(
        state,
        ReservationState::Held,
        "it is not behind those of other daemons"
    );
    // The share counts until the response has left, also once it is complete.
    ledger.keep(forwarded);
    assert!(ledger.close(own, START).granted.is_empty());
    assert_eq!(ledger.close(forwarded, START).granted, [next]);
    ledger.close(next, START);
    let single = ledger.open(ReservationKind::ForwardedResponse, None, START);
    assert_eq!(ledger.request(single, 3 * LIMIT, START), ReservationState::Held);
}

/// Guards against ordinary calls that wait behind large responses for which there is no room.
#[test]
fn small_responses_first() {
    let mut ledger = Ledger::new(LIMIT);
    let mut request = |kind, bytes| {
        let id = ledger.open(kind, None, START);
        ledger.request(id, bytes, START)
    };
    let kinds = [ReservationKind::Response, ReservationKind::ForwardedResponse];
    assert_eq!(request(kinds[0], LIMIT / 4), ReservationState::Held);
    assert_eq!(request(kinds[1], LIMIT / 2), ReservationState::Held);
    for kind in kinds {
        assert_eq!(request(kind, LIMIT / 2), ReservationState::Waiting);
        assert_eq!(request(kind, SMALL_BYTES), ReservationState::Held);
    }
}

#[test]
fn responses_not_refused() {
    let mut ledger = Ledger::new(LIMIT);
    let first = ledger.open(ReservationKind::Response, None, START);
    ledger.request(first, LIMIT, START);
    let second = ledger.open(ReservationKind::Response, None, START);
    assert_eq!(ledger.request(second, LARGE, START), ReservationState::Waiting);
    assert!(ledger.settle(START + Ms(60_000)).refused.is_empty());
    // A response that is complete is still held.
    ledger.keep(first);
    assert_eq!(ledger.settle(START + Ms(60_000)), Settled::default());
    assert_eq!(ledger.close(first, START).granted, [second]);
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_time().build().unwrap();
    runtime.block_on(test);
}

#[test]
fn returned_on_drop() {
    run(async {
        let budget = MemoryBudget::new(LIMIT, Clock::manual(START));
        let reservation = budget.reservation(ReservationKind::Body, client(1));
        reservation.reserve(100).await.unwrap();
        let bytes = reservation.keep(vec![1; 100].into());
        let clone = bytes.slice(10..20);
        drop(bytes);
        assert_eq!(budget.held(), 100);
        drop(clone);
        assert_eq!(budget.held(), 0);
        drop(budget.keep(vec![1; 50].into()));
        assert_eq!(budget.held(), 0);
    });
}

#[test]
fn wakes_waiting() {
    run(async {
        let budget = MemoryBudget::new(LIMIT, Clock::System);
        let first = budget.reservation(ReservationKind::Body, client(1));
        first.reserve(LIMIT).await.unwrap();
        let (second, third) = (
            budget.reservation(ReservationKind::Body, client(2)),
            budget.reservation(ReservationKind::Body, client(3)),
        );
        // A future that is dropped while it waits leaves no claim.
        let waiting = timeout(std::time::Duration::from_millis(1), second.reserve(LARGE)).await;
        assert!(waiting.is_err() && second.is_waiting());
        drop(second);
        let ended = async {
            first.refused().await;
            drop(first);
        };
        let (granted, ()) = tokio::join!(third.reserve(LARGE), ended);
        assert_eq!(granted, Ok(()));
        assert_eq!((budget.held(), budget.refused()), (LARGE, 1));
        let fourth = budget.reservation(ReservationKind::Body, client(3));
        fourth.reserve(LARGE).await.unwrap();
        assert_eq!(third.reserve(LIMIT).await, Err(Refused));
    });
}

#[test]
fn without_limit() {
    run(async {
        let budget = MemoryBudget::default();
        let reservation = budget.reservation(ReservationKind::Body, client(1));
        reservation.reserve(usize::MAX).await.unwrap();
        reservation.reserve(usize::MAX).await.unwrap();
        assert_eq!(budget.held(), 0);
    });
}

/// Guards against two daemons whose own responses wait for the room of the other one.
#[test]
fn own_response_fits() {
    let mut ledger = Ledger::new(LIMIT);
    for kind in [ReservationKind::Kept, ReservationKind::ForwardedResponse] {
        let id = ledger.open(kind, None, START);
        assert_eq!(ledger.request(id, LIMIT / 2, START), ReservationState::Held);
    }
    let own = ledger.open(ReservationKind::Response, None, START);
    assert_eq!(ledger.request(own, LARGE, START), ReservationState::Held);
    let next = ledger.open(ReservationKind::Response, None, START);
    assert_eq!(ledger.request(next, LARGE, START), ReservationState::Waiting);
}
