//! A planned move with a crash at each of its steps: nobody holds the key twice, and it never stays stuck.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{
        control::{Applied, Owner},
        grant::{self, ChangedSpans, GrantAction, GrantTable},
        key::KeyRange,
        wire::control::{change, operator_command::Body, MoveSpan, RangeReleased, SetServers},
    },
    state_fixture::{accepted, key, refused, server, Fixture, SERVICE},
};

/// The daemon of host 1 with its book, which follows the state.
struct Daemon {
    book: GrantTable,
    session: u64,
}

impl Daemon {
    fn follow(&mut self, f: &Fixture, touched: &ChangedSpans) {
        let mut spans: Vec<KeyRange> = touched.spans.iter().map(|(_, span)| span.clone()).collect();
        if touched.all {
            spans.push(KeyRange::default());
        }
        if touched.releases {
            spans.extend(self.book.releasing_spans());
        }
        for span in spans {
            let wanted = grant::wanted_within(&f.state, Some(self.session), &server(1, true), &span);
            self.book.reconcile(&span, &wanted);
        }
    }

    fn note(&mut self, f: &Fixture, applied: &Applied) {
        let mut touched = ChangedSpans::default();
        touched.record(applied, Some(self.session));
        self.follow(f, &touched);
    }

    /// Carries everything out until nothing is left, and returns the words of the actions.
    fn settle(&mut self, f: &mut Fixture) -> Vec<&'static str> {
        let mut words = Vec::new();
        loop {
            let actions = self.book.next_actions(|_| false);
            if actions.is_empty() {
                return words;
            }
            for action in actions {
                words.push(word(&action));
                if let GrantAction::Report { .. } = action {
                    let applied = report(f, &action);
                    self.note(f, &applied);
                }
                self.book.complete(&action, true);
            }
        }
    }

    fn next(&mut self) -> GrantAction {
        let mut actions = self.book.next_actions(|_| false);
        assert_eq!(actions.len(), 1, "{actions:?}");
        actions.remove(0)
    }

    fn serves(&self, f: &Fixture) -> bool {
        f.owner("a")
            .is_some_and(|o| self.book.is_held(&key("a"), o.epoch))
    }
}

fn word(action: &GrantAction) -> &'static str {
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

/// Three hosts; the range of "a" is served by host 1.
fn served() -> (Fixture, Daemon) {
    let mut f = Fixture::with_hosts(3, true, 500);
    f.assign("a", 1);
    let mut daemon = Daemon {
        book: GrantTable::default(),
        session: f.session(1),
    };
    daemon.follow(&f, &ChangedSpans::everything());
    assert_eq!(daemon.settle(&mut f), ["grant"]);
    assert!(daemon.serves(&f));
    (f, daemon)
}

fn start_move(f: &mut Fixture, daemon: &mut Daemon, to_host: u64) {
    let applied = f.release("a", to_host);
    assert!(matches!(applied, Applied::ReleaseStarted { .. }), "{applied:?}");
    daemon.note(f, &applied);
    assert!(!daemon.serves(f), "no new work while the range is given up");
}

fn end_session(f: &mut Fixture, daemon: &mut Daemon, host: u64) {
    let session = f.session(host);
    let applied = f.end(session, false);
    daemon.note(f, &applied);
}

fn host_of(f: &Fixture, owner: Option<Owner>) -> Option<u64> {
    let owner = owner?;
    (1..=3)
        .find(|host| server(*host, true).address == owner.server && f.state.session(owner.session).is_some())
}

/// The loss strikes after this many steps of the daemon: none, the revoke, the report.
#[derive(Clone, Copy, Debug)]
enum Lost {
    Nobody,
    Owner,
    Target,
}

#[test]
fn losses() {
    // Name, steps before the loss, who is lost, steps after it, who may own the range in the end.
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
        let (mut f, mut daemon) = served();
        start_move(&mut f, &mut daemon, 2);
        for _ in 0..*steps {
            let action = daemon.next();
            if word(&action) == "report" {
                let applied = report(&mut f, &action);
                daemon.note(&f, &applied);
            }
            daemon.book.complete(&action, true);
        }
        match lost {
            Lost::Nobody => {}
            Lost::Target => end_session(&mut f, &mut daemon, 2),
            Lost::Owner => {
                let session = f.session(1);
                f.end(session, false);
                daemon.book.drop_all();
            }
        }
        if !matches!(lost, Lost::Owner) {
            assert_eq!(daemon.settle(&mut f), *after, "{name}");
        }
        f.place();
        if !matches!(lost, Lost::Owner) {
            daemon.follow(&f, &ChangedSpans::everything());
            daemon.settle(&mut f);
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
        assert_eq!(host == 1, daemon.serves(&f), "{name}");
    }
}

#[test]
fn late_report() {
    // The report of a cancelled release must not end the ownership that was granted again.
    let (mut f, mut daemon) = served();
    start_move(&mut f, &mut daemon, 2);
    let revoke = daemon.next();
    daemon.book.complete(&revoke, true);
    let late = daemon.next();
    assert_eq!(word(&late), "report");
    end_session(&mut f, &mut daemon, 2);
    daemon.book.complete(&late, false);
    assert_eq!(daemon.settle(&mut f), ["grant"]);
    assert!(matches!(report(&mut f, &late), Applied::Ignored(_)));
    start_move(&mut f, &mut daemon, 3);
    assert!(
        matches!(report(&mut f, &late), Applied::Ignored(_)),
        "it answers another release"
    );
    assert!(f.owner("a").is_some());
    assert_eq!(daemon.settle(&mut f), ["revoke", "report"]);
    assert_eq!(f.owner("a"), None);
}

