//! A planned move with a loss or a late message at each of its steps. At no time do two servers hold a key, and the
//! move always ends.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{
        control::{Applied, Owner},
        grant::{self, ChangedSpans, GrantAction, GrantTable, GrantTarget},
        key::KeyRange,
        wire::control::{change, operator_command::Body, MoveSpan, RangeReleased, Server, SetServers},
    },
    state_fixture::{accepted, key, refused, server, Fixture, SERVICE},
};

/// The daemon of host 1 with its grants, which follow the state.
struct Daemon {
    grants: GrantTable,
    session: u64,
}

/// Returns a server that all lists of its daemon have named.
fn target(session: u64, server: &Server) -> GrantTarget<'_> {
    GrantTarget {
        session: Some(session),
        server,
        listed_in: Some(0),
    }
}

impl Daemon {
    fn follow(&mut self, f: &Fixture, changed_spans: &ChangedSpans) {
        let mut spans: Vec<KeyRange> = changed_spans.spans.iter().map(|(_, span)| span.clone()).collect();
        if changed_spans.all {
            spans.push(KeyRange::default());
        }
        if changed_spans.releases {
            spans.extend(self.grants.releasing_spans());
        }
        for span in spans {
            let wanted = grant::wanted_within(&f.state, &target(self.session, &server(1, true)), &span);
            self.grants.reconcile(&span, &wanted);
        }
    }

    fn record(&mut self, f: &Fixture, applied: &Applied) {
        let mut changed_spans = ChangedSpans::default();
        changed_spans.record(applied, Some(self.session));
        self.follow(f, &changed_spans);
    }

    /// Carries out all actions until none is left, and returns their names.
    fn run_to_completion(&mut self, f: &mut Fixture) -> Vec<&'static str> {
        let mut action_names = Vec::new();
        loop {
            let actions = self.grants.next_actions(|_| false);
            if actions.is_empty() {
                return action_names;
            }
            for action in actions {
                action_names.push(action_name(&action));
                if let GrantAction::Report { .. } = action {
                    let applied = report(f, &action);
                    self.record(f, &applied);
                }
                self.grants.complete(&action, true);
            }
        }
    }

    fn next(&mut self) -> GrantAction {
        let mut actions = self.grants.next_actions(|_| false);
        assert_eq!(actions.len(), 1, "{actions:?}");
        actions.remove(0)
    }

    fn is_serving(&self, f: &Fixture) -> bool {
        f.owner("a")
            .is_some_and(|o| self.grants.is_held(&key("a"), o.epoch))
    }
}

fn action_name(action: &GrantAction) -> &'static str {
    match action {
        GrantAction::Grant { .. } => "grant",
        GrantAction::Revoke { .. } => "revoke",
        GrantAction::Report { .. } => "report",
    }
}

fn report(f: &mut Fixture, action: &GrantAction) -> Applied {
    let GrantAction::Report { span, epoch, release } = action else {
        panic!("{action:?}");
    };
    f.commit(change::Body::RangeReleased(RangeReleased {
        service: SERVICE.into(),
        start: span.start.to_bytes(),
        epoch: *epoch,
        release: *release,
        handover: String::new(),
    }))
}

/// Returns a fixture with three hosts, of which host 1 serves the range of "a".
fn range_on_host_1() -> (Fixture, Daemon) {
    let mut f = Fixture::with_hosts(3, true, 500);
    f.assign("a", 1);
    let mut daemon = Daemon {
        grants: GrantTable::default(),
        session: f.session(1),
    };
    daemon.follow(&f, &ChangedSpans::everything());
    assert_eq!(daemon.run_to_completion(&mut f), ["grant"]);
    assert!(daemon.is_serving(&f));
    (f, daemon)
}

fn start_move(f: &mut Fixture, daemon: &mut Daemon, to_host: u64) {
    let applied = f.release("a", to_host);
    assert!(matches!(applied, Applied::ReleaseStarted { .. }), "{applied:?}");
    daemon.record(f, &applied);
    assert!(!daemon.is_serving(f), "no new calls while the range is given up");
}

fn end_session(f: &mut Fixture, daemon: &mut Daemon, host: u64) {
    let session = f.session(host);
    let applied = f.end(session, false);
    daemon.record(f, &applied);
}

fn host_of(f: &Fixture, owner: Option<Owner>) -> Option<u64> {
    let owner = owner?;
    (1..=3)
        .find(|host| server(*host, true).address == owner.server && f.state.session(owner.session).is_some())
}

/// Which host is lost during the move.
#[derive(Clone, Copy, Debug)]
enum Lost {
    Nobody,
    Owner,
    Target,
}

