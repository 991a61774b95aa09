//! Runs a split from its start to two control cells, with a fault at each stage.

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

/// Time between two steps of the leader.
const STEP_INTERVAL: Ms = Ms(200);
/// Maximum number of steps until a stage is reached.
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

/// A leader with its placer, and daemons that renew their sessions and release ranges at once.
struct Cluster {
    fixture: Fixture,
    placer: Placer,
    /// Hosts whose daemons neither renew nor release anything.
    silent_hosts: Vec<u64>,
}

impl Cluster {
    fn new() -> Self {
        let mut fixture = Fixture::new();
        fixture.apply_schema(&split_schema("n"));
        for host in 1..=HOSTS {
            let session = fixture.open(host, host);
            fixture.set_servers(session, vec![server(host, true)], &[]);
        }
        let mut cluster = Self {
            fixture,
            placer: Placer::new(1),
            silent_hosts: Vec::new(),
        };
        cluster.steps(10);
        cluster
    }

    fn stage(&self) -> SplitStage {
        self.fixture.state.split().stage()
    }

    fn step(&mut self) {
        self.fixture.now += STEP_INTERVAL;
        self.renew_sessions();
        for end in self.fixture.view.expired(self.fixture.now) {
            self.fixture.commit(change::Body::EndSession(end));
        }
        let changes = self.placer.changes(&self.fixture.state, self.fixture.now);
        let allowed = self
            .fixture
            .view
            .allowed(&self.fixture.state, changes.assignments, self.fixture.now);
        for assignment in allowed {
            self.fixture.commit(change::Body::AssignRange(assignment));
        }
        for release in changes.releases {
            self.fixture.commit(change::Body::ReleaseRange(release));
        }
        if let Some(step) = changes.split_step {
            self.fixture.commit(change::Body::SplitStep(step));
        }
        self.release_ranges();
        self.check_invariants();
    }

