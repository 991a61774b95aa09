//! Operators' commands are idempotent: a command is decided once, however often it is resent.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{
        clock::Ms,
        control::CommandId,
        wire::control::{operator_command::Body, CommandAnswer, Drain, MoveSpan, OperatorCommand},
    },
    state_fixture::{accepted, conflict, refused, schema, Fixture},
};

const DAY: Ms = Ms(24 * 3_600_000);

fn apply(f: &mut Fixture, max_deadline_ms: u32) -> OperatorCommand {
    f.command(Body::ApplySchema(schema(true, max_deadline_ms)))
}

#[test]
fn resend_gets_the_first_answer() {
    type Event = fn(&mut Fixture);
    let cases: &[(&str, Event)] = &[
        ("at once", |_| {}),
        ("after a new leader", Fixture::elect),
        ("after a snapshot", Fixture::restore),
        ("after other commands", |f| {
            f.apply_schema(&schema(true, 300));
            f.apply_schema(&schema(true, 400));
        }),
        ("within the retention", |f| f.wall += Ms(DAY.0 - 1)),
    ];
    for (name, event) in cases {
        let mut f = Fixture::with_hosts(1, true, 100);
        let command = apply(&mut f, 200);
        let first = f.decide(&command);
        assert!(accepted(&first).is_some(), "{name}");
        event(&mut f);
        let revision = f.state.revision();
        assert_eq!(f.decide(&command), first, "{name}: the answer differs");
        assert_eq!(f.state.revision(), revision, "{name}: the revision changed");
    }
}

#[test]
fn resend_after_retention_is_refused() {
    let mut f = Fixture::with_hosts(1, true, 100);
    let command = apply(&mut f, 200);
    f.decide(&command);
    f.wall += DAY + Ms(1);
    f.apply_schema(&schema(true, 300));
    let revision = f.state.revision();
    // With its old base the command would be a conflict. With the present one it would revert the configuration.
    let resent = OperatorCommand {
        base: Some(revision.to_wire()),
        ..command
    };
    for leader in ["same leader", "after a snapshot"] {
        let answer = f.decide(&resent);
        assert!(
            refused(&answer).is_some_and(|r| r.contains("too old")),
            "{leader}: {answer:?}"
        );
        assert_eq!(f.state.revision(), revision, "{leader}");
        f.restore();
    }
}

#[test]
fn late_first_send_is_accepted() {
    // No answer to a command of this age was evicted, so the command was certainly not decided before.
    let mut f = Fixture::with_hosts(1, true, 100);
    let late = apply(&mut f, 200);
    f.wall += Ms(2 * DAY.0);
    assert!(accepted(&f.decide(&late)).is_some());
}

#[test]
fn resend_after_many_commands_is_refused() {
    let mut f = Fixture::new();
    let first = apply(&mut f, 200);
    f.decide(&first);
    for i in 0..20_000 {
        f.wall += Ms(1);
        let other = OperatorCommand {
            command_id: CommandId::new(f.wall, i).to_string(),
            ..OperatorCommand::default()
        };
        f.decide(&other);
    }
    let answer = f.decide(&first);
    assert!(
        refused(&answer).is_some_and(|r| r.contains("too old")),
        "{answer:?}"
    );
}

#[test]
fn second_command_on_a_base_conflicts() {
    // Two cells that committed different changes at the same indexes must have different revisions.
    let decide = |order: [u32; 2]| -> (CommandAnswer, CommandAnswer, Fixture) {
        let mut f = Fixture::with_hosts(1, true, 100);
        let commands = order.map(|deadline| apply(&mut f, deadline));
        let first = f.decide(&commands[0]);
        let second = f.decide(&commands[1]);
        (first, second, f)
    };
    let (first, second, f) = decide([200, 300]);
    assert_eq!(accepted(&first), Some(f.state.revision()));
    assert_eq!(
        conflict(&second),
        Some(f.state.revision()),
        "the conflict names the revision of the first command"
    );
    let (_, _, other) = decide([300, 200]);
    assert_eq!(f.state.revision().index, other.state.revision().index);
    assert_ne!(f.state.revision().digest, other.state.revision().digest);
}

