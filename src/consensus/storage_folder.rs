use {
    rustix::fs::{flock, FlockOperation},
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

/// Name of the lock file, which keeps a second process from using the folder.
const LOCK_FILE: &str = "lock";
/// Suffix of a file that is still being written.
const NEW_SUFFIX: &str = "new";

/// A folder of files. [`DiskFolder`] is the real one; tests replace it.
pub trait Folder {
    /// Reads a whole file. Returns `None` if it does not exist.
    ///
    /// # Errors
    /// Fails if the file cannot be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Appends to a file. The bytes are durable only after [`Folder::sync`].
    ///
    /// # Errors
    /// Fails if the file cannot be written. Any part of `bytes` may have been written then.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes everything that was appended to a file durable.
    ///
    /// # Errors
    /// Fails if the sync fails. The appended bytes may be lost then, even if a later sync succeeds.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Replaces or creates a file atomically and durably. A crash leaves either the old file or the new one.
    ///
    /// # Errors
    /// Fails if a step fails. Either the old file or the new one exists then.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
}

/// A folder on a disk, locked by one process at a time.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    /// Name and handle of the file that was appended to last.
    open: Option<(String, File)>,
    _lock: File,
}

impl DiskFolder {
    /// Opens the folder, creates it if needed, and locks it.
    ///
    /// # Errors
    /// Fails if the folder cannot be used or another process has locked it.
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

    /// Returns the handle for appending to a file, which is opened if another one was used last.
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

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open = None;
        let new = self.path.join(format!("{name}.{NEW_SUFFIX}"));
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, self.path.join(name))?;
        File::open(&self.path)?.sync_all()
    }
}
