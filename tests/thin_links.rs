//! Configurations on their way to daemons whose links are full.

use {
    clementinefold::{
        clock::Clock,
        control::{start_control, Applied, ControlConfig, ControlHandle, ControlInput, State},
        schema::PackedText,
        settings::LeaseSettings,
        wire::{
            control::{change, operator_command, Change, OperatorCommand, VersionedSchema},
            peer::{Propose, StateRequest, Watch, WatchAnswer},
        },
    },
    prost::Message,
    std::{net::SocketAddr, path::Path, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Routes of a large configuration of the users.
const ROUTES: u32 = 940;
/// Bytes that the thinnest link of the users carries in a second (3.8 Mbit/s).
const LINK_BYTES_PER_S: usize = 475_000;
/// Connections that share such a link under load: one to each other daemon, and those of callers.
const CONNECTIONS: usize = 100;
/// Time in which a change is to be in force, in s. An answer may take half of it: the one before it may be on its way.
const IN_FORCE_S: usize = 2;
/// Most bytes of a small change.
const CHANGE_BYTES: usize = LINK_BYTES_PER_S / CONNECTIONS * IN_FORCE_S / 2;

fn start(dir: &Path) -> ControlHandle {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let (outbox, _) = mpsc::channel(1);
    let config = ControlConfig {
        data_dir: dir.to_owned(),
        address,
        first_voters: vec![address],
        control_hosts: vec![address],
        voters: None,
        lease: LeaseSettings::default(),
        clock: Clock::System,
        outbox,
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    start_control(config).unwrap().0
}

/// Sends requests until one is not declined.
fn ask<T>(
    control: &ControlHandle,
    input: impl Fn(oneshot::Sender<T>) -> ControlInput,
    done: impl Fn(&T) -> bool,
) -> T {
    for _ in 0..3000 {
        let (tx, rx) = oneshot::channel();
        assert!(control.send(input(tx)));
        match rx.blocking_recv() {
            Ok(answer) if done(&answer) => return answer,
            Ok(_) | Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
    panic!("always declined");
}

/// A schema with 940 routes; the one in the middle has this time-out.
fn schema(timeout_ms: u32) -> String {
    let route = |n: u32| {
        let timeout_ms = if n == ROUTES / 2 { timeout_ms } else { 1200 };
        // Names as those of the users, which repeat little.
        let word = n.wrapping_mul(2_654_435_761);
        format!(
            r#"{{"name":"r-{word:08x}","host":"h{:04x}.example","path_prefix":"/{word:x}/p{n}/","timeout_ms":{timeout_ms},"attempts":2,"targets":[{{"service":"s","weight":1}}]}}"#,
            word >> 16
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    format!(
        r#"{{"cluster":"test","services":[{{"name":"s"}}],"routes":[{}]}}"#,
        routes.join(",")
    )
}

fn replace(control: &ControlHandle, version: u64, timeout_ms: u32) -> u64 {
    let schema = PackedText::pack(schema(timeout_ms).as_bytes());
    let versioned = VersionedSchema {
        version,
        packed_source: schema.as_bytes().clone(),
        packed_schema: schema.as_bytes().clone(),
    };
    let propose = Propose {
        change: Some(Change {
            proposed_at_ms: 0,
            body: Some(change::Body::OperatorCommand(OperatorCommand {
                body: Some(operator_command::Body::ReplaceSchema(versioned)),
                ..OperatorCommand::default()
            })),
        }),
    };
    let answer = ask(
        control,
        |tx| ControlInput::Propose(propose.clone(), tx),
        |a| !a.declined,
    );
    answer.index
}

fn watch(control: &ControlHandle, applied: u64) -> WatchAnswer {
    let req = Watch {
        applied,
        takes_patches: true,
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
fn change_of_one_route_sends_one() {
    let dir = tempfile::tempdir().unwrap();
    let control = start(dir.path());
    replace(&control, 1, 1200);
    let mut daemon = state(&control);
    for version in 2..8 {
        let index = replace(&control, version, 1200 + version as u32);
        let answer = watch(&control, daemon.applied());
        let bytes = answer.encoded_len();
        assert!(
            bytes <= CHANGE_BYTES,
            "version {version}: {bytes} bytes, {CHANGE_BYTES} are wanted"
        );
        for committed in &answer.changes {
            daemon.apply(committed.index, committed.change.as_ref().unwrap());
        }
        assert_eq!((daemon.applied(), daemon.schema_version()), (index, version));
    }
    assert_eq!(daemon, state(&control));
    control.send(ControlInput::Stop);
}

#[test]
fn patch_for_another_schema_changes_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let control = start(dir.path());
    replace(&control, 1, 1200);
    let first = state(&control);
    replace(&control, 2, 1300);
    let second = state(&control);
    replace(&control, 3, 1400);
    let answer = watch(&control, second.applied());
    let last = answer.changes.last().unwrap();
    let mut daemon = first.clone();
    let applied = daemon.apply(last.index, last.change.as_ref().unwrap());
    assert_eq!((applied, &daemon), (Applied::PatchMisfit, &first));
    control.send(ControlInput::Stop);
}

#[test]
fn source_left_out_where_nobody_reads_it() {
    let dir = tempfile::tempdir().unwrap();
    let control = start(dir.path());
    let watched = |applied, without_source| {
        let req = Watch {
            applied,
            without_source,
            takes_patches: true,
            ..Watch::default()
        };
        ask(&control, |tx| ControlInput::Watch(req, tx), |a| !a.declined)
    };
    replace(&control, 1, 1200);
    replace(&control, 2, 1300);
    let (whole, without) = (watched(0, false), watched(0, true));
    assert!(
        without.encoded_len() * 10 < whole.encoded_len() * 6,
        "about half is left out"
    );
    let mut daemon = State::default();
    for committed in &without.changes {
        daemon.apply(committed.index, committed.change.as_ref().unwrap());
    }
    let control_state = state(&control);
    assert_eq!(daemon.schema(), control_state.schema());
    assert_eq!(daemon.revision(), control_state.revision());
    assert!(daemon.schema_source().is_empty() && !control_state.schema_source().is_empty());
    control.send(ControlInput::Stop);
}

#[test]
fn older_daemon_reads_whole_state() {
    let dir = tempfile::tempdir().unwrap();
    let control = start(dir.path());
    let watched = |applied| {
        let req = Watch {
            applied,
            ..Watch::default()
        };
        ask(&control, |tx| ControlInput::Watch(req, tx), |a| !a.declined)
    };
    replace(&control, 1, 1200);
    let newest = replace(&control, 2, 1300);
    assert!(watched(newest - 1).needs_state);
    replace(&control, 2, 1400);
    let overtaken = watched(newest);
    assert!(
        !overtaken.needs_state && !overtaken.changes.is_empty(),
        "it changes nothing"
    );
    control.send(ControlInput::Stop);
}
