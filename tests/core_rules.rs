//! Rules of one member, driven message by message.

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

/// Longer than a leader goes on whose disk syncs nothing, in ms.
const STALL: u64 = 4000;

/// A core of member 1 of 3 whose log holds an entry of term 2 that is not known to be committed.
struct Driven {
    core: Core,
    now: Ms,
}

impl Driven {
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

    /// Lets time pass; member 2 confirms the disk and gives its vote, and the disk syncs at once.
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

/// Returns a core that leads and whose first entry of the term is not committed.
fn leading() -> Driven {
    let mut driven = Driven::new();
    driven.run(1000);
    while !driven.core.is_leader() {
        driven.run(1);
    }
    driven.run(1);
    driven
}

/// A member that a new leader has not heard yet is not taken for one that is silent since the start of time.
#[test]
fn silence_counts_from_meeting() {
    let mut driven = leading();
    driven.accept(3);
    let elected = driven.now;
    // The member itself was started after 1000 ms.
    assert!(driven.core.peer_silence(3, elected) < elected - Ms(1000));
    assert_eq!(
        driven.core.peer_silence(3, elected + Ms(700)),
        driven.core.peer_silence(3, elected) + Ms(700)
    );
    driven.now += Ms(500);
    let add = MemberChange::Add(Member {
        id: 4,
        address: "h4".into(),
        ..Member::default()
    });
    let now = driven.now;
    driven.core.change_member(&add, now).unwrap();
    assert_eq!(driven.core.peer_silence(4, now), Ms::ZERO);
    assert_eq!(driven.core.peer_silence(2, now), Ms(500));
}

/// A leader that hears its members but whose disk syncs nothing gives way, and is not elected by its own vote.
#[test]
fn stalled_disk_steps_down() {
    let mut driven = leading();
    driven.accept(3);
    let now = driven.now;
    driven.core.propose(vec![Bytes::from_static(b"new")], now);
    let stalled = |driven: &mut Driven, syncs: bool| {
        for _ in 0..STALL {
            driven.now += Ms(1);
            driven.accept(3);
            driven.core.tick(driven.now);
            let writes = driven.core.take_outputs().writes;
            if let Some((last, _)) = writes.last().filter(|_| syncs) {
                driven.core.writes_synced(*last, driven.now);
            }
        }
    };
    stalled(&mut driven, true);
    assert!(driven.core.is_leader());
    let now = driven.now;
    driven.core.propose(vec![Bytes::from_static(b"newer")], now);
    stalled(&mut driven, false);
    assert!(!driven.core.is_leader());
    stalled(&mut driven, false);
    assert!(!driven.core.is_leader());
}

/// Members change one at a time, and only once an entry of the leader's own term is committed.
#[test]
fn one_change_at_a_time() {
    let mut driven = leading();
    let add = |id| {
        MemberChange::Add(Member {
            id,
            address: format!("h{id}"),
            ..Member::default()
        })
    };
    let now = driven.now;
    let refused = driven.core.change_member(&add(4), now);
    assert_eq!(refused, Err(MemberChangeError::NotLeader));
    driven.accept(3);
    assert_eq!(driven.core.change_member(&add(4), now), Ok(4));
    let refused = driven.core.change_member(&add(5), now);
    assert_eq!(refused, Err(MemberChangeError::Pending));
    let refused = driven.core.change_member(&MemberChange::Promote(4), now);
    assert_eq!(refused, Err(MemberChangeError::Pending));
}

/// A message for another incarnation of the disk, or of another cell, is not answered.
#[test]
fn only_own_messages() {
    for (name, meant_for, answered) in [
        ("own", (7, 1), true),
        ("old disk", (7, 9), false),
        ("other cell", (8, 1), false),
    ] {
        let mut driven = Driven::new();
        driven.run(10);
        let returned = Body::Returned(Returned { boot: 1, process: 5 });
        driven.receive(meant_for, 2, returned);
        let outputs = driven.core.take_outputs();
        assert_eq!(!outputs.writes.is_empty(), answered, "{name}");
    }
}

/// Entries of earlier terms are committed only together with one of the leader's own term.
#[test]
fn own_term_only() {
    let mut driven = leading();
    assert_eq!(driven.core.log().last_index(), 3);
    driven.accept(2);
    assert_eq!(
        driven.core.commit(),
        0,
        "an entry of term 2 was committed by counting"
    );
    assert!(!driven.core.is_ready());
    driven.accept(3);
    assert_eq!(driven.core.commit(), 3);
    driven.core.take_outputs();
    assert!(driven.core.is_ready());
}