#[test]
fn configuration_changes_revise() {
    let drain = |host: &str| {
        Body::Drain(Drain {
            host: host.into(),
            server: String::new(),
        })
    };
    let move_to = |host: &str| {
        Body::Move(MoveSpan {
            service: "ledger".into(),
            start: bytes::Bytes::new(),
            end: None,
            to_host: host.into(),
            to_server: String::new(),
        })
    };
    let cases = [
        ("schema", Body::ApplySchema(schema(true, 200)), true, true),
        ("bad schema", Body::ApplySchema("{}".into()), false, false),
        ("drain", drain("host-1"), true, true),
        ("drain of an unknown host", drain("host-9"), false, false),
        ("move", move_to("host-2"), true, false),
        ("move to an unknown host", move_to("host-9"), false, false),
    ];
    for (name, body, is_accepted, is_revised) in cases {
        let mut f = Fixture::with_hosts(2, true, 100);
        let before = f.state.revision();
        let command = f.command(body);
        let answer = f.decide(&command);
        assert_eq!(accepted(&answer).is_some(), is_accepted, "{name}: {answer:?}");
        assert_eq!(f.state.revision() != before, is_revised, "{name}");
        f.open(7, 7);
        assert_eq!(
            f.state.revision() != before,
            is_revised,
            "{name}: sessions are not part of the configuration"
        );
    }
}

#[test]
fn invalid_ids_are_refused() {
    let long = "x".repeat(129);
    for id in ["", "a b", "12-\u{e9}", "a\n", long.as_str()] {
        assert!(id.parse::<CommandId>().is_err(), "{id:?}");
        let mut f = Fixture::new();
        let command = OperatorCommand {
            command_id: id.into(),
            ..apply(&mut f, 100)
        };
        assert!(refused(&f.decide(&command)).is_some(), "{id:?}");
    }
}

#[test]
fn time_is_read_from_ids() {
    let id = CommandId::new(Ms(1_700_000_000_000), 255);
    assert_eq!(id.to_string().parse(), Ok(id.clone()));
    assert_eq!(id.issued_at(), Some(Ms(1_700_000_000_000)));
    for without in [
        "a",
        "123",
        "-a",
        "12-",
        "012-a",
        "99999999999999999999999-a",
        "x-a",
    ] {
        assert_eq!(
            without.parse::<CommandId>().unwrap().issued_at(),
            None,
            "{without:?}"
        );
    }
}

#[test]
fn ids_without_time() {
    // Operators may choose any id. Without a time in the id, only the base shows whether the command is too old.
    let mut f = Fixture::with_hosts(2, true, 100);
    let opaque = |command: OperatorCommand, id: &str| OperatorCommand {
        command_id: id.into(),
        ..command
    };
    let change = opaque(apply(&mut f, 200), "change-1");
    let first = f.decide(&change);
    let span = MoveSpan {
        service: "ledger".into(),
        to_host: "host-2".into(),
        ..MoveSpan::default()
    };
    let move_command = opaque(f.command(Body::Move(span)), "shift");
    let move_answer = f.decide(&move_command);
    assert!(accepted(&first).is_some() && accepted(&move_answer).is_some());
    f.wall += Ms(3 * DAY.0);
    let other = f.command(Body::Drain(Drain {
        host: "host-9".into(),
        server: String::new(),
    }));
    f.decide(&other);
    assert_eq!(
        f.decide(&move_command),
        move_answer,
        "the base of the move is still in force, so its answer is kept"
    );
    let answer = f.decide(&change);
    assert!(
        refused(&answer).is_some_and(|r| r.contains("too old")),
        "{answer:?}"
    );
    f.restore();
    assert_eq!(f.decide(&move_command), move_answer, "after a snapshot");
    f.apply_schema(&schema(true, 300));
    f.wall += Ms(3 * DAY.0);
    f.apply_schema(&schema(true, 400));
    let answer = f.decide(&move_command);
    assert!(
        refused(&answer).is_some_and(|r| r.contains("too old")),
        "{answer:?}"
    );
}
