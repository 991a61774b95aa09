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

/// Number of daemons at full size.
const DAEMONS: u64 = 4400;
/// Number of relays at full size: one for each region.
const RELAYS: u64 = 5;
/// Number of rounds of renewals that are timed.
const ROUNDS: u64 = 50;
/// Size of the TCP and IP headers of a segment with the timestamps option.
const SEGMENT_HEADER_BYTES: usize = 52;

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

/// Prints the leader's work for a round of renewals, with one message per daemon and with one bitstring per relay.
pub fn renewals() {
    let timing = LeaseSettings::default();
    let sessions = 1_000_000..1_000_000 + DAEMONS;
    let mut views = SessionViews::new(timing, sessions.clone(), Ms(0));
    let frames: Vec<Vec<u8>> = sessions
        .clone()
        .map(|s| frame(Body::Renew(renew(s))).encode_to_vec())
        .collect();
    let answer = frame(Body::RenewAnswer(renew_answer(1_000_000))).encode_to_vec();
    let (by_frame_us, ()) = timed(|| {
        for round in 0..ROUNDS {
            for bytes in &frames {
                let Some(Body::Renew(renew)) = Frame::decode(bytes.as_slice()).unwrap().body else {
                    return;
                };
                views.record_renewal(renew.session, Ms(round));
                std::hint::black_box(frame(Body::RenewAnswer(renew_answer(renew.session))).encode_to_vec());
            }
        }
    });
    // Each bit stands for the session at its position in the session list, which both sides have applied.
    let bitstring = vec![0xff_u8; (DAEMONS / RELAYS).div_ceil(8) as usize];
    let session_ids: Vec<u64> = sessions.collect();
    let (by_bitstring_us, ()) = timed(|| {
        for round in 0..ROUNDS {
            for relay in 0..RELAYS {
                let first = relay * DAEMONS / RELAYS;
                for i in 0..DAEMONS / RELAYS {
                    if bitstring[(i / 8) as usize] >> (7 - i % 8) & 1 == 1 {
                        views.record_renewal(session_ids[(first + i) as usize], Ms(round));
                    }
                }
            }
        }
    });
    let (expired_us, _) = timed(|| (0..ROUNDS).map(|_| views.expired(Ms(0)).len()).sum::<usize>());
    let rounds_per_s = 1000.0 / timing.renew_interval.0 as f64;
    let wire_bytes = |bytes: usize| 4 + bytes + SEGMENT_HEADER_BYTES;
    println!("renewal frame {} bytes, answer {} bytes, on the wire {} and {}, plus one bare acknowledgement of {SEGMENT_HEADER_BYTES}",
        frames[0].len(), answer.len(), wire_bytes(frames[0].len()), wire_bytes(answer.len()));
    let bytes_per_s =
        (wire_bytes(frames[0].len()) + wire_bytes(answer.len()) + SEGMENT_HEADER_BYTES) as f64 * rounds_per_s;
    println!("a daemon's renewals at {rounds_per_s:.2}/s: {bytes_per_s:.0} bytes/s both ways");
    println!(
        "leader, decisions and codec only: {:.2} us a renewal, {:.2}% of a core for {DAEMONS} daemons",
        by_frame_us / (ROUNDS * DAEMONS) as f64,
        by_frame_us / ROUNDS as f64 * rounds_per_s / 1e4
    );
    println!(
        "leader, bitstrings of {RELAYS} relays of {} bytes: {:.3} us a session, {:.2}% of a core",
        bitstring.len(),
        by_bitstring_us / (ROUNDS * DAEMONS) as f64,
        by_bitstring_us / ROUNDS as f64 * rounds_per_s / 1e4
    );
    println!(
        "leader, check for ended leases over {DAEMONS} sessions: {:.1} us",
        expired_us / ROUNDS as f64
    );
}

/// Prints the time and the processor time from the proposal of a change to the last answer of all watches, and the
/// time to encode the answers.
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
        let mut applied = wait_until_settled(&handle);
        let (mut wall_us, mut total_cpu_us, mut encode_us, mut answer_bytes) = (0.0, 0.0, 0.0, 0);
        let rounds = 20;
        for round in 0..rounds {
            let watches: Vec<_> = (0..watchers)
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
            // Gives the control loop time to register the watches before the change.
            std::thread::sleep(std::time::Duration::from_millis(50));
            let cpu_before = cpu_us();
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
                let answers: Vec<WatchAnswer> = watches
                    .into_iter()
                    .map(|rx| rx.blocking_recv().unwrap())
                    .collect();
                answers
            });
            wall_us += us;
            total_cpu_us += cpu_us() - cpu_before;
            applied = answers[0].changes.last().map_or(applied, |change| change.index);
            let (us, encoded_bytes) = timed(|| {
                let lengths = answers
                    .into_iter()
                    .map(|a| frame(Body::WatchAnswer(a)).encode_to_vec().len());
                lengths.sum::<usize>()
            });
            encode_us += us;
            answer_bytes = encoded_bytes / watchers as usize + 4 + SEGMENT_HEADER_BYTES;
        }
        handle.send(ControlInput::Stop);
        thread.join().unwrap();
        let answer_count = f64::from(rounds) * watchers as f64;
        println!(
            "{watchers}  {:.2}  {:.2}  {:.2}  {answer_bytes}",
            wall_us / 1000.0 / f64::from(rounds),
            total_cpu_us / answer_count,
            encode_us / answer_count
        );
    }
}

/// Waits until the control loop leads and has no more changes to report, and returns the last log index.
fn wait_until_settled(handle: &ControlHandle) -> u64 {
    let mut applied = 0;
    let mut empty_answers = 0;
    while empty_answers < 2 || applied == 0 {
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
                empty_answers = 0;
            }
            _ => {
                empty_answers += 1;
                let (tx, _rx) = oneshot::channel();
                if applied == 0 {
                    let open = OpenSession {
                        host: format!("warm-up-{empty_answers}"),
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
