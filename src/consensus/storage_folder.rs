use {
    rustix::fs::{flock, FlockOperation},
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

/// Name of the file that keeps a second process out.
const LOCK_FILE: &str = "lock";
/// Ending of a file that is not complete.
const NEW_ENDING: &str = "new";

/// A folder of files, at the edge of the process.
pub trait Folder {
    /// Reads a whole file. `None`: there is none.
    ///
    /// # Errors
    /// The system refused.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Appends to a file. Nothing is durable before [`Folder::sync`].
    ///
    /// # Errors
    /// The system refused; an unknown part of `bytes` may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes all that was appended to a file durable.
    ///
    /// # Errors
    /// The system refused; what was appended may be lost whatever later syncs say.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Cuts a file to `len` bytes, durably.
    ///
    /// # Errors
    /// The system refused.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Replaces a file as a whole or creates it, durably. A crash leaves the old or the new one.
    ///
    /// # Errors
    /// The system refused; the old file or the new one is there.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
}

/// A folder on a disk. It belongs to one process at a time.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    /// The file that was appended to last.
    open: Option<(String, File)>,
    _lock: File,
}

impl DiskFolder {
    /// Opens the folder, creates it if needed, and locks it.
    ///
    /// # Errors
    /// The folder cannot be used, or another process holds it.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        if let Some(parent) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        let lock = File::create(path.join(LOCK_FILE))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Self {
            path: path.to_owned(),
            open: None,
            _lock: lock,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self.open.as_ref().is_some_and(|(open, _)| open == name);
        if !is_open {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Folder for DiskFolder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let file = self.file(name)?;
        file.set_len(len)?;
        file.sync_all()
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open = None;
        let new = self.path.join(format!("{name}.{NEW_ENDING}"));
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, self.path.join(name))?;
        File::open(&self.path)?.sync_all()
    }
}
