//! The control loop of a host that is a cell by itself, without a daemon.

use {
    clementinefold::{
        clock::Clock,
        control::{start_control, ControlConfig, ControlHandle, ControlInput},
        settings::LeaseSettings,
    },
    std::{net::SocketAddr, path::Path, thread::JoinHandle, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Starts the loop on a data folder.
pub fn start(dir: &Path) -> (ControlHandle, JoinHandle<()>) {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let (outbox, _) = mpsc::channel(1);
    let config = ControlConfig {
        data_dir: dir.to_owned(),
        address,
        first_voters: vec![address],
        control_hosts: vec![address],
        voters: None,
        lease: LeaseSettings::default(),
        clock: Clock::System,
        outbox,
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    start_control(config).unwrap()
}

/// Repeats a request until its answer meets `done`. Panics after 3000 attempts.
pub fn ask<T>(
    control: &ControlHandle,
    input: impl Fn(oneshot::Sender<T>) -> ControlInput,
    done: impl Fn(&T) -> bool,
) -> T {
    for _ in 0..3000 {
        let (tx, rx) = oneshot::channel();
        assert!(control.send(input(tx)));
        match rx.blocking_recv() {
            Ok(answer) if done(&answer) => return answer,
            Ok(_) | Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
    panic!("no request was answered as expected");
}
