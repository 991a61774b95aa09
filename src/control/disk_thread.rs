use {
    super::ControlInput,
    crate::consensus::{DiskFolder, Storage, Write},
    crossbeam_channel::{Receiver, Sender},
    std::{io, thread},
};

/// Writes that share one sync, with the number of the last one.
pub(super) struct WriteBatch {
    pub last: u64,
    pub writes: Vec<Write>,
}

/// The handle of the thread that writes to disk.
pub(super) struct DiskThread {
    queue: Sender<WriteBatch>,
    thread: thread::JoinHandle<()>,
}

/// Starts the thread that writes batches to disk and syncs them. The thread reports the result of each batch to the
/// control loop and ends after the first failure.
pub(super) fn start_disk_thread(
    mut storage: Storage<DiskFolder>,
    reports: Sender<ControlInput>,
) -> io::Result<DiskThread> {
    let (tx, rx): (_, Receiver<WriteBatch>) = crossbeam_channel::bounded(1);
    let work = move || {
        for batch in rx {
            let result = storage.write(&batch.writes);
            let has_failed = result.is_err();
            let report = match result {
                Ok(()) => ControlInput::Written(batch.last),
                Err(e) => ControlInput::DiskFailed(e.to_string()),
            };
            if reports.send(report).is_err() || has_failed {
                return;
            }
        }
    };
    let thread = thread::Builder::new().name("control-disk".into()).spawn(work)?;
    Ok(DiskThread { queue: tx, thread })
}

impl DiskThread {
    /// Sends a batch to the thread. Returns false, and drops the batch, if another one is queued or the thread has
    /// ended.
    pub fn write(&self, batch: WriteBatch) -> bool {
        self.queue.try_send(batch).is_ok()
    }

    /// Lets the thread finish its batches. The data folder is closed once the thread has ended.
    pub fn finish(self) -> thread::JoinHandle<()> {
        drop(self.queue);
        self.thread
    }
}
