use {
    super::measure::{cpu_us, timed},
    clementinefold::{
        clock::{Clock, Ms},
        control::{start_control, ControlConfig, ControlHandle, ControlInput},
        lease::SessionViews,
        settings::LeaseSettings,
        wire::{
            control::OpenSession,
            peer::{frame::Body, Frame, OpenSessionRequest, Renew, RenewAnswer, Watch, WatchAnswer},
        },
    },
    prost::Message,
    std::net::SocketAddr,
    tokio::sync::{mpsc, oneshot},
};

/// Daemons at full size.
const DAEMONS: u64 = 4400;
/// Regions at full size, one relay for each.
const RELAYS: u64 = 5;
/// Rounds of renewals that are timed.
const ROUNDS: u64 = 50;
/// Bytes of TCP and IP headers of a segment, with the timestamps option.
const SEGMENT_BYTES: usize = 52;

fn frame(body: Body) -> Frame {
    Frame {
        correlation: 1_000_000,
        body: Some(body),
    }
}

fn renew(session: u64) -> Renew {
    Renew {
        session,
        sent_at_ms: 1_000_000_000,
        applied: 1_000_000,
        loads: Vec::new(),
        process: 0,
    }
}

fn renew_answer(session: u64) -> RenewAnswer {
    RenewAnswer {
        session,
        sent_at_ms: 1_000_000_000,
        renewed: true,
        leader: String::new(),
        committed: 1_000_000,
        ..RenewAnswer::default()
    }
}

/// The leader's work for a round of renewals: one message a daemon, against one bitstring a relay.
pub fn renewals() {
    let timing = LeaseSettings::default();
    let sessions = 1_000_000..1_000_000 + DAEMONS;
    let mut views = SessionViews::new(timing, sessions.clone(), Ms(0));
    let single: Vec<Vec<u8>> = sessions
        .clone()
        .map(|s| frame(Body::Renew(renew(s))).encode_to_vec())
        .collect();
    let answer = frame(Body::RenewAnswer(renew_answer(1_000_000))).encode_to_vec();
    let (single_us, ()) = timed(|| {
        for round in 0..ROUNDS {
            for bytes in &single {
                let Some(Body::Renew(renew)) = Frame::decode(bytes.as_slice()).unwrap().body else {
                    return;
                };
                views.record_renewal(renew.session, Ms(round));
                std::hint::black_box(frame(Body::RenewAnswer(renew_answer(renew.session))).encode_to_vec());
            }
        }
    });
    // A bitstring names sessions by their position in the list that both sides have applied.
    let bits = vec![0xff_u8; (DAEMONS / RELAYS).div_ceil(8) as usize];
    let list: Vec<u64> = sessions.collect();
    let (summed_us, ()) = timed(|| {
        for round in 0..ROUNDS {
            for relay in 0..RELAYS {
                let first = relay * DAEMONS / RELAYS;
                for i in 0..DAEMONS / RELAYS {
                    if bits[(i / 8) as usize] >> (7 - i % 8) & 1 == 1 {
                        views.record_renewal(list[(first + i) as usize], Ms(round));
                    }
                }
            }
        }
    });
    let (expired_us, _) = timed(|| (0..ROUNDS).map(|_| views.expired(Ms(0)).len()).sum::<usize>());
    let rounds = 1000.0 / timing.renew_interval.0 as f64;
    let wire = |bytes: usize| 4 + bytes + SEGMENT_BYTES;
    println!("renewal frame {} bytes, answer {} bytes, on the wire {} and {}, plus one bare acknowledgement of {SEGMENT_BYTES}",
        single[0].len(), answer.len(), wire(single[0].len()), wire(answer.len()));
    let per_daemon = (wire(single[0].len()) + wire(answer.len()) + SEGMENT_BYTES) as f64 * rounds;
    println!("a daemon's renewals at {rounds:.2}/s: {per_daemon:.0} bytes/s both ways");
    println!(
        "leader, decisions and codec only: {:.2} us a renewal, {:.2}% of a core for {DAEMONS} daemons",
        single_us / (ROUNDS * DAEMONS) as f64,
        single_us / ROUNDS as f64 * rounds / 1e4
    );
    println!(
        "leader, bitstrings of {RELAYS} relays of {} bytes: {:.3} us a session, {:.2}% of a core",
        bits.len(),
        summed_us / (ROUNDS * DAEMONS) as f64,
        summed_us / ROUNDS as f64 * rounds / 1e4
    );
    println!(
        "leader, look for ended leases over {DAEMONS} sessions: {:.1} us",
        expired_us / ROUNDS as f64
    );
}

