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

/// Starts the thread that writes and syncs. It reports each batch to the control duty and ends after the
/// first failure.
pub(super) fn start_disk_duty(
    mut storage: Storage<DiskFolder>,
    reports: Sender<ControlInput>,
) -> io::Result<Sender<WriteBatch>> {
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
    thread::Builder::new().name("control-disk".into()).spawn(work)?;
    Ok(tx)
}