#[test]
fn host_lost_during_a_move() {
    // Name, the daemon's steps before the loss (of the revoke and the report), the lost host, the daemon's steps
    // after the loss, and the hosts that may own the range in the end.
    type Case<'a> = (&'a str, usize, Lost, &'a [&'a str], &'a [u64]);
    let cases: &[Case<'_>] = &[
        ("no loss", 0, Lost::Nobody, &["revoke", "report"], &[2]),
        ("target lost before the revoke", 0, Lost::Target, &[], &[1]),
        ("target lost after the revoke", 1, Lost::Target, &["grant"], &[1]),
        ("target lost after the report", 2, Lost::Target, &[], &[1, 3]),
        ("owner lost before the revoke", 0, Lost::Owner, &[], &[2, 3]),
        ("owner lost after the revoke", 1, Lost::Owner, &[], &[2, 3]),
        ("owner lost after the report", 2, Lost::Owner, &[], &[2]),
    ];
    for (name, steps, lost, after, owners) in cases {
        let (mut f, mut daemon) = range_on_host_1();
        start_move(&mut f, &mut daemon, 2);
        for _ in 0..*steps {
            let action = daemon.next();
            if action_name(&action) == "report" {
                let applied = report(&mut f, &action);
                daemon.record(&f, &applied);
            }
            daemon.grants.complete(&action, true);
        }
        match lost {
            Lost::Nobody => {}
            Lost::Target => end_session(&mut f, &mut daemon, 2),
            Lost::Owner => {
                let session = f.session(1);
                f.end(session, false);
                daemon.grants.drop_all();
            }
        }
        if !matches!(lost, Lost::Owner) {
            assert_eq!(daemon.run_to_completion(&mut f), *after, "{name}");
        }
        f.place();
        if !matches!(lost, Lost::Owner) {
            daemon.follow(&f, &ChangedSpans::everything());
            daemon.run_to_completion(&mut f);
        }
        let owner = f.owner("a");
        let host = host_of(&f, owner).unwrap_or_default();
        assert!(owners.contains(&host), "{name}: host {host}");
        let released = f
            .state
            .table(SERVICE)
            .unwrap()
            .range_of(&key("a"))
            .release
            .clone();
        assert_eq!(released, None, "{name}: the move has ended");
        assert_eq!(host == 1, daemon.is_serving(&f), "{name}");
    }
}

#[test]
fn late_report_is_ignored() {
    // The late report of a cancelled release must not end the ownership that was granted again.
    let (mut f, mut daemon) = range_on_host_1();
    start_move(&mut f, &mut daemon, 2);
    let revoke = daemon.next();
    daemon.grants.complete(&revoke, true);
    let late = daemon.next();
    assert_eq!(action_name(&late), "report");
    end_session(&mut f, &mut daemon, 2);
    daemon.grants.complete(&late, false);
    assert_eq!(daemon.run_to_completion(&mut f), ["grant"]);
    assert!(matches!(report(&mut f, &late), Applied::Ignored(_)));
    start_move(&mut f, &mut daemon, 3);
    assert!(
        matches!(report(&mut f, &late), Applied::Ignored(_)),
        "the report answers another release"
    );
    assert!(f.owner("a").is_some());
    assert_eq!(daemon.run_to_completion(&mut f), ["revoke", "report"]);
    assert_eq!(f.owner("a"), None);
}

#[test]
fn unconfirmed_steps_are_repeated() {
    let (mut f, mut daemon) = range_on_host_1();
    start_move(&mut f, &mut daemon, 2);
    let revoke = daemon.next();
    daemon.grants.complete(&revoke, false);
    assert!(!daemon.is_serving(&f));
    assert_eq!(daemon.next(), revoke, "an unconfirmed revoke is repeated");
    daemon.grants.complete(&revoke, true);
    let first = daemon.next();
    daemon.grants.complete(&first, false);
    assert_eq!(daemon.next(), first, "an unconfirmed report is repeated");
    // Both copies of the report arrive.
    assert!(matches!(report(&mut f, &first), Applied::RangeReleased { .. }));
    assert!(matches!(report(&mut f, &first), Applied::Ignored(_)));
}

#[test]
fn revoke_waits_for_running_calls() {
    let (mut f, mut daemon) = range_on_host_1();
    start_move(&mut f, &mut daemon, 2);
    assert_eq!(daemon.grants.next_actions(|_| true), [], "calls are running");
    // The server's lease has ended, but its calls may still be running.
    daemon.grants.mark_all_lost();
    assert_eq!(
        daemon.grants.next_actions(|_| true),
        [],
        "calls are still running"
    );
    assert_eq!(daemon.run_to_completion(&mut f), ["revoke", "report"]);
}

/// Guards against a range that goes to its next owner while calls run at a server which had to drop it before, e.g.
/// because the schema left its service out.
#[test]
fn release_of_dropped_span() {
    let (mut f, mut daemon) = range_on_host_1();
    daemon.grants.drop_all();
    daemon.grants.forget_dropped(f.now, f.now);
    assert!(daemon.grants.is_empty(), "the server's lease has ended");
    start_move(&mut f, &mut daemon, 2);
    assert_eq!(daemon.grants.next_actions(|_| true), [], "calls are running");
    assert_eq!(daemon.run_to_completion(&mut f), ["report"]);
}

/// Guards against a range that goes to its next owner while a server holds it that its daemon had removed for a while.
#[test]
fn release_after_removal() {
    let (mut f, mut daemon) = range_on_host_1();
    daemon.grants = daemon.grants.after_removal();
    assert!(!daemon.is_serving(&f), "the grant is not confirmed any more");
    start_move(&mut f, &mut daemon, 2);
    assert_eq!(daemon.run_to_completion(&mut f), ["revoke", "report"]);
}

