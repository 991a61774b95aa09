use {
    crate::wire::control::Committed,
    prost::Message,
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Read, Write},
        path::{Path, PathBuf},
    },
    thiserror::Error,
};

/// Bytes in front of each record: its length and its checksum.
const RECORD_HEAD_BYTES: usize = 8;
/// Most bytes of a record.
const RECORD_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The log on disk could not be read or written.
#[derive(Debug, Error)]
pub enum LogError {
    /// The system refused an operation.
    #[error("{path}: {source}")]
    Io {
        /// File or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A record in the middle of the log is damaged.
    #[error("{path}: the record at byte {offset} is damaged")]
    Damaged {
        /// File of the log.
        path: PathBuf,
        /// Where the record starts.
        offset: usize,
    },
}

/// The log of committed changes in one file, for a cell of one control host.
#[derive(Debug)]
pub struct LogFile {
    path: PathBuf,
    file: File,
}

impl LogFile {
    /// Opens or creates the log in `dir` and returns it with the records that it holds.
    ///
    /// # Errors
    /// The folder cannot be used, or a record in the middle is damaged.
    pub fn open(dir: &Path) -> Result<(Self, Vec<Committed>), LogError> {
        let path = dir.join("log");
        let io_error = |source| LogError::Io {
            path: path.clone(),
            source,
        };
        fs::create_dir_all(dir).map_err(io_error)?;
        let options = OpenOptions::new().read(true).append(true).create(true).clone();
        let mut file = options.open(&path).map_err(io_error)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io_error)?;
        let (records, good) = read_records(&bytes, &path)?;
        if good < bytes.len() {
            file.set_len(good as u64).map_err(io_error)?;
        }
        file.sync_all().map_err(io_error)?;
        File::open(dir).and_then(|d| d.sync_all()).map_err(io_error)?;
        Ok((
            Self {
                path: path.clone(),
                file,
            },
            records,
        ))
    }

    /// Writes records and returns once they are synced.
    ///
    /// # Errors
    /// The write or the sync failed. The log must not be used any more.
    pub fn append(&mut self, records: &[Committed]) -> Result<(), LogError> {
        let mut buf = Vec::new();
        for record in records {
            let body = record.encode_to_vec();
            buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
            buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
            buf.extend_from_slice(&body);
        }
        let written = self.file.write_all(&buf).and_then(|()| self.file.sync_data());
        written.map_err(|source| LogError::Io {
            path: self.path.clone(),
            source,
        })
    }
}

/// Reads records up to the end or to a torn last record. Returns them and where the good part ends.
fn read_records(bytes: &[u8], path: &Path) -> Result<(Vec<Committed>, usize), LogError> {
    let mut records = Vec::new();
    let mut offset = 0;
    while bytes.len() - offset >= RECORD_HEAD_BYTES {
        let word = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let length = word(offset) as usize;
        let start = offset + RECORD_HEAD_BYTES;
        if length > RECORD_MAX_BYTES || start + length > bytes.len() {
            break;
        }
        let body = &bytes[start..start + length];
        let intact = crc32fast::hash(body) == word(offset + 4);
        match Committed::decode(body) {
            Ok(record) if intact => records.push(record),
            _ if start + length == bytes.len() => break,
            _ => {
                return Err(LogError::Damaged {
                    path: path.to_owned(),
                    offset,
                })
            }
        }
        offset = start + length;
    }
    Ok((records, offset))
}
