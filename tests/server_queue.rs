//! The queue in front of a server: slots, order, early refusal, priorities, expired work, lone calls.

use clementinefold::{
    call::{Admission, AdmissionRequest, Dequeued, Reason, ServerQueue},
    clock::Ms,
};

/// The kind of all calls where the kind does not matter.
const KIND: u64 = 1;

fn demand(priority: u8, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        kind: KIND,
        priority,
        objective: Ms(deadline),
        deadline: Ms(deadline),
        is_exclusive: false,
    }
}

fn alone(deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        is_exclusive: true,
        ..demand(5, deadline)
    }
}

fn ticket(admission: &Admission) -> u64 {
    match admission {
        Admission::Wait { ticket, .. } => *ticket,
        other => panic!("it should wait: {other:?}"),
    }
}

fn reason(admission: &Admission) -> Option<Reason> {
    match admission {
        Admission::Refused(refusal) => Some(refusal.reason),
        Admission::Run | Admission::Wait { .. } => None,
    }
}

/// Returns a queue of `slots` slots that are all taken.
fn full(slots: usize) -> ServerQueue {
    let mut queue = ServerQueue::new(slots);
    for _ in 0..slots {
        assert_eq!(queue.admit(Ms(0), demand(5, 1000)), Admission::Run);
    }
    queue
}

#[test]
fn order_of_turns() {
    let mut queue = full(1);
    let late = ticket(&queue.admit(Ms(0), demand(5, 900)));
    let soon = ticket(&queue.admit(Ms(0), demand(5, 300)));
    let urgent = ticket(&queue.admit(Ms(0), demand(9, 950)));
    let mut order = Vec::new();
    for _ in 0..3 {
        queue.finish(KIND, None);
        order.extend(queue.dequeue(Ms(1)).next);
    }
    assert_eq!(order, [urgent, soon, late]);
    assert_eq!(
        queue.dequeue(Ms(1)),
        Dequeued::default(),
        "no slot is given twice"
    );
}

#[test]
fn never_above_slots() {
    let mut queue = full(3);
    for _ in 0..5 {
        ticket(&queue.admit(Ms(0), demand(5, 1000)));
    }
    assert_eq!(queue.dequeue(Ms(1)).next, None);
    queue.finish(KIND, None);
    assert!(queue.dequeue(Ms(1)).next.is_some());
    assert_eq!(queue.dequeue(Ms(1)).next, None);
    assert_eq!(queue.running(), 3);
}

#[test]
fn expired_work_dropped() {
    let mut queue = full(1);
    let short = ticket(&queue.admit(Ms(0), demand(9, 10)));
    let long = ticket(&queue.admit(Ms(0), demand(1, 100)));
    queue.finish(KIND, None);
    let turn = queue.dequeue(Ms(10));
    assert_eq!(turn.expired, [short]);
    assert_eq!(turn.next, Some(long));
    assert_eq!(
        reason(&queue.admit(Ms(10), demand(5, 10))),
        Some(Reason::DeadlineTooShort)
    );
}

#[test]
fn early_refusal() {
    let mut queue = ServerQueue::new(1);
    for _ in 0..100 {
        assert_eq!(queue.admit(Ms(0), demand(5, 1000)), Admission::Run);
        queue.finish(KIND, Some(Ms(100)));
    }
    assert_eq!(queue.admit(Ms(0), demand(5, 1000)), Admission::Run);
    ticket(&queue.admit(Ms(0), demand(5, 1000)));
    let refused = queue.admit(Ms(0), demand(5, 150));
    assert_eq!(
        reason(&refused),
        Some(Reason::Overloaded),
        "it could not end in time"
    );
    let Admission::Refused(refusal) = refused else {
        panic!("not refused");
    };
    assert!(refusal.retry_after > Ms(100));
}

#[test]
fn lowest_priority_shed() {
    let mut queue = full(1);
    let mut low = Vec::new();
    for n in 0..16 {
        low.push(ticket(&queue.admit(Ms(0), demand(2, 1000 + n))));
    }
    let same = queue.admit(Ms(0), demand(2, 900));
    assert_eq!(reason(&same), Some(Reason::Overloaded));
    let Admission::Wait { shed, .. } = queue.admit(Ms(0), demand(7, 1000)) else {
        panic!("a higher priority gets a place");
    };
    assert_eq!(shed, [low[15]]);
}

#[test]
fn forgotten_place() {
    let mut queue = full(1);
    let gone = ticket(&queue.admit(Ms(0), demand(9, 1000)));
    let stays = ticket(&queue.admit(Ms(0), demand(5, 1000)));
    queue.forget(gone);
    queue.finish(KIND, None);
    assert_eq!(queue.dequeue(Ms(1)).next, Some(stays));
}

#[test]
fn lone_call() {
    let mut queue = full(2);
    let suspect = ticket(&queue.admit(Ms(0), alone(1000)));
    queue.finish(KIND, None);
    assert_eq!(queue.dequeue(Ms(1)).next, None, "another call still runs");
    queue.finish(KIND, None);
    assert_eq!(queue.dequeue(Ms(1)).next, Some(suspect));
    let beside = ticket(&queue.admit(Ms(1), demand(9, 1000)));
    assert_eq!(queue.dequeue(Ms(1)).next, None, "nothing runs beside it");
    queue.finish(KIND, None);
    assert_eq!(queue.dequeue(Ms(1)).next, Some(beside));
}
