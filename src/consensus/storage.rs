use {
    super::{
        storage_record::{read_record, read_records, write_record},
        Folder, Write,
    },
    crate::wire::consensus::{Entry, HardState, LogHead, Snapshot},
    prost::Message,
    std::{io, sync::Arc},
    thiserror::Error,
};

/// File of the hard state.
pub(super) const HARD_FILE: &str = "hard";
/// File of the log: its head and its entries.
pub(super) const LOG_FILE: &str = "log";
/// File of the latest snapshot.
pub(super) const SNAPSHOT_FILE: &str = "snapshot";

/// The state on disk could not be read or written. The member must take no part any more.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The system refused an operation.
    #[error("{file}: {source}")]
    Io {
        /// Name of the file.
        file: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A record is damaged that may have been acknowledged.
    #[error("{file}: the record at byte {offset} is damaged and may have been acknowledged")]
    Damaged {
        /// Name of the file.
        file: &'static str,
        /// Where the record starts.
        offset: usize,
    },
    /// The files do not belong together.
    #[error("the data folder is incomplete: {0}")]
    Incomplete(&'static str),
    /// An earlier write or sync failed.
    #[error("an earlier write failed")]
    Failed,
}

/// What a member finds on its disk.
#[derive(Clone, Debug, Default)]
pub struct SavedState {
    /// The hard state.
    pub hard: HardState,
    /// Position before the first entry.
    pub head: LogHead,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
}

/// The durable state of a member in a folder.
#[derive(Debug)]
pub struct Storage<F> {
    folder: F,
    failed: bool,
}

impl<F: Folder> Storage<F> {
    /// Reads the folder. An empty one is given the incarnation `new_id`.
    ///
    /// # Errors
    /// A file cannot be read, is damaged, or is missing.
    pub fn open(mut folder: F, new_id: u64) -> Result<(Self, SavedState), StorageError> {
        let hard = read_one(&folder, HARD_FILE)?;
        let log = read_file(&folder, LOG_FILE)?;
        let saved = match (hard, log) {
            (Some(hard), Some(bytes)) => Self::load(&mut folder, hard, &bytes)?,
            (Some(_), None) => return Err(StorageError::Incomplete("the log is missing")),
            (None, Some(bytes)) if Self::has_entries(&bytes)? => {
                return Err(StorageError::Incomplete("the hard state is missing"));
            }
            (None, _) => Self::create(&mut folder, new_id)?,
        };
        Ok((
            Self {
                folder,
                failed: false,
            },
            saved,
        ))
    }

    /// Carries out writes in order and returns once all of them are synced. Entries in a row share a sync.
    ///
    /// # Errors
    /// A write or a sync failed. Every further call fails: a failed sync is never repeated.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let result = self.write_all(writes);
        self.failed = result.is_err();
        result
    }

    /// Gives the folder back.
    pub fn into_folder(self) -> F {
        self.folder
    }

    fn write_all(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        let mut buf = Vec::new();
        for write in writes {
            match write {
                Write::Append(entries) => entries.iter().for_each(|e| write_record(&mut buf, e)),
                Write::Hard(hard) => {
                    self.append(&mut buf)?;
                    self.replace(HARD_FILE, &record(hard))?;
                }
                Write::Snapshot {
                    snapshot,
                    head,
                    entries,
                } => {
                    self.append(&mut buf)?;
                    self.replace(SNAPSHOT_FILE, &record(&**snapshot))?;
                    self.replace(LOG_FILE, &log_bytes(head, entries))?;
                }
            }
        }
        self.append(&mut buf)
    }

    fn append(&mut self, buf: &mut Vec<u8>) -> Result<(), StorageError> {
        if buf.is_empty() {
            return Ok(());
        }
        let appended = self.folder.append(LOG_FILE, buf);
        let synced = appended.and_then(|()| self.folder.sync(LOG_FILE));
        buf.clear();
        synced.map_err(|source| StorageError::Io {
            file: LOG_FILE,
            source,
        })
    }

    fn replace(&mut self, file: &'static str, bytes: &[u8]) -> Result<(), StorageError> {
        let replaced = self.folder.replace(file, bytes);
        replaced.map_err(|source| StorageError::Io { file, source })
    }

    fn create(folder: &mut F, id: u64) -> Result<SavedState, StorageError> {
        let hard = HardState {
            id,
            ..HardState::default()
        };
        let io_error = |file| move |source| StorageError::Io { file, source };
        let log = log_bytes(&LogHead::default(), &[]);
        folder.replace(LOG_FILE, &log).map_err(io_error(LOG_FILE))?;
        folder
            .replace(HARD_FILE, &record(&hard))
            .map_err(io_error(HARD_FILE))?;
        Ok(SavedState {
            hard,
            ..SavedState::default()
        })
    }

    fn has_entries(log: &[u8]) -> Result<bool, StorageError> {
        Ok(read_records(LOG_FILE, log)?.0.len() > 1)
    }

    fn load(folder: &mut F, hard: HardState, log: &[u8]) -> Result<SavedState, StorageError> {
        let (records, good) = read_records(LOG_FILE, log)?;
        if good < log.len() {
            let cut = folder.truncate(LOG_FILE, good as u64);
            cut.map_err(|source| StorageError::Io {
                file: LOG_FILE,
                source,
            })?;
        }
        let Some(((_, first), rest)) = records.split_first() else {
            return Err(StorageError::Incomplete("the head of the log is missing"));
        };
        let head: LogHead = decode(0, first)?;
        let mut entries: Vec<Entry> = Vec::with_capacity(rest.len());
        for (offset, body) in rest {
            let entry: Entry = decode(*offset, body)?;
            let position = entry.index.checked_sub(head.index + 1);
            match position {
                Some(position) if position as usize <= entries.len() => {
                    entries.truncate(position as usize);
                    entries.push(entry);
                }
                _ => {
                    return Err(StorageError::Damaged {
                        file: LOG_FILE,
                        offset: *offset,
                    })
                }
            }
        }
        let snapshot: Option<Snapshot> = read_one(folder, SNAPSHOT_FILE)?;
        join(hard, head, entries, snapshot)
    }
}

