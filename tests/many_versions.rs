//! A daemon or a control host that starts after many changes of the configuration.

#[path = "support/control_loop.rs"]
mod control_loop;

use {
    clementinefold::{
        consensus::{DiskFolder, Storage},
        control::{ControlHandle, ControlInput, State},
        schema::PackedText,
        wire::{
            consensus::entry,
            control::{change, operator_command, Change, OperatorCommand, VersionedSchema},
            peer::{Propose, StateRequest, Watch},
        },
    },
    control_loop::{ask, start},
    prost::Message,
    serde_json::{json, Value},
};

/// Number of changes of the configuration before the daemon starts.
const VERSIONS: u64 = 200;
/// Time in which a started daemon must have the newest configuration, in ms: that in which a change must be in force.
const CATCH_UP_MS: u64 = 2000;
/// Time that a daemon of the grown production sites takes to apply one configuration, in ms.
const APPLY_MS: u64 = 57;

/// Number of routes, so that an answer of a control host has room for a few whole schemas only.
const ROUTES: u64 = 200;

/// Returns a schema whose routes have this timeout.
fn schema(timeout_ms: u64) -> String {
    let route = |n: u64| {
        // As in production, the names have few repeated parts and compress badly.
        let word = (n as u32).wrapping_mul(2_654_435_761);
        json!({
            "name": format!("r-{word:08x}"), "host": format!("h{:04x}.example", word >> 16),
            "path_prefix": format!("/{word:x}/p{n}/"), "timeout_ms": timeout_ms, "attempts": 1,
            "targets": [{ "service": "s", "weight": 1 }]
        })
    };
    let routes: Vec<Value> = (0..ROUTES).map(route).collect();
    json!({ "cluster": "test", "services": [{ "name": "s" }], "routes": routes }).to_string()
}

fn replace(control: &ControlHandle, version: u64) -> u64 {
    let packed_schema = PackedText::pack(schema(version).as_bytes()).as_bytes().clone();
    let versioned = VersionedSchema {
        version,
        packed_source: packed_schema.clone(),
        packed_schema,
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
    let input = |tx| ControlInput::Propose(propose.clone(), tx);
    ask(control, input, |a| !a.declined).index
}

fn fetch_state(control: &ControlHandle, newer_than: u64) -> State {
    let (mut image, mut bytes) = (0, Vec::new());
    loop {
        let req = StateRequest {
            image,
            offset: bytes.len() as u64,
            newer_than,
        };
        let part = ask(control, |tx| ControlInput::State(req, tx), |a| !a.declined);
        image = part.image;
        bytes.extend_from_slice(&part.part);
        if bytes.len() as u64 >= part.total {
            return State::from_image(&bytes).unwrap();
        }
    }
}

/// Brings a daemon's state up to `newest` as a daemon does. Returns the number of configurations that it applied.
fn catch_up(control: &ControlHandle, state: &mut State, newest: u64) -> u64 {
    let mut applied = 0;
    while state.applied() < newest {
        let req = Watch {
            applied: state.applied(),
            takes_patches: true,
            ..Watch::default()
        };
        let answer = ask(control, |tx| ControlInput::Watch(req, tx), |a| !a.declined);
        if answer.needs_state {
            *state = fetch_state(control, state.applied());
            applied += 1;
        }
        for committed in &answer.changes {
            let before = state.revision();
            state.apply(committed.index, committed.change.as_ref().unwrap());
            applied += u64::from(state.revision() != before);
        }
    }
    applied
}

#[test]
fn versions_are_not_replayed() {
    let dir = tempfile::tempdir().unwrap();
    let (control, _thread) = start(dir.path());
    let newest = (1..=VERSIONS)
        .map(|version| replace(&control, version))
        .max()
        .unwrap();
    let mut state = State::default();
    let applied = catch_up(&control, &mut state, newest);
    assert_eq!(state.schema_version(), VERSIONS);
    assert!(
        applied * APPLY_MS <= CATCH_UP_MS,
        "{applied} configurations applied"
    );

    // A daemon that lags by a few versions gets only these.
    let newest = replace(&control, VERSIONS + 1);
    assert_eq!(catch_up(&control, &mut state, newest), 1);
    control.send(ControlInput::Stop);
}

/// A control host leads only once it has applied its log.
#[test]
fn restart_replays_few_versions() {
    let dir = tempfile::tempdir().unwrap();
    let (control, thread) = start(dir.path());
    (1..=VERSIONS).for_each(|version| {
        replace(&control, version);
    });
    control.send(ControlInput::Stop);
    thread.join().unwrap();
    let (_, saved) = Storage::open(DiskFolder::open(dir.path()).unwrap(), 1).unwrap();
    let snapshot_index = saved.snapshot.map_or(0, |snapshot| snapshot.index);
    let later = saved.entries.iter().filter(|e| e.index > snapshot_index);
    let replayed = later.filter(|e| match &e.body {
        Some(entry::Body::Change(bytes)) => {
            let body = Change::decode(bytes.clone()).unwrap().body;
            matches!(body, Some(change::Body::OperatorCommand(_)))
        }
        Some(entry::Body::Membership(_)) | None => false,
    });
    let replayed = replayed.count() as u64;
    assert!(
        replayed * APPLY_MS <= CATCH_UP_MS,
        "{replayed} configurations replayed"
    );

    let (control, _thread) = start(dir.path());
    let newest = replace(&control, VERSIONS + 1);
    let mut state = State::default();
    let applied = catch_up(&control, &mut state, newest);
    assert_eq!(state.schema_version(), VERSIONS + 1);
    assert!(
        applied * APPLY_MS <= CATCH_UP_MS,
        "{applied} configurations applied"
    );
    control.send(ControlInput::Stop);
}
