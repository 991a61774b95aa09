//! No call runs twice, in whatever order the owner, its copy or the answers are lost.

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

const ANSWER_KEPT: Ms = Ms(1000);
const ID_COUNT: usize = 6;
const SEED: u64 = 5;
const SCHEDULES: u64 = 3000;

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

fn all_keys() -> KeyRange {
    KeyRange::default()
}

fn guard() -> Guard {
    Guard::new(GuardLimits::default())
}

/// How a call that the guard admitted ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The copy cannot be reached. The call is not sent.
    CopyFailed,
    /// The owner is lost after the entry was copied and before the server gets the call.
    OwnerLostBeforeSend,
    /// The owner is lost while the server runs the call.
    OwnerLostAfterSend,
    /// The server refuses the call.
    Refused,
    /// The server runs the call, but its answer is lost.
    AnswerLost,
    /// The server answers, but the result does not reach the copy.
    AnsweredNotCopied,
    /// The server answers.
    Answered,
    /// The call runs until the end of the schedule.
    RunsOn,
}

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Call(usize, u8, Ending),
    PlannedMove,
    OwnerLost,
    CopyLost,
    BothLost,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let endings = [
            Ending::CopyFailed,
            Ending::OwnerLostBeforeSend,
            Ending::OwnerLostAfterSend,
            Ending::Refused,
            Ending::AnswerLost,
            Ending::AnsweredNotCopied,
            Ending::Answered,
            Ending::RunsOn,
        ];
        let number = usize::arbitrary(g) % ID_COUNT;
        match u8::arbitrary(g) % 12 {
            0 => Self::PlannedMove,
            1 => Self::OwnerLost,
            2 => Self::CopyLost,
            3 => Self::BothLost,
            _ => Self::Call(number, u8::arbitrary(g) % 5 / 4, *g.choose(&endings).unwrap()),
        }
    }
}

/// The guard and its copy, with the runs and the reported outcomes of each id.
struct Model {
    owner: Guard,
    copy: Guard,
    now: Ms,
    runs: [u32; ID_COUNT],
    /// Whether every reported outcome of the id so far was `not-run`.
    only_not_run: [bool; ID_COUNT],
}

impl Model {
    fn new() -> Self {
        Self {
            owner: guard(),
            copy: guard(),
            now: Ms(1),
            runs: [0; ID_COUNT],
            only_not_run: [true; ID_COUNT],
        }
    }

    fn replace_owner(&mut self, entries: Vec<GuardEntry>, gap_until: Ms) {
        self.owner = guard();
        entries.into_iter().for_each(|entry| self.owner.adopt(entry));
        self.owner.record_gap(gap_until);
        self.rebuild_copy();
    }

    fn rebuild_copy(&mut self) {
        self.copy = guard();
        for entry in self.owner.entries_of(&all_keys()) {
            self.copy.apply_copy(entry);
        }
        self.copy.record_gap(self.owner.gap_until());
    }

    fn lose_owner(&mut self) {
        self.replace_owner(self.copy.entries_of(&all_keys()), self.copy.gap_until());
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Call(number, body, ending) => self.call(*number, *body, *ending),
            Step::PlannedMove => {
                self.replace_owner(self.owner.entries_of(&all_keys()), self.owner.gap_until())
            }
            Step::OwnerLost => self.lose_owner(),
            Step::CopyLost => self.rebuild_copy(),
            Step::BothLost => self.replace_owner(Vec::new(), self.now + ANSWER_KEPT),
        }
    }

    fn call(&mut self, number: usize, body: u8, ending: Ending) {
        let id = id(number);
        match self
            .owner
            .begin(&id, digest(body), self.now + ANSWER_KEPT, self.now)
        {
            GuardDecision::Run(entry) => self.run_admitted(number, entry, ending),
            GuardDecision::Wait => self.only_not_run[number] = false,
            GuardDecision::Replay(result) => self.record_reported(number, result.outcome),
            GuardDecision::Refuse(Reason::RequestIdReused) => {}
            GuardDecision::Refuse(reason) => self.record_reported(number, reason.outcome()),
        }
    }

    fn run_admitted(&mut self, number: usize, entry: GuardEntry, ending: Ending) {
        let id = id(number);
        if ending == Ending::CopyFailed {
            self.owner.forget(&id);
            return;
        }
        self.copy.apply_copy(entry);
        let reached_server = !matches!(ending, Ending::OwnerLostBeforeSend | Ending::Refused);
        self.runs[number] += u32::from(reached_server);
        match ending {
            Ending::OwnerLostBeforeSend | Ending::OwnerLostAfterSend => {
                self.lose_owner();
                self.record_reported(number, Outcome::Unknown);
            }
            Ending::Refused => {
                let sequence = self.owner.forget(&id);
                self.copy.apply_removal(&id, sequence);
            }
            Ending::AnswerLost => self.end(number, &CallResult::failed(Reason::ServerLost), true),
            Ending::AnsweredNotCopied => self.end(number, &answered(), false),
            Ending::Answered => self.end(number, &answered(), true),
            Ending::RunsOn | Ending::CopyFailed => self.record_reported(number, Outcome::Unknown),
        }
    }

    fn end(&mut self, number: usize, result: &CallResult, copied: bool) {
        let entry = self.owner.finish(&id(number), result).unwrap();
        if copied {
            self.copy.apply_copy(entry);
        }
        self.record_reported(number, result.outcome);
    }

    fn record_reported(&mut self, number: usize, outcome: Outcome) {
        self.only_not_run[number] &= outcome == Outcome::NotRun;
    }

    fn is_at_most_once(&self) -> bool {
        let once = self.runs.iter().all(|runs| *runs <= 1);
        let mut ids = self.runs.iter().zip(self.only_not_run);
        once && ids.all(|(runs, only_not_run)| !only_not_run || *runs == 0)
    }
}

