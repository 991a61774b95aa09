//! The committed changes of a control host survive a restart, also those after a snapshot.

#[path = "support/control_loop.rs"]
mod control_loop;

use {
    clementinefold::{
        control::{ControlHandle, ControlInput, State},
        wire::{
            control::{change, Change, EndSession},
            peer::{Propose, StateRequest, Watch, WatchAnswer},
        },
    },
    control_loop::{ask, start},
    tokio::sync::oneshot,
};

/// Number of changes, which is more than the 10,000 after which a snapshot is written.
const CHANGES: u64 = 10_500;

fn change() -> Propose {
    let end = EndSession {
        session: 1,
        ..EndSession::default()
    };
    Propose {
        change: Some(Change {
            proposed_at_ms: 0,
            body: Some(change::Body::EndSession(end)),
        }),
    }
}

fn watch(control: &ControlHandle, applied: u64) -> WatchAnswer {
    let req = Watch {
        applied,
        ..Watch::default()
    };
    ask(control, |tx| ControlInput::Watch(req, tx), |a| !a.declined)
}

fn state(control: &ControlHandle) -> State {
    let part = ask(
        control,
        |tx| ControlInput::State(StateRequest::default(), tx),
        |a| !a.declined,
    );
    assert_eq!(part.total, part.part.len() as u64);
    State::from_image(&part.part).unwrap()
}

#[test]
fn restart_keeps_committed_changes() {
    let dir = tempfile::tempdir().unwrap();
    let (control, thread) = start(dir.path());
    let first = ask(
        &control,
        |tx| ControlInput::Propose(change(), tx),
        |a| !a.declined,
    );
    let waiting: Vec<_> = (1..CHANGES)
        .map(|_| {
            let (tx, rx) = oneshot::channel();
            assert!(
                control.send(ControlInput::Propose(change(), tx)),
                "the queue is full"
            );
            rx
        })
        .collect();
    let indices: Vec<u64> = waiting
        .into_iter()
        .map(|rx| rx.blocking_recv().unwrap().index)
        .collect();
    assert!(indices.windows(2).all(|pair| pair[0] < pair[1]));
    let last = *indices.last().unwrap();
    assert_eq!(last - first.index, CHANGES - 1);
    assert_eq!(state(&control).applied(), last);
    ask(
        &control,
        |tx| ControlInput::State(StateRequest::default(), tx),
        |_| dir.path().join("snapshot").exists(),
    );
    control.send(ControlInput::Stop);
    thread.join().unwrap();

    let (control, thread) = start(dir.path());
    ask(
        &control,
        |tx| ControlInput::Propose(change(), tx),
        |a| a.index > last,
    );
    assert!(state(&control).applied() > last);
    let answer = watch(&control, last - 300);
    let served: Vec<u64> = answer.changes.iter().map(|c| c.index).collect();
    assert_eq!(served[..300], (last - 299..=last).collect::<Vec<u64>>()[..]);
    assert!(
        watch(&control, 1).needs_state,
        "the history does not reach back that far"
    );
    control.send(ControlInput::Stop);
    thread.join().unwrap();
}
