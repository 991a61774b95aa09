//! Sizes of the configuration changes and state parts for daemons whose links are saturated.

#[path = "support/control_loop.rs"]
mod control_loop;

use {
    clementinefold::{
        control::{Applied, ControlHandle, ControlInput, State},
        schema::PackedText,
        wire::{
            control::{change, operator_command, Change, OperatorCommand, VersionedSchema},
            peer::{Propose, StateAnswer, StateRequest, Watch, WatchAnswer},
        },
    },
    control_loop::{ask, start},
    prost::Message,
};

/// Number of routes in a large production configuration.
const ROUTES: u32 = 940;
/// Throughput of the slowest link in production (3.8 Mbit/s).
const LINK_BYTES_PER_S: usize = 475_000;
/// Connections that share such a link under load: one to each other daemon, and the callers' connections.
const CONNECTIONS: usize = 100;
/// Time in which a change must be in force. An answer may take half of it, since the previous answer may still be
/// in transit.
const IN_FORCE_S: usize = 2;
/// Time for which a daemon waits for a part of the state.
const STATE_TIMEOUT_S: usize = 6;
/// Size limit of a small change.
const CHANGE_BYTES: usize = LINK_BYTES_PER_S / CONNECTIONS * IN_FORCE_S / 2;

/// Returns a schema with [`ROUTES`] routes, of which the middle one has this timeout.
fn schema(timeout_ms: u32) -> String {
    schema_of(ROUTES, timeout_ms)
}

fn schema_of(routes: u32, timeout_ms: u32) -> String {
    let route = |n: u32| {
        let timeout_ms = if n == routes / 2 { timeout_ms } else { 1200 };
        // As in production, the names have few repeated parts and compress badly.
        let word = n.wrapping_mul(2_654_435_761);
        format!(
            r#"{{"name":"r-{word:08x}","host":"h{:04x}.example","path_prefix":"/{word:x}/p{n}/","timeout_ms":{timeout_ms},"attempts":2,"targets":[{{"service":"s","weight":1}}]}}"#,
            word >> 16
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(
        r#"{{"cluster":"test","services":[{{"name":"s"}}],"routes":[{}]}}"#,
        routes.join(",")
    )
}

fn replace(control: &ControlHandle, version: u64, timeout_ms: u32) -> u64 {
    replace_by(control, version, &schema(timeout_ms))
}

fn replace_by(control: &ControlHandle, version: u64, schema: &str) -> u64 {
    let schema = PackedText::pack(schema.as_bytes());
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

/// Requests the part of an image that starts at `offset`.
fn part(control: &ControlHandle, image: u64, offset: usize) -> StateAnswer {
    let req = StateRequest {
        image,
        offset: offset as u64,
        ..StateRequest::default()
    };
    ask(control, |tx| ControlInput::State(req, tx), |a| !a.declined)
}

/// Returns the state that a newly started daemon gets: an image and the changes after it.
fn state(control: &ControlHandle) -> State {
    let mut state = image(control);
    let mut answer = watch(control, state.applied());
    while !answer.changes.is_empty() {
        for committed in &answer.changes {
            state.apply(committed.index, committed.change.as_ref().unwrap());
        }
        answer = watch(control, state.applied());
    }
    state
}

fn image(control: &ControlHandle) -> State {
    let mut bytes = Vec::new();
    let mut image = 0;
    loop {
        let part = part(control, image, bytes.len());
        assert_eq!(part.offset, bytes.len() as u64);
        image = part.image;
        bytes.extend_from_slice(&part.part);
        if bytes.len() as u64 >= part.total {
            return State::from_image(&bytes).unwrap();
        }
    }
}

#[test]
fn change_of_one_route_is_small() {
    let dir = tempfile::tempdir().unwrap();
    let (control, _thread) = start(dir.path());
    replace(&control, 1, 1200);
    let mut daemon = state(&control);
    for version in 2..8 {
        let index = replace(&control, version, 1200 + version as u32);
        let answer = watch(&control, daemon.applied());
        let bytes = answer.encoded_len();
        assert!(
            bytes <= CHANGE_BYTES,
            "version {version}: {bytes} bytes, the limit is {CHANGE_BYTES}"
        );
        for committed in &answer.changes {
            daemon.apply(committed.index, committed.change.as_ref().unwrap());
        }
        assert_eq!((daemon.applied(), daemon.schema_version()), (index, version));
    }
    assert!(daemon == state(&control), "the states differ");
    control.send(ControlInput::Stop);
}

#[test]
fn patch_for_another_schema_changes_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let (control, _thread) = start(dir.path());
    replace(&control, 1, 1200);
    let first = state(&control);
    replace(&control, 2, 1300);
    let second = state(&control);
    replace(&control, 3, 1400);
    let answer = watch(&control, second.applied());
    let last = answer.changes.last().unwrap();
    let mut daemon = first.clone();
    let applied = daemon.apply(last.index, last.change.as_ref().unwrap());
    assert_eq!(applied, Applied::PatchBaseMismatch);
    assert!(daemon == first, "the state has changed");
    control.send(ControlInput::Stop);
}

#[test]
fn source_is_left_out_on_request() {
    let dir = tempfile::tempdir().unwrap();
    let (control, _thread) = start(dir.path());
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
        "about half of the bytes are left out"
    );
    let mut daemon = State::default();
    for committed in &without.changes {
        daemon.apply(committed.index, committed.change.as_ref().unwrap());
    }
    let control_state = state(&control);
    assert!(daemon.schema() == control_state.schema(), "the schemas differ");
    assert_eq!(daemon.revision(), control_state.revision());
    assert!(daemon.schema_source().is_empty() && !control_state.schema_source().is_empty());
    control.send(ControlInput::Stop);
}

#[test]
fn older_daemon_reads_whole_state() {
    let dir = tempfile::tempdir().unwrap();
    let (control, _thread) = start(dir.path());
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
    let superseded = watched(newest);
    assert!(
        !superseded.needs_state && !superseded.changes.is_empty(),
        "a superseded version needs no state"
    );
    control.send(ControlInput::Stop);
}

#[test]
fn concurrent_readers_keep_their_image() {
    let dir = tempfile::tempdir().unwrap();
    let (control, _thread) = start(dir.path());
    replace_by(&control, 1, &schema_of(ROUTES * 20, 1200));
    // Many daemons start together while the state changes.
    let mut readers = vec![(0, 0, u64::MAX); 10];
    for round in 0.. {
        for (image, bytes, total) in &mut readers {
            let part = part(&control, *image, *bytes);
            assert!(
                *image == 0 || part.image == *image,
                "round {round}: sent back to the start"
            );
            assert!(part.part.len() <= LINK_BYTES_PER_S / CONNECTIONS * STATE_TIMEOUT_S);
            (*image, *total) = (part.image, part.total);
            *bytes += part.part.len();
            replace(&control, 1, 1200);
        }
        if readers.iter().all(|(_, bytes, total)| *bytes as u64 >= *total) {
            assert!(round > 1, "the state has several parts");
            break;
        }
    }
    control.send(ControlInput::Stop);
}
