//! The guard lets no call run twice, whatever happens to its owner, its copy and the answers.

use {
    bytes::Bytes,
    clementinefold::{
        call::{
            CallResult, Fingerprint, Guard, GuardDecision, GuardEntry, GuardId, GuardLimits, GuardPhase,
            Outcome, Reason,
        },
        clock::Ms,
        key::{Key, KeyRange},
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const KEPT: Ms = Ms(1000);
const IDS: usize = 6;
const SEED: u64 = 5;
const RUNS: u64 = 3000;

fn id(number: usize) -> GuardId {
    GuardId {
        key: Key::new(format!("key-{}", number % 3).into_bytes()),
        request_id: format!("id-{number}"),
    }
}

fn digest(body: u8) -> Fingerprint {
    Fingerprint([body; 16])
}

fn answered() -> CallResult {
    CallResult::answered(200, Vec::new(), Bytes::from_static(b"done"))
}

fn everything() -> KeyRange {
    KeyRange::default()
}

fn guard() -> Guard {
    Guard::new(GuardLimits::default())
}

/// How a call that was let through goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// The copy could not be reached; the call is not sent.
    CopyFailed,
    /// The owner is lost after the copy, before the server got the call.
    OwnerLostBeforeSend,
    /// The owner is lost while the server runs the call.
    OwnerLostAfterSend,
    /// The server refuses the call.
    Refused,
    /// The server runs it, and its answer is lost.
    AnswerLost,
    /// The server answers, but the copy never learns it.
    AnsweredNotCopied,
    /// The server answers.
    Answered,
    /// It runs on for the rest of the schedule.
    RunsOn,
}

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Call(usize, u8, Fate),
    PlannedMove,
    OwnerLost,
    CopyLost,
    BothLost,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let fates = [
            Fate::CopyFailed,
            Fate::OwnerLostBeforeSend,
            Fate::OwnerLostAfterSend,
            Fate::Refused,
            Fate::AnswerLost,
            Fate::AnsweredNotCopied,
            Fate::Answered,
            Fate::RunsOn,
        ];
        let number = usize::arbitrary(g) % IDS;
        match u8::arbitrary(g) % 12 {
            0 => Self::PlannedMove,
            1 => Self::OwnerLost,
            2 => Self::CopyLost,
            3 => Self::BothLost,
            _ => Self::Call(number, u8::arbitrary(g) % 5 / 4, *g.choose(&fates).unwrap()),
        }
    }
}

/// The guard with its copy, and what really happened.
struct World {
    owner: Guard,
    copy: Guard,
    now: Ms,
    runs: [u32; IDS],
    /// True while every answer about the id so far was that it was not run.
    only_not_run: [bool; IDS],
}

impl World {
    fn new() -> Self {
        Self {
            owner: guard(),
            copy: guard(),
            now: Ms(1),
            runs: [0; IDS],
            only_not_run: [true; IDS],
        }
    }

    fn take_over(&mut self, entries: Vec<GuardEntry>, gap_until: Ms) {
        self.owner = guard();
        entries.into_iter().for_each(|entry| self.owner.adopt(entry));
        self.owner.record_gap(gap_until);
        self.renew_copy();
    }

    fn renew_copy(&mut self) {
        self.copy = guard();
        for entry in self.owner.entries_of(&everything()) {
            self.copy.apply_copy(entry);
        }
        self.copy.record_gap(self.owner.gap_until());
    }

    fn lose_owner(&mut self) {
        self.take_over(self.copy.entries_of(&everything()), self.copy.gap_until());
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Call(number, body, fate) => self.call(*number, *body, *fate),
            Step::PlannedMove => self.take_over(self.owner.entries_of(&everything()), self.owner.gap_until()),
            Step::OwnerLost => self.lose_owner(),
            Step::CopyLost => self.renew_copy(),
            Step::BothLost => self.take_over(Vec::new(), self.now + KEPT),
        }
    }

    fn call(&mut self, number: usize, body: u8, fate: Fate) {
        let id = id(number);
        match self.owner.begin(&id, digest(body), self.now + KEPT, self.now) {
            GuardDecision::Run(entry) => self.go_on(number, entry, fate),
            GuardDecision::Wait => self.only_not_run[number] = false,
            GuardDecision::Replay(result) => self.told(number, result.outcome),
            GuardDecision::Refuse(Reason::RequestIdReused) => {}
            GuardDecision::Refuse(reason) => self.told(number, reason.outcome()),
        }
    }

    fn go_on(&mut self, number: usize, entry: GuardEntry, fate: Fate) {
        let id = id(number);
        if fate == Fate::CopyFailed {
            self.owner.forget(&id);
            return;
        }
        self.copy.apply_copy(entry);
        let reached = !matches!(fate, Fate::OwnerLostBeforeSend | Fate::Refused);
        self.runs[number] += u32::from(reached);
        match fate {
            Fate::OwnerLostBeforeSend | Fate::OwnerLostAfterSend => {
                self.lose_owner();
                self.told(number, Outcome::Unknown);
            }
            Fate::Refused => {
                let sequence = self.owner.forget(&id);
                self.copy.apply_removal(&id, sequence);
            }
            Fate::AnswerLost => self.end(number, &CallResult::failed(Reason::ServerLost), true),
            Fate::AnsweredNotCopied => self.end(number, &answered(), false),
            Fate::Answered => self.end(number, &answered(), true),
            Fate::RunsOn | Fate::CopyFailed => self.told(number, Outcome::Unknown),
        }
    }

    fn end(&mut self, number: usize, result: &CallResult, copied: bool) {
        let entry = self.owner.finish(&id(number), result).unwrap();
        if copied {
            self.copy.apply_copy(entry);
        }
        self.told(number, result.outcome);
    }

    fn told(&mut self, number: usize, outcome: Outcome) {
        self.only_not_run[number] &= outcome == Outcome::NotRun;
    }

    fn holds(&self) -> bool {
        let once = self.runs.iter().all(|runs| *runs <= 1);
        let mut ids = self.runs.iter().zip(self.only_not_run);
        once && ids.all(|(runs, only_not_run)| !only_not_run || *runs == 0)
    }
}

