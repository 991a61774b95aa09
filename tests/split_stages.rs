//! The split from its start to two cells, with a fault at each stage.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{
        clock::Ms,
        control::{Applied, State},
        placement::Placer,
        split::{stage_after, Progress, SplitError},
        wire::{
            control::{
                change, operator_command::Body, CommandAnswer, OperatorCommand, RangeReleased, SplitAction,
                SplitStage, SplitStep,
            },
            peer::Renew,
        },
    },
    state_fixture::{accepted, conflict, refused, server, Fixture, SERVICE},
};

/// Time between two looks of the leader.
const STEP: Ms = Ms(200);
/// Most looks until a stage is reached.
const STEPS_MAX: usize = 2000;
const HOSTS: u64 = 4;
/// Hosts of the second half.
const SECOND_HOSTS: [u64; 2] = [3, 4];

fn split_schema(end_of_first: &str) -> String {
    format!(
        r#"{{"cluster": "test", "services": [{{"name": "ledger", "divided_by_key": true, "checks_fencing": true,
            "boundaries": ["c", "f", "i", "m", "p", "s", "v"], "moves_per_minute": 60,
            "calls": [{{"name": "read", "method": "GET", "path": "/", "idempotent": true}}]}}],
            "split": {{
              "first": {{"name": "a", "hosts": ["host-1", "host-2"],
                "spans": [{{"service": "ledger", "end": "{end_of_first}"}}]}},
              "second": {{"name": "b", "hosts": ["host-3", "host-4"],
                "spans": [{{"service": "ledger", "start": "{end_of_first}"}}]}}}}}}"#
    )
}

/// A leader with its placer, and daemons that do what they are asked.
struct Cluster {
    f: Fixture,
    placer: Placer,
    /// Hosts whose daemons are silent.
    dead: Vec<u64>,
}

impl Cluster {
    fn new() -> Self {
        let mut f = Fixture::new();
        f.apply_schema(&split_schema("n"));
        for host in 1..=HOSTS {
            let session = f.open(host, host);
            f.set_servers(session, vec![server(host, true)], &[]);
        }
        let mut cluster = Self {
            f,
            placer: Placer::new(1),
            dead: Vec::new(),
        };
        cluster.steps(10);
        cluster
    }

    fn stage(&self) -> SplitStage {
        self.f.state.split().stage()
    }

    fn step(&mut self) {
        self.f.now += STEP;
        self.renew();
        for end in self.f.view.expired(self.f.now) {
            self.f.commit(change::Body::EndSession(end));
        }
        let wanted = self.placer.changes(&self.f.state, self.f.now);
        let allowed = self.f.view.allowed(&self.f.state, wanted.assignments, self.f.now);
        for assignment in allowed {
            self.f.commit(change::Body::AssignRange(assignment));
        }
        for release in wanted.releases {
            self.f.commit(change::Body::ReleaseRange(release));
        }
        if let Some(step) = wanted.split_step {
            self.f.commit(change::Body::SplitStep(step));
        }
        self.daemons_release();
        self.check();
    }

    fn steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step();
        }
    }

    fn run_to(&mut self, stage: SplitStage) {
        for _ in 0..STEPS_MAX {
            if self.stage() == stage {
                return;
            }
            self.step();
        }
        panic!("{:?} instead of {stage:?}", self.stage());
    }

    fn renew(&mut self) {
        let sessions: Vec<(u64, String)> = self
            .f
            .state
            .sessions()
            .iter()
            .map(|s| (s.id, s.open.host.clone()))
            .collect();
        for (session, host) in sessions {
            if !self.dead.iter().any(|d| host == format!("host-{d}")) {
                let renew = Renew {
                    session,
                    applied: self.f.state.applied(),
                    ..Renew::default()
                };
                self.f.view.renew(&self.f.state, &renew, self.f.now);
            }
        }
    }

    fn daemons_release(&mut self) {
        let table = self.f.state.table(SERVICE).unwrap();
        let mut released = Vec::new();
        for range in table.ranges() {
            let (Some(owner), Some(release)) = (&range.owner, &range.release) else {
                continue;
            };
            let host = &self.f.state.session(owner.session).unwrap().open.host;
            if !self.dead.iter().any(|d| *host == format!("host-{d}")) {
                released.push(RangeReleased {
                    service: SERVICE.into(),
                    start: range.start.to_bytes(),
                    epoch: owner.epoch,
                    release: release.index,
                    handover: String::new(),
                });
            }
        }
        for released in released {
            self.f.commit(change::Body::RangeReleased(released));
        }
    }

    /// What holds after every step.
    fn check(&self) {
        let state = &self.f.state;
        let left = Progress::of(state, state.schema().split.as_ref().unwrap());
        match self.stage() {
            SplitStage::Idle | SplitStage::Moving | SplitStage::Paused => {}
            SplitStage::Settled | SplitStage::Ceding => assert_eq!(left.misplaced, 0),
            SplitStage::Parted => assert_eq!((left.misplaced, left.second_sessions), (0, 0)),
        }
        assert_eq!(state.second_cell().is_some(), self.stage() == SplitStage::Parted);
    }

    fn command(&mut self, action: SplitAction) -> OperatorCommand {
        self.f.command(Body::Split(action.into()))
    }

    fn act(&mut self, action: SplitAction) -> CommandAnswer {
        let command = self.command(action);
        self.f.decide(&command)
    }

    fn accept(&mut self, action: SplitAction) {
        let answer = self.act(action);
        assert!(accepted(&answer).is_some(), "{action:?}: {answer:?}");
    }

    /// Brings the split to `stage` without a fault.
    fn bring_to(&mut self, stage: SplitStage) {
        if stage == SplitStage::Idle {
            return;
        }
        self.accept(SplitAction::Start);
        match stage {
            SplitStage::Moving => self.steps(2),
            SplitStage::Paused => {
                self.steps(2);
                self.accept(SplitAction::Pause);
            }
            SplitStage::Settled => self.run_to(SplitStage::Settled),
            SplitStage::Ceding | SplitStage::Parted => {
                self.run_to(SplitStage::Settled);
                self.accept(SplitAction::Part);
                self.run_to(stage);
            }
            SplitStage::Idle => {}
        }
    }

    /// Carries the split on from any stage to its end.
    fn finish(&mut self) {
        match self.stage() {
            SplitStage::Idle => self.accept(SplitAction::Start),
            SplitStage::Paused => self.accept(SplitAction::Resume),
            _ => {}
        }
        if !matches!(self.stage(), SplitStage::Ceding | SplitStage::Parted) {
            self.run_to(SplitStage::Settled);
            self.accept(SplitAction::Part);
        }
        self.run_to(SplitStage::Parted);
    }
}