    fn steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step();
        }
    }

    fn step_until(&mut self, stage: SplitStage) {
        for _ in 0..STEPS_MAX {
            if self.stage() == stage {
                return;
            }
            self.step();
        }
        panic!("{:?} instead of {stage:?}", self.stage());
    }

    fn renew_sessions(&mut self) {
        let sessions: Vec<(u64, String)> = self
            .fixture
            .state
            .sessions()
            .iter()
            .map(|s| (s.id, s.open.host.clone()))
            .collect();
        for (session, host) in sessions {
            if !self.silent_hosts.iter().any(|d| host == format!("host-{d}")) {
                let renew = Renew {
                    session,
                    applied: self.fixture.state.applied(),
                    ..Renew::default()
                };
                self.fixture
                    .view
                    .renew(&self.fixture.state, &renew, self.fixture.now);
            }
        }
    }

    fn release_ranges(&mut self) {
        let table = self.fixture.state.table(SERVICE).unwrap();
        let mut released = Vec::new();
        for range in table.ranges() {
            let (Some(owner), Some(release)) = (&range.owner, &range.release) else {
                continue;
            };
            let host = &self.fixture.state.session(owner.session).unwrap().open.host;
            if !self.silent_hosts.iter().any(|d| *host == format!("host-{d}")) {
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
            self.fixture.commit(change::Body::RangeReleased(released));
        }
    }

    /// Checks what must hold after every step.
    fn check_invariants(&self) {
        let state = &self.fixture.state;
        let progress = Progress::of(state, state.schema().split.as_ref().unwrap());
        match self.stage() {
            SplitStage::Idle | SplitStage::Moving | SplitStage::Paused => {}
            SplitStage::Settled | SplitStage::Ceding => assert_eq!(progress.misplaced, 0),
            SplitStage::Parted => assert_eq!((progress.misplaced, progress.second_sessions), (0, 0)),
        }
        assert_eq!(state.second_cell().is_some(), self.stage() == SplitStage::Parted);
    }

    fn command(&mut self, action: SplitAction) -> OperatorCommand {
        self.fixture.command(Body::Split(action.into()))
    }

    fn send_action(&mut self, action: SplitAction) -> CommandAnswer {
        let command = self.command(action);
        self.fixture.decide(&command)
    }

    fn expect_accepted(&mut self, action: SplitAction) {
        let answer = self.send_action(action);
        assert!(accepted(&answer).is_some(), "{action:?}: {answer:?}");
    }

    /// Advances the split to `stage` without a fault.
    fn advance_to(&mut self, stage: SplitStage) {
        if stage == SplitStage::Idle {
            return;
        }
        self.expect_accepted(SplitAction::Start);
        match stage {
            SplitStage::Moving => self.steps(2),
            SplitStage::Paused => {
                self.steps(2);
                self.expect_accepted(SplitAction::Pause);
            }
            SplitStage::Settled => self.step_until(SplitStage::Settled),
            SplitStage::Ceding | SplitStage::Parted => {
                self.step_until(SplitStage::Settled);
                self.expect_accepted(SplitAction::Part);
                self.step_until(stage);
            }
            SplitStage::Idle => {}
        }
    }

    /// Continues the split from any stage to its end.
    fn finish(&mut self) {
        match self.stage() {
            SplitStage::Idle => self.expect_accepted(SplitAction::Start),
            SplitStage::Paused => self.expect_accepted(SplitAction::Resume),
            _ => {}
        }
        if !matches!(self.stage(), SplitStage::Ceding | SplitStage::Parted) {
            self.step_until(SplitStage::Settled);
            self.expect_accepted(SplitAction::Part);
        }
        self.step_until(SplitStage::Parted);
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

/// After any single fault at any stage, the split still ends with two cells.
#[test]
fn split_survives_faults() {
    let faults: [(&str, Fault); 7] = [
        ("none", |_| {}),
        ("another leader without history", |c| {
            c.fixture.elect();
            c.placer = Placer::new(2);
        }),
        ("a control host restored from a snapshot", |c| c.fixture.restore()),
        ("a daemon of the first half lost", |c| {
            c.silent_hosts.push(1);
            c.steps(60);
        }),
        ("a daemon of the second half lost", |c| {
            c.silent_hosts.push(3);
            c.steps(60);
        }),
        ("a server lost and back with another incarnation", |c| {
            let Some(session) = c.fixture.state.session_of_host("host-2").map(|s| s.id) else {
                return;
            };
            c.fixture.set_servers(session, Vec::new(), &["first-2"]);
            c.steps(3);
            let mut back = server(2, true);
            back.incarnation = "second-2".into();
            c.fixture.set_servers(session, vec![back], &[]);
        }),
        ("no operator action for an hour", |c| {
            for _ in 0..3600 {
                c.fixture.now += Ms(800);
                c.step();
            }
        }),
    ];
    for stage in STAGES {
        for (name, fault) in &faults {
            let mut cluster = Cluster::new();
            cluster.advance_to(stage);
            fault(&mut cluster);
            cluster.finish();
            assert_eq!(cluster.stage(), SplitStage::Parted, "{name} at {stage:?}");
        }
    }
}

/// A resent command has no second effect, and of two commands with the same base revision only one is accepted.
#[test]
fn resent_and_concurrent_commands() {
    let actions = [
        (SplitStage::Idle, SplitAction::Start, SplitStage::Moving),
        (SplitStage::Moving, SplitAction::Pause, SplitStage::Paused),
        (SplitStage::Paused, SplitAction::Resume, SplitStage::Moving),
        (SplitStage::Settled, SplitAction::Part, SplitStage::Ceding),
    ];
    for (stage, action, next) in actions {
        let mut cluster = Cluster::new();
        cluster.advance_to(stage);
        let command = cluster.command(action);
        let concurrent = cluster.command(action);
        let answer = cluster.fixture.decide(&command);
        assert!(accepted(&answer).is_some(), "{action:?}: {answer:?}");
        assert_eq!(cluster.stage(), next);
        let since = cluster.fixture.state.split().since;
        assert_eq!(cluster.fixture.decide(&command), answer, "resent {action:?}");
        assert!(
            conflict(&cluster.fixture.decide(&concurrent)).is_some(),
            "concurrent {action:?}"
        );
        assert!(
            refused(&cluster.send_action(action)).is_some(),
            "{action:?} twice"
        );
        assert_eq!(
            (cluster.stage(), cluster.fixture.state.split().since),
            (next, since)
        );
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

/// No range moves to the other half while the split is paused.
#[test]
fn paused_split_waits() {
    let mut cluster = Cluster::new();
    cluster.advance_to(SplitStage::Paused);
    cluster.steps(10);
    let split = cluster.fixture.state.schema().split.clone().unwrap();
    let before = Progress::of(&cluster.fixture.state, &split);
    assert!(before.misplaced > 0, "{before:?}");
    cluster.steps(600);
    assert_eq!(Progress::of(&cluster.fixture.state, &split), before);
}

/// A schema that changes the halves is refused once the split has started.
#[test]
fn halves_stay_fixed() {
    let mut cluster = Cluster::new();
    cluster.advance_to(SplitStage::Moving);
    let command = cluster.fixture.command(Body::ApplySchema(split_schema("o")));
    assert!(refused(&cluster.fixture.decide(&command)).is_some());
}

fn assert_ignored(applied: &Applied, what: &str) {
    assert!(matches!(applied, Applied::Ignored(_)), "{what}: {applied:?}");
}

/// A step that does not fit the stage, as a former leader may have proposed it, has no effect.
#[test]
fn stale_steps_are_ignored() {
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
        cluster.advance_to(stage);
        let applied = cluster
            .fixture
            .commit(change::Body::SplitStep(SplitStep { to: to.into() }));
        assert_ignored(&applied, &format!("{to:?} at {stage:?}"));
        assert_eq!(cluster.stage(), stage);
    }
}

/// The ranges of the second half have an owner in at most one cell: the first cell assigns none of them from the ceding
/// stage on, and the second cell starts only after all sessions of its hosts have ended in the first.
#[test]
fn ceded_ranges_stay_ceded() {
    let mut cluster = Cluster::new();
    cluster.advance_to(SplitStage::Ceding);
    assert!(
        cluster.fixture.state.second_cell().is_none(),
        "owners may still serve"
    );
    for host in SECOND_HOSTS {
        assert_eq!(
            cluster.fixture.open(host, host),
            0,
            "host-{host} reopens its session while ceding"
        );
    }
    cluster.silent_hosts = SECOND_HOSTS.to_vec();
    // The owner's session ends, but the other server of its half still has one.
    let owner = cluster.fixture.owner("z").unwrap().session;
    let other = SECOND_HOSTS
        .into_iter()
        .find(|h| cluster.fixture.session(*h) != owner);
    cluster.fixture.end(owner, true);
    assert_ignored(
        &cluster.fixture.assign("z", other.unwrap()),
        "assignment while ceding",
    );
    assert_ignored(
        &cluster.fixture.assign("z", 1),
        "assignment to the first half while ceding",
    );
    cluster.step_until(SplitStage::Parted);
    let ceded = cluster.fixture.state.split().ceded;
    for host in SECOND_HOSTS {
        assert_eq!(
            cluster.fixture.open(host, 100 + host),
            0,
            "host-{host} opens a session after the parting"
        );
    }
    assert_ignored(&cluster.fixture.assign("z", 1), "assignment after the parting");
    assert!(cluster.fixture.owner("z").is_none());
    // A control host that restores a snapshot refuses the assignments too.
    cluster.fixture.restore();
    assert_ignored(&cluster.fixture.assign("z", 2), "assignment after a snapshot");
    assert!(
        cluster.fixture.owner("b").is_some(),
        "the first half keeps its owners"
    );

    let mut second = second_cell_of(&cluster.fixture.state);
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

fn second_cell_of(first: &State) -> Fixture {
    let mut second = Fixture::new();
    second.state = State::from_image(&first.second_cell().unwrap().to_image()).unwrap();
    second.elect();
    second
}
