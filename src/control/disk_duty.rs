use {
    super::ControlInput,
    crate::consensus::{DiskFolder, Storage, Write},
    crossbeam_channel::{Receiver, Sender},
    std::{io, thread},
};

/// Writes that are synced together, with the number of the last one.
pub(super) struct WriteBatch {
    pub last: u64,
    pub writes: Vec<Write>,
}

/// The near end of the ring to the thread of the disk.
pub(super) struct DiskDuty {
    ring: Sender<WriteBatch>,
    thread: thread::JoinHandle<()>,
}

/// Starts the thread that writes and syncs. It reports each batch to the control duty and ends after the
/// first failure.
pub(super) fn start_disk_duty(
    mut storage: Storage<DiskFolder>,
    reports: Sender<ControlInput>,
) -> io::Result<DiskDuty> {
    let (tx, rx): (_, Receiver<WriteBatch>) = crossbeam_channel::bounded(1);
    let work = move || {
        for batch in rx {
            let result = storage.write(&batch.writes);
            let failed = result.is_err();
            let report = match result {
                Ok(()) => ControlInput::Written(batch.last),
                Err(e) => ControlInput::DiskFailed(e.to_string()),
            };
            if reports.send(report).is_err() || failed {
                return;
            }
        }
    };
    let thread = thread::Builder::new().name("control-disk".into()).spawn(work)?;
    Ok(DiskDuty { ring: tx, thread })
}

impl DiskDuty {
    /// Hands a batch to the disk. False: it is busy or has ended.
    pub fn write(&self, batch: WriteBatch) -> bool {
        self.ring.try_send(batch).is_ok()
    }

    /// Waits until the disk has done what it has begun and is no longer in use.
    pub fn finish(self) {
        drop(self.ring);
        let _ = self.thread.join();
    }
}