/// Joins log and snapshot. A crash between the writes of both may have left an older log.
fn join(
    hard: HardState,
    head: LogHead,
    entries: Vec<Entry>,
    snapshot: Option<Snapshot>,
) -> Result<SavedState, StorageError> {
    let Some(snapshot) = snapshot else {
        if head.index > 0 {
            return Err(StorageError::Incomplete("the snapshot is missing"));
        }
        return Ok(SavedState {
            hard,
            head,
            entries,
            snapshot: None,
        });
    };
    if head.index > snapshot.index {
        return Err(StorageError::Incomplete("the snapshot is older than the log"));
    }
    let position = LogHead {
        index: snapshot.index,
        term: snapshot.term,
    };
    let held = entries
        .iter()
        .any(|e| (e.index, e.term) == (position.index, position.term));
    let (head, entries) = if held || head == position {
        (head, entries)
    } else {
        (position, Vec::new())
    };
    Ok(SavedState {
        hard,
        head,
        entries,
        snapshot: Some(Arc::new(snapshot)),
    })
}

fn record<M: Message>(message: &M) -> Vec<u8> {
    let mut buf = Vec::new();
    write_record(&mut buf, message);
    buf
}

fn log_bytes(head: &LogHead, entries: &[Entry]) -> Vec<u8> {
    let mut buf = record(head);
    entries.iter().for_each(|e| write_record(&mut buf, e));
    buf
}

fn decode<M: Message + Default>(offset: usize, body: &[u8]) -> Result<M, StorageError> {
    M::decode(body).map_err(|_| StorageError::Damaged {
        file: LOG_FILE,
        offset,
    })
}

fn read_file<F: Folder>(folder: &F, file: &'static str) -> Result<Option<Vec<u8>>, StorageError> {
    folder
        .read(file)
        .map_err(|source| StorageError::Io { file, source })
}

fn read_one<F: Folder, M: Message + Default>(
    folder: &F,
    file: &'static str,
) -> Result<Option<M>, StorageError> {
    let Some(bytes) = read_file(folder, file)? else {
        return Ok(None);
    };
    let message = read_record(&bytes, 0).and_then(|(body, end)| {
        let whole = end == bytes.len();
        whole.then(|| M::decode(body).ok()).flatten()
    });
    message.map(Some).ok_or(StorageError::Damaged { file, offset: 0 })
}