/// One committed change to all watches: from the proposal to the last answer, and what encoding them takes.
pub fn fan_out() {
    println!("watchers  ms-to-last  cpu-us-a-watcher  encode-us-a-watcher  bytes-on-the-wire");
    for watchers in [100, 1000, DAEMONS] {
        let dir = tempfile::tempdir().unwrap();
        let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
        let (outbox, _messages) = mpsc::channel(16);
        let (handle, thread) = start_control(ControlConfig {
            data_dir: dir.path().to_owned(),
            address,
            first_voters: vec![address],
            control_hosts: vec![address],
            voters: None,
            lease: LeaseSettings {
                ttl: Ms(60_000),
                ..LeaseSettings::default()
            },
            clock: Clock::System,
            outbox,
            log: slog::Logger::root(slog::Discard, slog::o!()),
        })
        .unwrap();
        let mut applied = settled(&handle);
        let (mut wall, mut cpu, mut encode, mut bytes) = (0.0, 0.0, 0.0, 0);
        let rounds = 20;
        for round in 0..rounds {
            let waiting: Vec<_> = (0..watchers)
                .map(|session| {
                    let (tx, rx) = oneshot::channel();
                    assert!(handle.send(ControlInput::Watch(
                        Watch {
                            applied,
                            session,
                            takes_patches: true,
                            ..Watch::default()
                        },
                        tx
                    )));
                    rx
                })
                .collect();
            // The duty takes the watches in before the change.
            std::thread::sleep(std::time::Duration::from_millis(50));
            let started = cpu_us();
            let (us, answers) = timed(|| {
                let (tx, _rx) = oneshot::channel();
                let open = OpenSession {
                    host: format!("host-{round}"),
                    ..OpenSession::default()
                };
                assert!(handle.send(ControlInput::OpenSession(
                    OpenSessionRequest { open: Some(open) },
                    tx
                )));
                let answers: Vec<WatchAnswer> = waiting
                    .into_iter()
                    .map(|rx| rx.blocking_recv().unwrap())
                    .collect();
                answers
            });
            wall += us;
            cpu += cpu_us() - started;
            applied = answers[0].changes.last().map_or(applied, |change| change.index);
            let (us, total) = timed(|| {
                let frames = answers
                    .into_iter()
                    .map(|a| frame(Body::WatchAnswer(a)).encode_to_vec().len());
                frames.sum::<usize>()
            });
            encode += us;
            bytes = total / watchers as usize + 4 + SEGMENT_BYTES;
        }
        handle.send(ControlInput::Stop);
        thread.join().unwrap();
        let per = f64::from(rounds) * watchers as f64;
        println!(
            "{watchers}  {:.2}  {:.2}  {:.2}  {bytes}",
            wall / 1000.0 / f64::from(rounds),
            cpu / per,
            encode / per
        );
    }
}

/// Waits until the duty leads and has nothing more to tell, and returns the last log index.
fn settled(handle: &ControlHandle) -> u64 {
    let mut applied = 0;
    let mut quiet = 0;
    while quiet < 2 || applied == 0 {
        let (tx, rx) = oneshot::channel();
        assert!(handle.send(ControlInput::Watch(
            Watch {
                applied,
                takes_patches: true,
                ..Watch::default()
            },
            tx
        )));
        match rx.blocking_recv() {
            Ok(answer) if !answer.changes.is_empty() => {
                applied = answer.changes.last().map_or(applied, |change| change.index);
                quiet = 0;
            }
            _ => {
                quiet += 1;
                let (tx, _rx) = oneshot::channel();
                if applied == 0 {
                    let open = OpenSession {
                        host: format!("warm-up-{quiet}"),
                        ..OpenSession::default()
                    };
                    handle.send(ControlInput::OpenSession(
                        OpenSessionRequest { open: Some(open) },
                        tx,
                    ));
                    std::thread::sleep(std::time::Duration::from_millis(100));
                }
            }
        }
    }
    applied
}
