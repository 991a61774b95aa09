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

/// File with the hard state.
pub(super) const HARD_FILE: &str = "hard";
/// File with the log: its head, then its entries.
pub(super) const LOG_FILE: &str = "log";
/// File with the latest snapshot.
pub(super) const SNAPSHOT_FILE: &str = "snapshot";

/// Error of reading or writing the state on disk. A member that gets one must stop.
#[derive(Debug, Error)]
pub enum StorageError {
    /// An operation on a file failed.
    #[error("{file}: {source}")]
    Io {
        /// Name of the file.
        file: &'static str,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A record is damaged, and its sync may have been acknowledged.
    #[error("{file}: the record at byte {offset} is damaged and may have been acknowledged")]
    Damaged {
        /// Name of the file.
        file: &'static str,
        /// Offset of the record in bytes.
        offset: usize,
    },
    /// A file is missing, or the files do not match each other.
    #[error("the data folder is incomplete: {0}")]
    Incomplete(&'static str),
    /// An earlier write or sync failed, so nothing is written any more.
    #[error("an earlier write failed")]
    Failed,
}

impl StorageError {
    /// Returns whether the folder may become usable again without a change of its files.
    pub const fn is_transient(&self) -> bool {
        match self {
            Self::Io { .. } | Self::Failed => true,
            Self::Damaged { .. } | Self::Incomplete(_) => false,
        }
    }
}

/// State that a member reads from its disk at its start.
#[derive(Clone, Debug, Default)]
pub struct SavedState {
    /// Hard state: term, vote, identity and boot number.
    pub hard: HardState,
    /// Position just before the first entry.
    pub head: LogHead,
    /// Entries of the log, in order.
    pub entries: Vec<Entry>,
    /// Latest snapshot, if there is one.
    pub snapshot: Option<Arc<Snapshot>>,
}

/// Durable state of a member, kept as files in a [`Folder`].
#[derive(Debug)]
pub struct Storage<F> {
    folder: F,
    has_failed: bool,
}

impl<F: Folder> Storage<F> {
    /// Reads the state from a folder, and makes all of it durable. An empty folder is initialized with the incarnation
    /// `new_id`.
    ///
    /// # Errors
    /// Fails if a file cannot be read or written, is damaged, or is missing.
    pub fn open(mut folder: F, new_id: u64) -> Result<(Self, SavedState), StorageError> {
        let hard = read_single(&folder, HARD_FILE)?;
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
                has_failed: false,
            },
            saved,
        ))
    }

    /// Carries out writes in order and returns once all of them are synced. Consecutive appends share one sync.
    ///
    /// # Errors
    /// Fails if a write or a sync fails. Every later call fails as well, because a failed sync is never repeated.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        if self.has_failed {
            return Err(StorageError::Failed);
        }
        let result = self.write_all(writes);
        self.has_failed = result.is_err();
        result
    }

    /// Returns the folder.
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
                    self.replace(HARD_FILE, &encode_record(hard))?;
                }
                Write::Snapshot {
                    snapshot,
                    head,
                    entries,
                } => {
                    self.append(&mut buf)?;
                    self.replace(SNAPSHOT_FILE, &encode_record(&**snapshot))?;
                    self.replace(LOG_FILE, &encode_log(head, entries))?;
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
        let log = encode_log(&LogHead::default(), &[]);
        folder.replace(LOG_FILE, &log).map_err(io_error(LOG_FILE))?;
        folder
            .replace(HARD_FILE, &encode_record(&hard))
            .map_err(io_error(HARD_FILE))?;
        Ok(SavedState {
            hard,
            ..SavedState::default()
        })
    }

    fn has_entries(log: &[u8]) -> Result<bool, StorageError> {
        Ok(read_records(LOG_FILE, log)?.len() > 1)
    }

    /// Reads the files of a folder that is in use, and writes the log again without its torn tail.
    ///
    /// The entries may be in the page cache only: a process may have been killed before it synced them, or a sync may
    /// have failed. Appending to such a log and syncing it would not make them durable.
    fn load(folder: &mut F, hard: HardState, log: &[u8]) -> Result<SavedState, StorageError> {
        let records = read_records(LOG_FILE, log)?;
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
        let snapshot: Option<Snapshot> = read_single(folder, SNAPSHOT_FILE)?;
        let saved = combine(hard, head, entries, snapshot)?;
        let replaced = folder.replace(LOG_FILE, &encode_log(&saved.head, &saved.entries));
        replaced.map_err(|source| StorageError::Io {
            file: LOG_FILE,
            source,
        })?;
        Ok(saved)
    }
}

/// Combines log and snapshot. A crash between the writes of the two may have left a log that is older than the
/// snapshot; it is kept if it contains the snapshot's position and dropped otherwise.
fn combine(
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
    let covers_position = entries
        .iter()
        .any(|e| (e.index, e.term) == (position.index, position.term));
    let (head, entries) = if covers_position || head == position {
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

fn encode_record<M: Message>(message: &M) -> Vec<u8> {
    let mut buf = Vec::new();
    write_record(&mut buf, message);
    buf
}

fn encode_log(head: &LogHead, entries: &[Entry]) -> Vec<u8> {
    let mut buf = encode_record(head);
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

/// Reads a file that consists of a single record.
fn read_single<F: Folder, M: Message + Default>(
    folder: &F,
    file: &'static str,
) -> Result<Option<M>, StorageError> {
    let Some(bytes) = read_file(folder, file)? else {
        return Ok(None);
    };
    let message = read_record(&bytes, 0).and_then(|(body, end)| {
        let is_whole = end == bytes.len();
        is_whole.then(|| M::decode(body).ok()).flatten()
    });
    message.map(Some).ok_or(StorageError::Damaged { file, offset: 0 })
}