const STAGES: [SplitStage; 5] = [
    SplitStage::Idle,
    SplitStage::Moving,
    SplitStage::Paused,
    SplitStage::Settled,
    SplitStage::Ceding,
];

type Fault = fn(&mut Cluster);

/// Whatever happens at a stage, the split ends with two cells.
#[test]
fn fault_at_each_stage() {
    let faults: [(&str, Fault); 7] = [
        ("none", |_| {}),
        ("another leader, which has seen nothing", |c| {
            c.f.elect();
            c.placer = Placer::new(2);
        }),
        ("a control host that starts from a snapshot", |c| c.f.restore()),
        ("a daemon of the first half lost", |c| {
            c.dead.push(1);
            c.steps(60);
        }),
        ("a daemon of the second half lost", |c| {
            c.dead.push(3);
            c.steps(60);
        }),
        ("a server lost and back with another incarnation", |c| {
            let Some(session) = c.f.state.session_of_host("host-2").map(|s| s.id) else {
                return;
            };
            c.f.set_servers(session, Vec::new(), &["first-2"]);
            c.steps(3);
            let mut back = server(2, true);
            back.incarnation = "second-2".into();
            c.f.set_servers(session, vec![back], &[]);
        }),
        ("nothing for an hour", |c| {
            for _ in 0..3600 {
                c.f.now += Ms(800);
                c.step();
            }
        }),
    ];
    for stage in STAGES {
        for (name, fault) in &faults {
            let mut cluster = Cluster::new();
            cluster.bring_to(stage);
            fault(&mut cluster);
            cluster.finish();
            assert_eq!(cluster.stage(), SplitStage::Parted, "{name} at {stage:?}");
        }
    }
}

/// A resent command does nothing twice, and of two operators with the same base one wins.
#[test]
fn commands_resent_and_raced() {
    let actions = [
        (SplitStage::Idle, SplitAction::Start, SplitStage::Moving),
        (SplitStage::Moving, SplitAction::Pause, SplitStage::Paused),
        (SplitStage::Paused, SplitAction::Resume, SplitStage::Moving),
        (SplitStage::Settled, SplitAction::Part, SplitStage::Ceding),
    ];
    for (stage, action, next) in actions {
        let mut cluster = Cluster::new();
        cluster.bring_to(stage);
        let command = cluster.command(action);
        let racing = cluster.command(action);
        let answer = cluster.f.decide(&command);
        assert!(accepted(&answer).is_some(), "{action:?}: {answer:?}");
        assert_eq!(cluster.stage(), next);
        let since = cluster.f.state.split().since;
        assert_eq!(cluster.f.decide(&command), answer, "resent {action:?}");
        assert!(
            conflict(&cluster.f.decide(&racing)).is_some(),
            "racing {action:?}"
        );
        assert!(refused(&cluster.act(action)).is_some(), "{action:?} twice");
        assert_eq!((cluster.stage(), cluster.f.state.split().since), (next, since));
    }
}

