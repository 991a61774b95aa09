//! Faults of the files of the control log, on a disk in memory and on a real folder.

mod exchange;

use {
    bytes::Bytes,
    clementinefold::{
        consensus::{DiskFolder, Folder, SavedState, Storage, StorageError, Write},
        wire::consensus::{entry, Entry, HardState, LogHead, Snapshot},
    },
    exchange::mem_disk::{DiskFault, MemDisk},
    std::sync::Arc,
};

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> Vec<Entry> {
    let entry = |index| Entry {
        index,
        term,
        body: Some(entry::Body::Change(Bytes::from(vec![index as u8; 100]))),
    };
    range.map(entry).collect()
}

/// Ten synced entries in two batches, and the hard state of term 3.
fn written_disk() -> MemDisk {
    let disk = MemDisk::default();
    let (mut storage, saved) = Storage::open(disk.clone(), 9).unwrap();
    let hard = HardState {
        cell: 7,
        term: 3,
        ..saved.hard
    };
    storage
        .write(&[Write::Hard(hard), Write::Append(entries(1..=5, 3))])
        .unwrap();
    storage.write(&[Write::Append(entries(6..=10, 3))]).unwrap();
    disk
}

fn open(disk: &MemDisk) -> Result<SavedState, StorageError> {
    Storage::open(disk.clone(), 1).map(|(_, saved)| saved)
}

/// What is found on opening: the last index, or a refusal.
#[derive(Debug, PartialEq)]
enum Found {
    Last(u64),
    Damaged,
    Incomplete,
}

fn found(disk: &MemDisk) -> Found {
    match open(disk) {
        Ok(saved) => Found::Last(saved.entries.last().map_or(saved.head.index, |e| e.index)),
        Err(StorageError::Damaged { .. }) => Found::Damaged,
        Err(StorageError::Incomplete(_)) => Found::Incomplete,
        Err(e) => panic!("{e}"),
    }
}

type Change = fn(&MemDisk);

#[test]
fn damage_is_told_apart() {
    let cases: &[(&str, Change, Found)] = &[
        ("intact", |_| {}, Found::Last(10)),
        (
            "tail cut in a body",
            |d| d.edit("log", |b| b.truncate(b.len() - 30)),
            Found::Last(9),
        ),
        (
            "tail cut before the end mark",
            |d| d.edit("log", |b| b.truncate(b.len() - 1)),
            Found::Last(9),
        ),
        (
            "tail cut in a head",
            |d| d.edit("log", |b| b.extend([1, 2, 3])),
            Found::Last(10),
        ),
        (
            "tail never filled",
            |d| d.edit("log", |b| b.extend([0; 500])),
            Found::Last(10),
        ),
        (
            "last record never filled to its end",
            |d| {
                d.edit("log", |b| {
                    let n = b.len();
                    b[n - 40..].fill(0)
                })
            },
            Found::Last(9),
        ),
        (
            "last record rotten",
            |d| {
                d.edit("log", |b| {
                    let n = b.len();
                    b[n - 9] ^= 1
                })
            },
            Found::Damaged,
        ),
        (
            "middle rotten",
            |d| {
                d.edit("log", |b| {
                    let n = b.len();
                    b[n / 2] ^= 1
                })
            },
            Found::Damaged,
        ),
        (
            "length in the middle rotten",
            |d| d.edit("log", |b| b[17 + 2] ^= 0x40),
            Found::Damaged,
        ),
        (
            "middle never filled",
            |d| {
                d.edit("log", |b| {
                    let n = b.len();
                    b[n / 2..n / 2 + 60].fill(0)
                })
            },
            Found::Damaged,
        ),
        (
            "hard state rotten",
            |d| d.edit("hard", |b| b[14] ^= 1),
            Found::Damaged,
        ),
        (
            "hard state cut",
            |d| d.edit("hard", |b| b.truncate(5)),
            Found::Damaged,
        ),
        ("hard state missing", |d| d.remove("hard"), Found::Incomplete),
        ("log missing", |d| d.remove("log"), Found::Incomplete),
        ("log empty", |d| d.edit("log", |b| b.clear()), Found::Incomplete),
    ];
    for (name, change, expected) in cases {
        let disk = written_disk();
        change(&disk);
        assert_eq!(found(&disk), *expected, "{name}");
    }
}

