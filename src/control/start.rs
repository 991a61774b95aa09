use {
    super::{control_loop::ControlLoop, disk_thread, ControlHandle},
    crate::{
        clock::Clock,
        consensus::{DiskFolder, Storage, StorageError},
        settings::LeaseSettings,
    },
    bytes::Bytes,
    slog::Logger,
    std::{io, net::SocketAddr, path::PathBuf, thread},
    thiserror::Error,
    tokio::sync::mpsc,
};

/// Limit on the queued inputs of the control loop. Further ones are dropped.
const QUEUE_CAPACITY: usize = 16_384;

/// Why the control role cannot start.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The data folder cannot be used, or another process holds it.
    #[error("{path}: {source}")]
    Folder {
        /// The folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The files in the data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The operating system did not provide a thread or random numbers.
    #[error("{0}")]
    System(String),
}

/// Configuration of the control loop.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Folder of the log, the votes and the snapshots.
    pub data_dir: PathBuf,
    /// Peer address of this host.
    pub address: SocketAddr,
    /// Peer addresses of the first voters.
    pub first_voters: Vec<SocketAddr>,
    /// Peer addresses of all control hosts.
    pub control_hosts: Vec<SocketAddr>,
    /// Number of voters that the cell keeps by itself, or `None` if operators change the members.
    pub voters: Option<usize>,
    /// Timing of sessions and leases.
    pub lease: LeaseSettings,
    /// Source of the time.
    pub clock: Clock,
    /// Queue of messages to other control hosts, each with its recipient's peer address.
    pub outbox: mpsc::Sender<(String, Bytes)>,
    /// Logger of the loop.
    pub log: Logger,
}

/// Opens the storage and starts the threads of the control loop and of its disk.
///
/// # Errors
/// The storage cannot be used, or the operating system does not provide a thread or random numbers.
pub fn start_control(config: ControlConfig) -> Result<(ControlHandle, thread::JoinHandle<()>), ControlError> {
    let folder = DiskFolder::open(&config.data_dir).map_err(|source| ControlError::Folder {
        path: config.data_dir.clone(),
        source,
    })?;
    let (storage, saved) = Storage::open(folder, random_nonzero()?)?;
    let (tx, rx) = crossbeam_channel::bounded(QUEUE_CAPACITY);
    let system_error = |e: io::Error| ControlError::System(e.to_string());
    let disk = disk_thread::start_disk_thread(storage, tx.clone()).map_err(system_error)?;
    let seed = random_nonzero()?;
    let control_loop = ControlLoop::new(config, saved, disk, seed)?;
    let thread = thread::Builder::new()
        .name("control".into())
        .spawn(move || control_loop.run(rx))
        .map_err(system_error)?;
    Ok((ControlHandle::new(tx), thread))
}

/// Returns a random number that is not 0.
pub(super) fn random_nonzero() -> Result<u64, ControlError> {
    let number = getrandom::u64().map_err(|e| ControlError::System(e.to_string()))?;
    Ok(number.max(1))
}