#[test]
fn actions_by_stage() {
    use {SplitAction as A, SplitError as E, SplitStage as S};
    let cases = [
        (S::Idle, true, A::Start, Ok(S::Moving)),
        (S::Idle, false, A::Start, Err(E::NotDeclared)),
        (S::Idle, true, A::Part, Err(E::NotSettled)),
        (S::Idle, true, A::Pause, Err(E::NotMoving)),
        (S::Moving, true, A::Part, Err(E::NotSettled)),
        (S::Moving, true, A::Resume, Err(E::NotPaused)),
        (S::Paused, true, A::Part, Err(E::NotSettled)),
        (S::Settled, true, A::Pause, Err(E::NotMoving)),
        (S::Settled, true, A::Start, Err(E::Started)),
        (S::Ceding, true, A::Part, Err(E::NotSettled)),
        (S::Parted, true, A::Part, Err(E::NotSettled)),
        (S::Parted, true, A::Unspecified, Err(E::UnknownAction)),
    ];
    for (stage, is_declared, action, expected) in cases {
        assert_eq!(
            stage_after(stage, is_declared, action),
            expected,
            "{action:?} at {stage:?}"
        );
    }
}

/// While paused, no range changes its half.
#[test]
fn pause_holds() {
    let mut cluster = Cluster::new();
    cluster.bring_to(SplitStage::Paused);
    cluster.steps(10);
    let split = cluster.f.state.schema().split.clone().unwrap();
    let before = Progress::of(&cluster.f.state, &split);
    assert!(before.misplaced > 0, "{before:?}");
    cluster.steps(600);
    assert_eq!(Progress::of(&cluster.f.state, &split), before);
}

/// A schema that changes the halves is refused once the split has started.
#[test]
fn halves_stay() {
    let mut cluster = Cluster::new();
    cluster.bring_to(SplitStage::Moving);
    let command = cluster.f.command(Body::ApplySchema(split_schema("o")));
    assert!(refused(&cluster.f.decide(&command)).is_some());
}

fn assert_ignored(applied: &Applied, what: &str) {
    assert!(matches!(applied, Applied::Ignored(_)), "{what}: {applied:?}");
}

/// A step that a former leader proposed comes too early or too late.
#[test]
fn stale_steps() {
    for (stage, to) in [
        (SplitStage::Idle, SplitStage::Settled),
        (SplitStage::Moving, SplitStage::Settled),
        (SplitStage::Moving, SplitStage::Parted),
        (SplitStage::Paused, SplitStage::Settled),
        (SplitStage::Settled, SplitStage::Parted),
        (SplitStage::Ceding, SplitStage::Parted),
        (SplitStage::Parted, SplitStage::Settled),
    ] {
        let mut cluster = Cluster::new();
        cluster.bring_to(stage);
        let applied = cluster
            .f
            .commit(change::Body::SplitStep(SplitStep { to: to.into() }));
        assert_ignored(&applied, &format!("{to:?} at {stage:?}"));
        assert_eq!(cluster.stage(), stage);
    }
}

/// The ranges of the second half have an owner in at most one cell: the first cell gives none from the
/// ceding on, and the second one starts only after all of its sessions have ended there.
#[test]
fn ceded_ranges_stay_ceded() {
    let mut cluster = Cluster::new();
    cluster.bring_to(SplitStage::Ceding);
    assert!(cluster.f.state.second_cell().is_none(), "owners may still serve");
    for host in SECOND_HOSTS {
        assert_eq!(
            cluster.f.open(host, host),
            0,
            "host-{host} asks for its session again"
        );
    }
    cluster.dead = SECOND_HOSTS.to_vec();
    // The owner is gone, but the other server of its half still has a session.
    let owner = cluster.f.owner("z").unwrap().session;
    let other = SECOND_HOSTS.into_iter().find(|h| cluster.f.session(*h) != owner);
    cluster.f.end(owner, true);
    assert_ignored(&cluster.f.assign("z", other.unwrap()), "assignment while ceding");
    assert_ignored(
        &cluster.f.assign("z", 1),
        "assignment to the first half while ceding",
    );
    cluster.run_to(SplitStage::Parted);
    let ceded = cluster.f.state.split().ceded;
    for host in SECOND_HOSTS {
        assert_eq!(cluster.f.open(host, 100 + host), 0, "host-{host} is back");
    }
    assert_ignored(&cluster.f.assign("z", 1), "assignment after the parting");
    assert!(cluster.f.owner("z").is_none());
    // A control host that was away applies all of this from its snapshot on.
    cluster.f.restore();
    assert_ignored(&cluster.f.assign("z", 2), "assignment after a snapshot");
    assert!(cluster.f.owner("b").is_some(), "the first half is served");

    let mut second = second_of(&cluster.f.state);
    assert!(second.state.applied() >= ceded);
    assert_eq!(second.open(1, 200), 0, "a host of the first half");
    let session = second.open(3, 201);
    second.set_servers(session, vec![server(3, true)], &[]);
    assert_ignored(&second.assign("b", 3), "keys of the first half");
    second.now += Ms(60_000);
    second.place();
    assert!(second.owner("z").unwrap().epoch > ceded);
    assert!(second.owner("b").is_none());
}

fn second_of(first: &State) -> Fixture {
    let mut second = Fixture::new();
    second.state = State::from_image(&first.second_cell().unwrap().to_image()).unwrap();
    second.elect();
    second
}