#[test]
fn cut_tail_stays_cut() {
    let disk = written_disk();
    disk.edit("log", |b| b.truncate(b.len() - 30));
    let (mut storage, saved) = Storage::open(disk.clone(), 1).unwrap();
    assert_eq!(saved.entries.len(), 9);
    storage.write(&[Write::Append(entries(10..=12, 4))]).unwrap();
    let saved = open(&disk).unwrap();
    assert_eq!(saved.entries[9..], entries(10..=12, 4)[..]);
}

#[test]
fn failed_sync_is_final() {
    for fault in [DiskFault::SyncFails, DiskFault::Full] {
        let disk = written_disk();
        let (mut storage, _) = Storage::open(disk.clone(), 1).unwrap();
        disk.0.borrow_mut().fault = fault;
        assert!(storage.write(&[Write::Append(entries(11..=11, 3))]).is_err());
        disk.0.borrow_mut().fault = DiskFault::None;
        let again = storage.write(&[Write::Append(entries(11..=11, 3))]);
        assert!(matches!(again, Err(StorageError::Failed)), "{fault:?}");
    }
}

#[test]
fn later_entries_replace() {
    let disk = written_disk();
    let (mut storage, _) = Storage::open(disk.clone(), 1).unwrap();
    storage.write(&[Write::Append(entries(7..=8, 4))]).unwrap();
    let saved = open(&disk).unwrap();
    let terms: Vec<u64> = saved.entries.iter().map(|e| e.term).collect();
    assert_eq!(terms, [3, 3, 3, 3, 3, 3, 4, 4]);
}

/// A crash between the snapshot and the log that goes with it leaves an older log.
#[test]
fn snapshot_before_log() {
    let cases = [
        ("the log holds the position", 3, 8, 10, 0),
        ("the log is another", 5, 8, 8, 8),
    ];
    for (name, term, index, last, head) in cases {
        let disk = written_disk();
        let old = disk.read("log").unwrap().unwrap();
        let (mut storage, _) = Storage::open(disk.clone(), 1).unwrap();
        let snapshot = Snapshot {
            index,
            term,
            membership: None,
            image: Bytes::from_static(b"image"),
        };
        storage
            .write(&[Write::Snapshot {
                snapshot: Arc::new(snapshot.clone()),
                head: LogHead { index, term },
                entries: Vec::new(),
            }])
            .unwrap();
        disk.edit("log", |b| *b = old);
        let saved = open(&disk).unwrap();
        assert_eq!(saved.snapshot.as_deref(), Some(&snapshot), "{name}");
        assert_eq!(saved.head.index, head, "{name}");
        assert_eq!(saved.entries.last().map_or(head, |e| e.index), last, "{name}");
    }
}

#[test]
fn real_folder_keeps_state() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("data");
    let (mut storage, saved) = Storage::open(DiskFolder::open(&path).unwrap(), 9).unwrap();
    assert_eq!(saved.hard.id, 9);
    assert!(DiskFolder::open(&path).is_err(), "two processes hold one folder");
    let hard = HardState {
        term: 4,
        vote: 5,
        ..saved.hard
    };
    let append = Write::Append(entries(1..=20, 4));
    storage.write(&[append, Write::Hard(hard.clone())]).unwrap();
    drop(storage);
    let (_, saved) = Storage::open(DiskFolder::open(&path).unwrap(), 1).unwrap();
    assert_eq!((saved.hard, saved.entries), (hard, entries(1..=20, 4)));
}
