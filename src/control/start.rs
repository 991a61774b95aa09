use {
    super::{
        control_loop::{ControlLoop, LoopEnd},
        disk_thread, ControlHandle, ControlInput,
    },
    crate::{
        clock::Clock,
        consensus::{DiskFolder, Storage, StorageError},
        event::Event,
        log_event,
        settings::LeaseSettings,
    },
    bytes::Bytes,
    crossbeam_channel::{Receiver, RecvTimeoutError, Sender},
    slog::Logger,
    std::{
        io,
        net::SocketAddr,
        path::PathBuf,
        thread,
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::sync::mpsc,
};

/// Limit on the queued inputs of the control loop. Further ones are dropped.
const QUEUE_CAPACITY: usize = 16_384;
/// Time after which a data folder that could not be used is opened again.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

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

impl ControlError {
    /// Returns whether the control role may start later without a change of its files.
    const fn is_transient(&self) -> bool {
        match self {
            Self::Folder { .. } | Self::System(_) => true,
            Self::Storage(e) => e.is_transient(),
        }
    }
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

/// Starts the control role on a thread of its own. While its data folder cannot be used, e.g. because the disk is full,
/// the role tries again at intervals.
///
/// # Errors
/// The files in the data folder are damaged, or the operating system does not provide a thread.
pub fn start_control(config: ControlConfig) -> Result<(ControlHandle, thread::JoinHandle<()>), ControlError> {
    let (tx, rx) = crossbeam_channel::bounded(QUEUE_CAPACITY);
    let first = match open_loop(&config, &tx) {
        Err(e) if !e.is_transient() => return Err(e),
        opened => opened,
    };
    let handle = ControlHandle::new(tx.clone());
    let thread = thread::Builder::new()
        .name("control".into())
        .spawn(move || run_role(&config, first, &tx, &rx))
        .map_err(|e| ControlError::System(e.to_string()))?;
    Ok((handle, thread))
}

/// Opens the storage and starts the thread of its disk.
fn open_loop(config: &ControlConfig, tx: &Sender<ControlInput>) -> Result<ControlLoop, ControlError> {
    let folder = DiskFolder::open(&config.data_dir).map_err(|source| ControlError::Folder {
        path: config.data_dir.clone(),
        source,
    })?;
    let (storage, saved) = Storage::open(folder, random_nonzero()?)?;
    let disk = disk_thread::start_disk_thread(storage, tx.clone())
        .map_err(|e| ControlError::System(e.to_string()))?;
    ControlLoop::new(config.clone(), saved, disk, random_nonzero()?)
}

/// Runs one control loop after another, each on the state that the disk holds, until the role is stopped or its disk
/// must not be used any more.
fn run_role(
    config: &ControlConfig,
    first: Result<ControlLoop, ControlError>,
    tx: &Sender<ControlInput>,
    rx: &Receiver<ControlInput>,
) {
    let mut opened = first;
    loop {
        let error = match opened {
            Ok(control_loop) => match control_loop.run(rx) {
                LoopEnd::Stopped => return,
                LoopEnd::DiskFailed(error) => error,
                LoopEnd::Failed(error) => {
                    log_event!(config.log, Event::ControlFailed; "error" => error);
                    return;
                }
            },
            Err(e) if e.is_transient() => e.to_string(),
            Err(e) => {
                log_event!(config.log, Event::ControlFailed; "error" => e.to_string());
                return;
            }
        };
        log_event!(
            config.log, Event::ControlSuspended;
            "error" => error, "retry_ms" => REOPEN_INTERVAL.as_millis() as u64
        );
        if !drop_inputs(rx, REOPEN_INTERVAL) {
            return;
        }
        opened = open_loop(config, tx);
    }
}

/// Drops all inputs that arrive within `time`, so that their senders ask another host. Returns false if the role is to
/// stop.
fn drop_inputs(rx: &Receiver<ControlInput>, time: Duration) -> bool {
    let end = Instant::now() + time;
    loop {
        match rx.recv_deadline(end) {
            Ok(ControlInput::Stop) | Err(RecvTimeoutError::Disconnected) => return false,
            Ok(_) => {}
            Err(RecvTimeoutError::Timeout) => return true,
        }
    }
}

/// Returns a random number that is not 0.
pub(super) fn random_nonzero() -> Result<u64, ControlError> {
    let number = getrandom::u64().map_err(|e| ControlError::System(e.to_string()))?;
    Ok(number.max(1))
}
