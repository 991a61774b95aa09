//! Rules of a single member, which is given one message at a time.

use {
    bytes::Bytes,
    clementinefold::{
        clock::Ms,
        consensus::{Core, CoreConfig, MemberChange, MemberChangeError, SavedState},
        wire::consensus::{
            entry, envelope::Body, AppendAnswer, Entry, Envelope, HardState, LogHead, Member, Membership,
            Returned, ReturnedAnswer, VoteAnswer,
        },
    },
};

/// Time in ms after which a leader whose disk does not sync has certainly stepped down.
const STALL_MS: u64 = 4000;

/// Drives the core of member 1 of 3, whose log has an entry of term 2 that is not known to be committed.
struct CoreDriver {
    core: Core,
    now: Ms,
}

impl CoreDriver {
    fn new() -> Self {
        let member = |id| Member {
            id,
            address: format!("h{id}"),
            voter: true,
            replaces: 0,
        };
        let membership = Membership::new((1..=3).map(member).collect());
        let entry = |index, term, body| Entry {
            index,
            term,
            body: Some(body),
        };
        let saved = SavedState {
            hard: HardState {
                id: 1,
                cell: 7,
                term: 3,
                ..HardState::default()
            },
            head: LogHead::default(),
            entries: vec![
                entry(1, 1, entry::Body::Membership(membership)),
                entry(2, 2, entry::Body::Change(Bytes::from_static(b"old"))),
            ],
            snapshot: None,
        };
        let now = Ms(1000);
        let core = Core::new(CoreConfig::default(), saved, now);
        Self { core, now }
    }

    fn answer(&mut self, from: u64, body: Body) {
        self.receive((7, 1), from, body);
    }

    fn receive(&mut self, (cell, to): (u64, u64), from: u64, body: Body) {
        let envelope = Envelope {
            cell,
            from,
            to,
            term: self.core.term(),
            from_address: String::new(),
            body: Some(body),
        };
        self.core.receive(envelope, self.now);
    }

    /// Runs for `span` ms. Member 2 confirms the disk and grants its vote, and the disk syncs at once.
    fn run(&mut self, span: u64) {
        for _ in 0..span {
            self.now += Ms(1);
            self.core.tick(self.now);
            let outputs = self.core.take_outputs();
            if let Some((last, _)) = outputs.writes.last() {
                self.core.writes_synced(*last, self.now);
            }
            for envelope in outputs.messages.into_iter().filter(|m| m.to == 2) {
                match envelope.body {
                    Some(Body::Returned(returned)) => self.answer(
                        2,
                        Body::ReturnedAnswer(ReturnedAnswer {
                            process: returned.process,
                            ..ReturnedAnswer::default()
                        }),
                    ),
                    Some(Body::VoteRequest(req)) => self.answer(
                        2,
                        Body::VoteAnswer(VoteAnswer {
                            pre: req.pre,
                            for_term: req.for_term,
                            granted: true,
                        }),
                    ),
                    _ => {}
                }
            }
        }
    }

    fn accept(&mut self, index: u64) {
        let answer = AppendAnswer {
            accepted: true,
            index,
            sent_at_ms: self.now.0,
            ..AppendAnswer::default()
        };
        self.answer(2, Body::AppendAnswer(answer));
    }
}

/// Returns a core that leads and has not committed the first entry of its term.
fn leading_core() -> CoreDriver {
    let mut driver = CoreDriver::new();
    driver.run(1000);
    while !driver.core.is_leader() {
        driver.run(1);
    }
    driver.run(1);
    driver
}

/// The silence of a member that a new leader has had no contact with counts from when the leader began to track it,
/// not from time zero.
#[test]
fn silence_counts_from_tracking() {
    let mut driver = leading_core();
    driver.accept(3);
    let elected = driver.now;
    // The core was started at 1000 ms.
    assert!(driver.core.peer_silence(3, elected) < elected - Ms(1000));
    assert_eq!(
        driver.core.peer_silence(3, elected + Ms(700)),
        driver.core.peer_silence(3, elected) + Ms(700)
    );
    driver.now += Ms(500);
    let add = MemberChange::Add(Member {
        id: 4,
        address: "h4".into(),
        ..Member::default()
    });
    let now = driver.now;
    driver.core.change_member(&add, now).unwrap();
    assert_eq!(driver.core.peer_silence(4, now), Ms::ZERO);
    assert_eq!(driver.core.peer_silence(2, now), Ms(500));
}

/// A leader that has contact with its members but whose disk no longer syncs steps down. It is not elected again,
/// because its own vote is not synced.
#[test]
fn stalled_disk_steps_down() {
    let mut driver = leading_core();
    driver.accept(3);
    let now = driver.now;
    driver.core.propose(vec![Bytes::from_static(b"new")], now);
    let run_with_disk = |driver: &mut CoreDriver, syncs: bool| {
        for _ in 0..STALL_MS {
            driver.now += Ms(1);
            driver.accept(3);
            driver.core.tick(driver.now);
            let writes = driver.core.take_outputs().writes;
            if let Some((last, _)) = writes.last().filter(|_| syncs) {
                driver.core.writes_synced(*last, driver.now);
            }
        }
    };
    run_with_disk(&mut driver, true);
    assert!(driver.core.is_leader());
    let now = driver.now;
    driver.core.propose(vec![Bytes::from_static(b"newer")], now);
    run_with_disk(&mut driver, false);
    assert!(!driver.core.is_leader());
    run_with_disk(&mut driver, false);
    assert!(!driver.core.is_leader());
}

/// Members change one at a time, and only once an entry of the leader's own term is committed.
#[test]
fn single_member_change() {
    let mut driver = leading_core();
    let add = |id| {
        MemberChange::Add(Member {
            id,
            address: format!("h{id}"),
            ..Member::default()
        })
    };
    let now = driver.now;
    let result = driver.core.change_member(&add(4), now);
    assert_eq!(result, Err(MemberChangeError::NotLeader));
    driver.accept(3);
    assert_eq!(driver.core.change_member(&add(4), now), Ok(4));
    let result = driver.core.change_member(&add(5), now);
    assert_eq!(result, Err(MemberChangeError::Pending));
    let result = driver.core.change_member(&MemberChange::Promote(4), now);
    assert_eq!(result, Err(MemberChangeError::Pending));
}

/// A message for another incarnation of the disk, or from another cell, is ignored.
#[test]
fn foreign_messages_are_ignored() {
    for (name, meant_for, is_handled) in [
        ("own", (7, 1), true),
        ("old disk", (7, 9), false),
        ("other cell", (8, 1), false),
    ] {
        let mut driver = CoreDriver::new();
        driver.run(10);
        let returned = Body::Returned(Returned { boot: 1, process: 5 });
        driver.receive(meant_for, 2, returned);
        let outputs = driver.core.take_outputs();
        assert_eq!(!outputs.writes.is_empty(), is_handled, "{name}");
    }
}

/// Entries of earlier terms are committed only together with one of the leader's own term.
#[test]
fn own_term_commits() {
    let mut driver = leading_core();
    assert_eq!(driver.core.log().last_index(), 3);
    driver.accept(2);
    assert_eq!(
        driver.core.commit(),
        0,
        "an entry of term 2 was committed by counting"
    );
    assert!(!driver.core.is_ready());
    driver.accept(3);
    assert_eq!(driver.core.commit(), 3);
    driver.core.take_outputs();
    assert!(driver.core.is_ready());
}