#[test]
fn unconfirmed_steps() {
    let (mut f, mut daemon) = served();
    start_move(&mut f, &mut daemon, 2);
    let revoke = daemon.next();
    daemon.book.complete(&revoke, false);
    assert!(!daemon.serves(&f));
    assert_eq!(
        daemon.next(),
        revoke,
        "a revoke that was not confirmed is given again"
    );
    daemon.book.complete(&revoke, true);
    let first = daemon.next();
    daemon.book.complete(&first, false);
    assert_eq!(
        daemon.next(),
        first,
        "a report that was not confirmed is sent again"
    );
    // Both arrive.
    assert!(matches!(report(&mut f, &first), Applied::RangeReleased { .. }));
    assert!(matches!(report(&mut f, &first), Applied::Ignored(_)));
}

#[test]
fn running_calls() {
    let (mut f, mut daemon) = served();
    start_move(&mut f, &mut daemon, 2);
    assert_eq!(daemon.book.next_actions(|_| true), [], "calls run");
    // Its lease has ended at the server; the calls may run on.
    daemon.book.mark_all_lost();
    assert_eq!(daemon.book.next_actions(|_| true), [], "calls run still");
    assert_eq!(daemon.settle(&mut f), ["revoke", "report"]);
}

#[test]
fn second_release() {
    let (mut f, mut daemon) = served();
    start_move(&mut f, &mut daemon, 2);
    assert!(matches!(f.release("a", 3), Applied::Ignored(_)));
    assert_eq!(daemon.settle(&mut f), ["revoke", "report"]);
    f.place();
    assert_eq!(host_of(&f, f.owner("a")), Some(2));
}

#[test]
fn part_of_a_range() {
    let (mut f, mut daemon) = served();
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
    let held = |daemon: &Daemon| ["a", "c", "d"].map(|k| daemon.book.is_held(&key(k), epoch));
    assert_eq!(held(&daemon), [true, false, true], "only the part stops");
    assert_eq!(daemon.settle(&mut f), ["revoke", "report"]);
    f.place();
    assert_eq!(held(&daemon), [true, false, true]);
    let hosts = ["a", "c", "d"].map(|k| host_of(&f, f.owner(k)));
    assert_eq!(hosts, [Some(1), Some(2), Some(1)]);
}

#[test]
fn restarted_server() {
    // The new process has announced itself here, but the state still has the one before it.
    let (f, daemon) = served();
    let restarted = clementinefold::wire::control::Server {
        incarnation: "second-1".into(),
        ..server(1, true)
    };
    let wanted = grant::wanted_within(&f.state, Some(daemon.session), &restarted, &KeyRange::default());
    assert_eq!(wanted, [], "nothing of the old process goes to the new one");
    // An order to the old process may have reached the new one before it announced itself.
    let mut book = daemon.book.after_restart();
    assert!(book.has_spans_to_drop() && !book.can_extend());
    let actions = book.next_actions(|_| false);
    assert_eq!(actions.iter().map(word).collect::<Vec<_>>(), ["revoke"]);
    book.complete(&actions[0], true);
    assert_eq!(book.next_actions(|_| false), []);
    assert!(!book.has_spans_to_drop());
}

#[test]
fn late_server_list() {
    // A list that was overtaken on its way must not take the ranges from a server that is there.
    let (mut f, daemon) = served();
    let late = SetServers {
        session: daemon.session,
        number: 1,
        ..SetServers::default()
    };
    assert!(matches!(
        f.commit(change::Body::SetServers(late)),
        Applied::Ignored(_)
    ));
    assert!(daemon.serves(&f));
}

#[test]
fn move_commands() {
    let wish = |service: &str, end: Option<&'static str>, host: &str, to_server: &str| {
        Body::Move(MoveSpan {
            service: service.into(),
            start: bytes::Bytes::new(),
            end: end.map(|e| e.as_bytes().into()),
            to_host: host.into(),
            to_server: to_server.into(),
        })
    };
    // Name, command, refusal. Host 1 owns the range of "a".
    let cases = [
        ("to a host", wish("ledger", Some("m"), "host-2", ""), None),
        (
            "to a server",
            wish("ledger", Some("m"), "host-2", "10.0.0.2:1"),
            None,
        ),
        ("to where it is", wish("ledger", Some("m"), "host-1", ""), None),
        ("also without an owner", wish("ledger", None, "host-2", ""), None),
        (
            "unknown service",
            wish("other", None, "host-2", ""),
            Some("no such service"),
        ),
        (
            "empty span",
            wish("ledger", Some(""), "host-2", ""),
            Some("holds no key"),
        ),
        (
            "unknown host",
            wish("ledger", None, "host-9", ""),
            Some("no such host"),
        ),
        (
            "unknown server",
            wish("ledger", None, "host-2", "10.0.0.9:1"),
            Some("no such server"),
        ),
    ];
    for (name, body, refusal) in cases {
        let (mut f, mut daemon) = served();
        let command = f.command(body);
        let answer = f.decide(&command);
        let reason = refused(&answer);
        assert_eq!(reason.is_some(), refusal.is_some(), "{name}: {answer:?}");
        assert!(
            reason.unwrap_or_default().contains(refusal.unwrap_or_default()),
            "{name}"
        );
        daemon.follow(&f, &ChangedSpans::everything());
        daemon.settle(&mut f);
        f.place();
        let expected = if name.starts_with("to a ") || name.starts_with("also") {
            2
        } else {
            1
        };
        assert_eq!(host_of(&f, f.owner("a")), Some(expected), "{name}");
    }
}