fn runs_at_most_once(steps: Vec<Step>) -> bool {
    let mut model = Model::new();
    for step in &steps {
        model.step(step);
        model.now += Ms(1);
        if !model.is_at_most_once() {
            return false;
        }
    }
    true
}

#[test]
fn at_most_once_in_any_schedule() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(SCHEDULES)
        .quickcheck(runs_at_most_once as fn(Vec<Step>) -> bool);
}

fn begin(guard: &mut Guard, number: usize, body: u8, now: Ms) -> GuardDecision {
    guard.begin(&id(number), digest(body), now + ANSWER_KEPT, now)
}

#[test]
fn resends_by_state() {
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
fn late_copies_ignored() {
    let (mut owner, mut copy) = (guard(), guard());
    let GuardDecision::Run(first) = begin(&mut owner, 1, 0, Ms(1)) else {
        panic!("not admitted");
    };
    let removal = owner.forget(&id(1));
    let GuardDecision::Run(second) = begin(&mut owner, 1, 0, Ms(2)) else {
        panic!("not admitted");
    };
    copy.apply_copy(second.clone());
    copy.apply_removal(&id(1), removal);
    assert_eq!(copy.entry(&id(1)), Some(&second), "a late removal");
    copy.apply_copy(first);
    assert_eq!(copy.entry(&id(1)), Some(&second), "a late entry");
}

/// Guards against a copy, or an adopted guard, that records more answers than the guard of an owner.
#[test]
fn copies_limited() {
    let limits = GuardLimits {
        entries: 3,
        answer_bytes: 6,
    };
    let (mut copy, mut adopted) = (Guard::new(limits), Guard::new(limits));
    let mut owner = guard();
    for number in 0..3 {
        begin(&mut owner, number, 0, Ms(1));
        let entry = owner.finish(&id(number), &answered()).unwrap();
        copy.apply_copy(entry.clone());
        adopted.adopt(entry);
    }
    for (name, guard) in [("copy", &copy), ("adopted", &adopted)] {
        let phase = |number| &guard.entry(&id(number)).unwrap().phase;
        let dropped = GuardPhase::Finished(CallResult::failed(Reason::AnswerNotKept));
        assert_eq!(
            phase(0),
            &dropped,
            "{name}: the oldest answer is dropped, its id stays"
        );
        assert_eq!(phase(2), &GuardPhase::Finished(answered()), "{name}");
    }
}

#[test]
fn limits_enforced() {
    let guard_limits = GuardLimits {
        entries: 3,
        answer_bytes: 6,
    };
    let mut guard = Guard::new(guard_limits);
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
        "the oldest answer is dropped, its id stays"
    );
    let overloaded = GuardDecision::Refuse(Reason::Overloaded);
    assert_eq!(
        begin(&mut guard, 4, 0, Ms(2)),
        overloaded,
        "no id is forgotten for a new one"
    );
    for shard in 0..256 {
        guard.expire(shard, Ms(1) + ANSWER_KEPT);
    }
    assert!(guard.is_empty());
    assert!(matches!(
        begin(&mut guard, 4, 0, Ms(2) + ANSWER_KEPT),
        GuardDecision::Run(_)
    ));
    for shard in 0..256 {
        guard.expire(shard, Ms(10) + ANSWER_KEPT + ANSWER_KEPT);
    }
    assert_eq!(guard.len(), 1, "a running call is never forgotten");
}

#[test]
fn lost_entries_refused() {
    let mut guard = guard();
    guard.record_gap(Ms(100));
    let guard_lost = GuardDecision::Refuse(Reason::GuardLost);
    assert_eq!(begin(&mut guard, 1, 0, Ms(99)), guard_lost);
    assert_eq!(Reason::GuardLost.outcome(), Outcome::Unknown);
    assert!(matches!(begin(&mut guard, 1, 0, Ms(100)), GuardDecision::Run(_)));
}

#[test]
fn running_call_adopted_as_unknown() {
    let mut old = guard();
    let GuardDecision::Run(entry) = begin(&mut old, 1, 0, Ms(1)) else {
        panic!("not admitted");
    };
    let mut new = guard();
    new.adopt(entry);
    let phase = &new.entry(&id(1)).unwrap().phase;
    assert!(matches!(phase, GuardPhase::Finished(result) if result.outcome == Outcome::Unknown));
}