#[test]
fn second_release_is_ignored() {
    let (mut f, mut daemon) = range_on_host_1();
    start_move(&mut f, &mut daemon, 2);
    assert!(matches!(f.release("a", 3), Applied::Ignored(_)));
    assert_eq!(daemon.run_to_completion(&mut f), ["revoke", "report"]);
    f.place();
    assert_eq!(host_of(&f, f.owner("a")), Some(2));
}

#[test]
fn move_of_a_part_of_a_range() {
    let (mut f, mut daemon) = range_on_host_1();
    let command = f.command(Body::Move(MoveSpan {
        service: SERVICE.into(),
        start: b"c".to_vec().into(),
        end: Some(b"d".to_vec().into()),
        to_host: "host-2".into(),
        to_server: String::new(),
    }));
    let answer = f.decide(&command);
    assert!(accepted(&answer).is_some());
    daemon.follow(&f, &ChangedSpans::everything());
    let epoch = f.owner("a").unwrap().epoch;
    let held = |daemon: &Daemon| ["a", "c", "d"].map(|k| daemon.grants.is_held(&key(k), epoch));
    assert_eq!(held(&daemon), [true, false, true], "only the moving part stops");
    assert_eq!(daemon.run_to_completion(&mut f), ["revoke", "report"]);
    f.place();
    assert_eq!(held(&daemon), [true, false, true]);
    let hosts = ["a", "c", "d"].map(|k| host_of(&f, f.owner(k)));
    assert_eq!(hosts, [Some(1), Some(2), Some(1)]);
}

#[test]
fn restarted_server_inherits_no_range() {
    // The new process has announced itself to the daemon, but the state still lists the old one.
    let (f, daemon) = range_on_host_1();
    let restarted = Server {
        incarnation: "second-1".into(),
        ..server(1, true)
    };
    let target = target(daemon.session, &restarted);
    let wanted = grant::wanted_within(&f.state, &target, &KeyRange::default());
    assert_eq!(wanted, [], "the new process gets no grant of the old one");
    // A grant for the old process may have reached the new one before it announced itself.
    let mut grants = daemon.grants.after_restart();
    assert!(grants.has_spans_to_drop() && !grants.can_extend());
    let actions = grants.next_actions(|_| false);
    assert_eq!(actions.iter().map(action_name).collect::<Vec<_>>(), ["revoke"]);
    grants.complete(&actions[0], true);
    assert_eq!(grants.next_actions(|_| false), []);
    assert!(!grants.has_spans_to_drop());
}

#[test]
fn late_server_list_is_ignored() {
    // A server list that arrives after a later one must not take the ranges from a server that is present.
    let (mut f, daemon) = range_on_host_1();
    let late = SetServers {
        session: daemon.session,
        number: 1,
        ..SetServers::default()
    };
    assert!(matches!(
        f.commit(change::Body::SetServers(late)),
        Applied::Ignored(_)
    ));
    assert!(daemon.is_serving(&f));
}

#[test]
fn move_commands() {
    let move_to = |service: &str, end: Option<&'static str>, host: &str, to_server: &str| {
        Body::Move(MoveSpan {
            service: service.into(),
            start: bytes::Bytes::new(),
            end: end.map(|e| e.as_bytes().into()),
            to_host: host.into(),
            to_server: to_server.into(),
        })
    };
    // Name, command, and a part of the refusal. Host 1 owns the range of "a".
    let cases = [
        ("to a host", move_to("ledger", Some("m"), "host-2", ""), None),
        (
            "to a server",
            move_to("ledger", Some("m"), "host-2", "10.0.0.2:1"),
            None,
        ),
        ("to where it is", move_to("ledger", Some("m"), "host-1", ""), None),
        (
            "also without an owner",
            move_to("ledger", None, "host-2", ""),
            None,
        ),
        (
            "unknown service",
            move_to("other", None, "host-2", ""),
            Some("no such service"),
        ),
        (
            "empty span",
            move_to("ledger", Some(""), "host-2", ""),
            Some("holds no key"),
        ),
        (
            "unknown host",
            move_to("ledger", None, "host-9", ""),
            Some("no such host"),
        ),
        (
            "unknown server",
            move_to("ledger", None, "host-2", "10.0.0.9:1"),
            Some("no such server"),
        ),
    ];
    for (name, body, refusal) in cases {
        let (mut f, mut daemon) = range_on_host_1();
        let command = f.command(body);
        let answer = f.decide(&command);
        let reason = refused(&answer);
        assert_eq!(reason.is_some(), refusal.is_some(), "{name}: {answer:?}");
        assert!(
            reason.unwrap_or_default().contains(refusal.unwrap_or_default()),
            "{name}"
        );
        daemon.follow(&f, &ChangedSpans::everything());
        daemon.run_to_completion(&mut f);
        f.place();
        let expected = if name.starts_with("to a ") || name.starts_with("also") {
            2
        } else {
            1
        };
        assert_eq!(host_of(&f, f.owner("a")), Some(expected), "{name}");
    }
}
