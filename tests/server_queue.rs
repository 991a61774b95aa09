//! The queue in front of a server: slots, order, early refusal, priorities, expired calls, exclusive calls.

use clementinefold::{
    call::{Admission, AdmissionRequest, Dequeued, Reason, ServerQueue},
    clock::Ms,
};

/// Kind of all calls.
const KIND: u64 = 1;

fn request(priority: u8, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        kind: KIND,
        priority,
        objective: Ms(deadline),
        deadline: Ms(deadline),
        is_exclusive: false,
    }
}

fn exclusive(deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        is_exclusive: true,
        ..request(5, deadline)
    }
}

fn ticket(admission: &Admission) -> u64 {
    match admission {
        Admission::Wait { ticket, .. } => *ticket,
        other => panic!("not waiting: {other:?}"),
    }
}

fn reason(admission: &Admission) -> Option<Reason> {
    match admission {
        Admission::Refused(refusal) => Some(refusal.reason),
        Admission::Run | Admission::Wait { .. } => None,
    }
}

/// Returns a queue with `slots` slots that are all taken.
fn full_queue(slots: usize) -> ServerQueue {
    let mut queue = ServerQueue::new(slots);
    for _ in 0..slots {
        assert_eq!(queue.admit(Ms(0), request(5, 1000)), Admission::Run);
    }
    queue
}

#[test]
fn order_by_priority_and_deadline() {
    let mut queue = full_queue(1);
    let late = ticket(&queue.admit(Ms(0), request(5, 900)));
    let soon = ticket(&queue.admit(Ms(0), request(5, 300)));
    let urgent = ticket(&queue.admit(Ms(0), request(9, 950)));
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
fn slots_not_exceeded() {
    let mut queue = full_queue(3);
    for _ in 0..5 {
        ticket(&queue.admit(Ms(0), request(5, 1000)));
    }
    assert_eq!(queue.dequeue(Ms(1)).next, None);
    queue.finish(KIND, None);
    assert!(queue.dequeue(Ms(1)).next.is_some());
    assert_eq!(queue.dequeue(Ms(1)).next, None);
    assert_eq!(queue.running(), 3);
}

#[test]
fn expired_work_dropped() {
    let mut queue = full_queue(1);
    let short = ticket(&queue.admit(Ms(0), request(9, 10)));
    let long = ticket(&queue.admit(Ms(0), request(1, 100)));
    queue.finish(KIND, None);
    let dequeued = queue.dequeue(Ms(10));
    assert_eq!(dequeued.expired, [short]);
    assert_eq!(dequeued.next, Some(long));
    assert_eq!(
        reason(&queue.admit(Ms(10), request(5, 10))),
        Some(Reason::DeadlineTooShort)
    );
}

#[test]
fn refused_when_late() {
    let mut queue = ServerQueue::new(1);
    for _ in 0..100 {
        assert_eq!(queue.admit(Ms(0), request(5, 1000)), Admission::Run);
        queue.finish(KIND, Some(Ms(100)));
    }
    assert_eq!(queue.admit(Ms(0), request(5, 1000)), Admission::Run);
    ticket(&queue.admit(Ms(0), request(5, 1000)));
    let refused = queue.admit(Ms(0), request(5, 150));
    assert_eq!(
        reason(&refused),
        Some(Reason::Overloaded),
        "the call could not end in time"
    );
    let Admission::Refused(refusal) = refused else {
        panic!("not refused");
    };
    assert!(refusal.retry_after > Ms(100));
}

#[test]
fn lowest_priority_shed() {
    let mut queue = full_queue(1);
    let mut low = Vec::new();
    for n in 0..16 {
        low.push(ticket(&queue.admit(Ms(0), request(2, 1000 + n))));
    }
    let same = queue.admit(Ms(0), request(2, 900));
    assert_eq!(reason(&same), Some(Reason::Overloaded));
    let Admission::Wait { shed, .. } = queue.admit(Ms(0), request(7, 1000)) else {
        panic!("a call of higher priority does not wait");
    };
    assert_eq!(shed, [low[15]]);
}

#[test]
fn removed_call_skipped() {
    let mut queue = full_queue(1);
    let removed = ticket(&queue.admit(Ms(0), request(9, 1000)));
    let remaining = ticket(&queue.admit(Ms(0), request(5, 1000)));
    queue.forget(removed);
    queue.finish(KIND, None);
    assert_eq!(queue.dequeue(Ms(1)).next, Some(remaining));
}

#[test]
fn exclusive_call() {
    let mut queue = full_queue(2);
    let suspect = ticket(&queue.admit(Ms(0), exclusive(1000)));
    queue.finish(KIND, None);
    assert_eq!(queue.dequeue(Ms(1)).next, None, "another call still runs");
    queue.finish(KIND, None);
    assert_eq!(queue.dequeue(Ms(1)).next, Some(suspect));
    let other_call = ticket(&queue.admit(Ms(1), request(9, 1000)));
    assert_eq!(queue.dequeue(Ms(1)).next, None, "nothing runs at the same time");
    queue.finish(KIND, None);
    assert_eq!(queue.dequeue(Ms(1)).next, Some(other_call));
}

/// Guards against a call that waits until its deadline behind slots that stay taken. Its caller would hear only then that
/// it has not run, and too late to ask again.
#[test]
fn refused_before_the_deadline() {
    let mut queue = ServerQueue::new(1);
    assert_eq!(queue.admit(Ms(0), request(5, 1000)), Admission::Run);
    queue.finish(KIND, Some(Ms(200)));
    assert_eq!(queue.admit(Ms(200), request(5, 10_000)), Admission::Run);
    let waiting = queue.admit(Ms(200), request(5, 1200));
    let Admission::Wait {
        give_up_at, ticket, ..
    } = waiting
    else {
        panic!("not waiting: {waiting:?}");
    };
    // A call is sent with at least 0.8 of its expected time of 200 ms.
    assert_eq!(give_up_at, Ms(1040));
    assert!(queue.dequeue(give_up_at).expired.is_empty());
    assert_eq!(queue.dequeue(give_up_at + Ms(1)).expired, [ticket]);
}
