//! A later owner seals only the part of a guard that it reads.

use clementinefold::{
    call::{Fingerprint, Guard, GuardDecision, GuardEntry, GuardId, GuardLimits, Role, Tenure},
    clock::Ms,
    key::{Key, KeyRange},
};

const EPOCH: u64 = 7;

fn key(text: &str) -> Key {
    Key::new(text.as_bytes().to_vec())
}

fn span(start: &str, end: &str) -> KeyRange {
    KeyRange {
        start: key(start),
        end: Some(key(end)),
    }
}

fn tenure(role: Role) -> Tenure {
    Tenure {
        service: "ledger".into(),
        span: span("a", "m"),
        epoch: EPOCH,
        role,
        sealed: Vec::new(),
        guard: Guard::new(GuardLimits::default()),
    }
}

fn owner() -> Tenure {
    tenure(Role::Owner {
        holder_process: 0,
        holder: String::new(),
        ready: true,
    })
}

fn begin(guard: &mut Guard, text: &str) -> GuardEntry {
    let id = GuardId {
        key: key(text),
        request_id: text.into(),
    };
    match guard.begin(&id, Fingerprint([1; 16]), Ms(1000), Ms(1)) {
        GuardDecision::Run(entry) => entry,
        other => panic!("{other:?}"),
    }
}

/// Keys whose calls are still admitted, and keys that are sealed, after a later owner has read some parts.
struct Case {
    name: &'static str,
    read: &'static [(&'static str, &'static str)],
    ready: &'static [&'static str],
    sealed: &'static [&'static str],
}

const CASES: [Case; 4] = [
    Case {
        name: "nothing was read",
        read: &[],
        ready: &["a", "c", "l"],
        sealed: &[],
    },
    Case {
        name: "half was read",
        read: &[("a", "f")],
        ready: &["f", "l"],
        sealed: &["a", "e"],
    },
    Case {
        name: "two parts were read",
        read: &[("a", "c"), ("k", "m")],
        ready: &["c", "j"],
        sealed: &["a", "b", "k", "l"],
    },
    Case {
        name: "all was read",
        read: &[("a", "m")],
        ready: &[],
        sealed: &["a", "f", "l"],
    },
];

#[test]
fn keys_of_sealed_parts_not_ready() {
    for case in &CASES {
        let mut tenure = owner();
        case.read
            .iter()
            .for_each(|(start, end)| tenure.seal(span(start, end)));
        for text in case.ready {
            assert!(tenure.is_ready(&key(text)), "{}: {text}", case.name);
        }
        for text in case.sealed {
            assert!(!tenure.is_ready(&key(text)), "{}: {text}", case.name);
        }
    }
}

/// When the owner sends its copy again, the parts that a later owner has read stay sealed and keep their entries.
#[test]
fn rebuilt_copy_keeps_sealed_parts() {
    let mut owner = owner();
    let mut copy = tenure(Role::Copy { complete: true });
    for text in ["b", "h"] {
        copy.guard.apply_copy(begin(&mut owner.guard, text));
    }
    copy.seal(span("a", "f"));
    let mut new_copy = tenure(Role::Copy { complete: false });
    new_copy.keep_sealed(&copy);
    assert!(new_copy.is_sealed(&key("b")));
    assert!(!new_copy.is_sealed(&key("h")));
    let known: Vec<Key> = new_copy
        .guard
        .entries_of(&KeyRange::default())
        .into_iter()
        .map(|e| e.id.key)
        .collect();
    assert_eq!(known, [key("b")]);
}