fn schedule_holds(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    for step in &steps {
        world.step(step);
        world.now += Ms(1);
        if !world.holds() {
            return false;
        }
    }
    true
}

#[test]
fn any_schedule() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(RUNS)
        .quickcheck(schedule_holds as fn(Vec<Step>) -> bool);
}

fn begin(guard: &mut Guard, number: usize, body: u8, now: Ms) -> GuardDecision {
    guard.begin(&id(number), digest(body), now + KEPT, now)
}

#[test]
fn resends() {
    let mut guard = guard();
    assert!(matches!(begin(&mut guard, 1, 0, Ms(1)), GuardDecision::Run(_)));
    assert_eq!(
        begin(&mut guard, 1, 0, Ms(2)),
        GuardDecision::Wait,
        "while running"
    );
    let reused = GuardDecision::Refuse(Reason::RequestIdReused);
    assert_eq!(
        begin(&mut guard, 1, 1, Ms(2)),
        reused,
        "another body while running"
    );
    guard.finish(&id(1), &answered());
    assert_eq!(
        begin(&mut guard, 1, 0, Ms(3)),
        GuardDecision::Replay(answered()),
        "after finishing"
    );
    assert_eq!(
        begin(&mut guard, 1, 1, Ms(3)),
        reused,
        "another body after finishing"
    );
    guard.forget(&id(1));
    assert!(
        matches!(begin(&mut guard, 1, 0, Ms(4)), GuardDecision::Run(_)),
        "after a not-run"
    );
}

#[test]
fn late_copies_change_nothing() {
    let (mut owner, mut copy) = (guard(), guard());
    let GuardDecision::Run(first) = begin(&mut owner, 1, 0, Ms(1)) else {
        panic!("not let through");
    };
    let removed = owner.forget(&id(1));
    let GuardDecision::Run(second) = begin(&mut owner, 1, 0, Ms(2)) else {
        panic!("not let through");
    };
    copy.apply_copy(second.clone());
    copy.apply_removal(&id(1), removed);
    assert_eq!(copy.entry(&id(1)), Some(&second), "a late removal");
    copy.apply_copy(first);
    assert_eq!(copy.entry(&id(1)), Some(&second), "a late entry");
}

#[test]
fn bounds() {
    let limits = GuardLimits {
        entries: 3,
        answer_bytes: 6,
    };
    let mut guard = Guard::new(limits);
    for number in 0..3 {
        assert!(matches!(
            begin(&mut guard, number, 0, Ms(1)),
            GuardDecision::Run(_)
        ));
        guard.finish(&id(number), &answered());
    }
    let dropped = GuardDecision::Replay(CallResult::failed(Reason::AnswerNotKept));
    assert_eq!(
        begin(&mut guard, 0, 0, Ms(2)),
        dropped,
        "the oldest answer gave way, its id stays"
    );
    let full = GuardDecision::Refuse(Reason::Overloaded);
    assert_eq!(
        begin(&mut guard, 4, 0, Ms(2)),
        full,
        "no id is forgotten to make room"
    );
    for part in 0..256 {
        guard.expire(part, Ms(1) + KEPT);
    }
    assert!(guard.is_empty());
    assert!(matches!(
        begin(&mut guard, 4, 0, Ms(2) + KEPT),
        GuardDecision::Run(_)
    ));
    for part in 0..256 {
        guard.expire(part, Ms(10) + KEPT + KEPT);
    }
    assert_eq!(guard.len(), 1, "a running call is never forgotten");
}

#[test]
fn hole() {
    let mut guard = guard();
    guard.record_gap(Ms(100));
    let lost = GuardDecision::Refuse(Reason::GuardLost);
    assert_eq!(begin(&mut guard, 1, 0, Ms(99)), lost);
    assert_eq!(Reason::GuardLost.outcome(), Outcome::Unknown);
    assert!(matches!(begin(&mut guard, 1, 0, Ms(100)), GuardDecision::Run(_)));
}

#[test]
fn running_call_taken_over() {
    let mut old = guard();
    let GuardDecision::Run(entry) = begin(&mut old, 1, 0, Ms(1)) else {
        panic!("not let through");
    };
    let mut new = guard();
    new.adopt(entry);
    let phase = &new.entry(&id(1)).unwrap().phase;
    assert!(matches!(phase, GuardPhase::Finished(result) if result.outcome == Outcome::Unknown));
}
