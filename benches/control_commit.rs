//! Measures the latency and rate of synced commits with one and with three control hosts in one process.
//!
//! Run it as `cargo bench --bench control_commit`. The data folders are under `target/`.

use {
    bytes::Bytes,
    clementinefold::{
        clock::Clock,
        control::{start_control, ControlConfig, ControlHandle, ControlInput},
        settings::LeaseSettings,
        wire::{
            consensus::Envelope,
            control::{change, Change, EndSession},
            peer::{Propose, ProposeAnswer},
        },
    },
    prost::Message,
    std::{
        fs::{self, File},
        io::Write,
        net::SocketAddr,
        path::Path,
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::{mpsc, oneshot},
};

/// Number of changes that are committed one after the other.
const SEQUENTIAL_CHANGES: usize = 300;
/// Number of changes that are proposed at once.
const CONCURRENT_CHANGES: usize = 5000;

fn main() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("control_commit");
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("the folder of the bench");
    let sync = plain_sync(&dir);
    println!(
        "append of 100 bytes and sync, plain file: median {:.2} ms",
        median(&sync)
    );
    for hosts in [1, 3] {
        let cell = start_cell(&dir, hosts);
        let leader = wait_for_leader(&cell);
        let sequential: Vec<f64> = (0..SEQUENTIAL_CHANGES)
            .map(|_| timed(|| drop(commit(leader))))
            .collect();
        let started = Instant::now();
        let waiting: Vec<_> = (0..CONCURRENT_CHANGES).map(|_| send(leader)).collect();
        let answers = waiting.into_iter().map(|rx| rx.blocking_recv());
        let committed = answers.filter(|a| a.as_ref().is_ok_and(|a| a.index != 0)).count();
        let rate = committed as f64 / started.elapsed().as_secs_f64();
        println!(
            "{hosts} control hosts: commit median {:.2} ms, p99 {:.2} ms, {:.1} plain syncs; \
             {committed} of {CONCURRENT_CHANGES} together at {rate:.0}/s",
            median(&sequential),
            percentile(&sequential, 99),
            median(&sequential) / median(&sync),
        );
        for control in &cell {
            control.send(ControlInput::Stop);
        }
    }
}

/// Starts control loops whose messages to each other are delivered by a thread.
fn start_cell(dir: &Path, hosts: u16) -> Vec<ControlHandle> {
    let addresses: Vec<SocketAddr> = (1..=hosts).map(|port| ([127, 0, 0, 1], port).into()).collect();
    let (outbox, mut messages) = mpsc::channel::<(String, Bytes)>(65_536);
    let cell: Vec<ControlHandle> = addresses
        .iter()
        .map(|address| {
            let config = ControlConfig {
                data_dir: dir.join(format!("{hosts}-{}", address.port())),
                address: *address,
                first_voters: addresses.clone(),
                control_hosts: addresses.clone(),
                voters: None,
                lease: LeaseSettings::default(),
                clock: Clock::System,
                outbox: outbox.clone(),
                log: slog::Logger::root(slog::Discard, slog::o!()),
            };
            start_control(config).expect("a control host").0
        })
        .collect();
    let handles = cell.clone();
    thread::spawn(move || {
        while let Some((address, bytes)) = messages.blocking_recv() {
            let to = addresses.iter().position(|a| a.to_string() == address);
            if let (Some(to), Ok(envelope)) = (to, Envelope::decode(bytes)) {
                handles[to].send(ControlInput::Message(envelope));
            }
        }
    });
    cell
}

fn wait_for_leader(cell: &[ControlHandle]) -> &ControlHandle {
    loop {
        for control in cell {
            if commit(control).is_some_and(|a| a.index != 0) {
                return control;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn commit(control: &ControlHandle) -> Option<ProposeAnswer> {
    send(control).blocking_recv().ok()
}

fn send(control: &ControlHandle) -> oneshot::Receiver<ProposeAnswer> {
    let end = EndSession {
        session: 1,
        reason: "x".repeat(60),
        ..EndSession::default()
    };
    let change = Change {
        proposed_at_ms: 0,
        body: Some(change::Body::EndSession(end)),
    };
    let (tx, rx) = oneshot::channel();
    control.send(ControlInput::Propose(Propose { change: Some(change) }, tx));
    rx
}

/// Returns the times in ms of appends to a plain file, each with a sync.
fn plain_sync(dir: &Path) -> Vec<f64> {
    let mut file = File::create(dir.join("plain")).expect("a file");
    let mut append = || {
        file.write_all(&[7; 100]).expect("a write");
        file.sync_data().expect("a sync");
    };
    (0..SEQUENTIAL_CHANGES).map(|_| timed(&mut append)).collect()
}

/// Returns the duration of `work` in ms.
fn timed(work: impl FnOnce()) -> f64 {
    let started = Instant::now();
    work();
    started.elapsed().as_secs_f64() * 1000.0
}

fn median(times: &[f64]) -> f64 {
    percentile(times, 50)
}

fn percentile(times: &[f64], percent: usize) -> f64 {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[(sorted.len() - 1) * percent / 100]
}
