//! Measures the recovery from losses, the cost of renewals, the size of the table, and the time to catch up.
//!
//! Usage: `cargo bench --bench ownership [-- loss|leader-loss|renewals|table|catch-up]`

#[path = "../tests/support/mod.rs"]
mod support;

#[path = "../tests/support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{
        clock::Ms,
        control::State,
        grant::{wanted_within, GrantTable, GrantTarget},
        key::KeyRange,
        lease::LeaderView,
        settings::LeaseSettings,
        wire::{
            control::{
                change, operator_command, AssignRange, Change, Committed, OpenSession, OperatorCommand,
                ReleaseRange, Server, SetServers,
            },
            peer::{frame::Body, Frame, Renew},
        },
    },
    prost::Message,
    rustix::process::Signal,
    serde_json::{json, Value},
    std::{
        fs,
        hint::black_box,
        process::Command,
        time::{Duration, Instant},
    },
    support::{
        move_span, owner_of, serves, start_ledger, start_ledger_on, wait_until, Cluster, ClusterPlan, KEYS,
        WAIT_TIMEOUT,
    },
};

const ROUNDS: usize = 20;
/// Position of the host and the server that own the ranges before each loss.
const OWNER: usize = 1;
/// Size of the length prefix of a frame.
const PREFIX_BYTES: usize = 4;

fn main() {
    let args: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with("--"))
        .collect();
    let is_selected = |part: &str| args.is_empty() || args[0] == part;
    if let [part, ranges] = args.as_slice() {
        if part == "table-of" {
            measure_table(ranges.parse().unwrap_or(10_000));
            return;
        }
    }
    if is_selected("renewals") {
        renewals();
    }
    if is_selected("table") {
        measure_tables();
    }
    if is_selected("catch-up") {
        catch_up();
    }
    if is_selected("loss") {
        losses();
    }
    if is_selected("leader-loss") {
        leader_losses();
    }
}

/// Prints the time from each loss to the first answered call, through a host that did not fail.
fn losses() {
    type Action = fn(&mut Cluster);
    let cases: [(&str, Action, Action); 4] = [
        ("daemon killed", |c| c.kill_host(OWNER), |c| c.start_host(OWNER)),
        (
            "server killed",
            |c| c.kill_server(OWNER),
            |c| c.restart_server(OWNER),
        ),
        (
            "daemon frozen",
            |c| c.signal_host(OWNER, Signal::STOP),
            |c| c.signal_host(OWNER, Signal::CONT),
        ),
        (
            "server frozen",
            |c| c.signal_server(OWNER, Signal::STOP),
            |c| c.signal_server(OWNER, Signal::CONT),
        ),
    ];
    println!("loss, rounds, median ms, worst ms");
    for (name, cause_loss, repair) in cases {
        let mut cluster = start_ledger(true);
        let mut times: Vec<u128> = Vec::new();
        for _ in 0..ROUNDS {
            let started = Instant::now();
            cause_loss(&mut cluster);
            while !serves(&cluster, 0, KEYS[0]) {}
            times.push(started.elapsed().as_millis());
            repair(&mut cluster);
            wait_until("the host is back", WAIT_TIMEOUT, || is_owner_back(&cluster));
            move_span(&cluster, "", Some("m"), OWNER);
            wait_until("the key is served", WAIT_TIMEOUT, || serves(&cluster, 0, KEYS[0]));
            assert_eq!(owner_of(&cluster, KEYS[0]), Some(OWNER));
        }
        times.sort_unstable();
        println!("{name}, {ROUNDS}, {}, {}", times[ROUNDS / 2], times[ROUNDS - 1]);
    }
}

/// Prints the time from the loss of the leader, which also owns the key, to the first answered call.
fn leader_losses() {
    let plan = ClusterPlan {
        control_hosts: 3,
        ..ClusterPlan::default()
    };
    let mut cluster = start_ledger_on(&plan, true);
    let mut times: Vec<u128> = Vec::new();
    for _ in 0..ROUNDS {
        wait_until("a leader is known", WAIT_TIMEOUT, || leader(&cluster).is_some());
        let Some(lost) = leader(&cluster) else { continue };
        let observer = (lost + 1) % cluster.hosts.len();
        wait_until("the leader owns the key", WAIT_TIMEOUT, || {
            request_move(&cluster, observer, lost);
            owns_first_key(&cluster, observer, lost)
        });
        wait_until("the key is served", WAIT_TIMEOUT, || {
            owns_first_key(&cluster, observer, lost) && serves(&cluster, observer, KEYS[0])
        });
        let started = Instant::now();
        cluster.kill_host(lost);
        while !serves(&cluster, observer, KEYS[0]) {}
        times.push(started.elapsed().as_millis());
        cluster.start_host(lost);
        wait_until("all sessions", WAIT_TIMEOUT, || sessions(&cluster, observer) == 3);
        std::thread::sleep(Duration::from_millis(1000));
    }
    times.sort_unstable();
    let rounds = times.len();
    println!(
        "leader and owner killed together, {rounds}, {}, {}",
        times[rounds / 2],
        times[rounds - 1]
    );
}

/// Returns the position of the leader according to host 0, or to host 1 if host 0 does not answer.
fn leader(cluster: &Cluster) -> Option<usize> {
    let status = cluster.ask(0, "control").or_else(|| cluster.ask(1, "control"))?;
    let members = status["members"].as_array()?;
    let is_leader = |m: &&Value| m["role"].as_str().is_some_and(|role| role.contains("leader"));
    let address = members.iter().find(is_leader)?["address"].as_str()?;
    cluster.hosts.iter().position(|h| h.peer.to_string() == address)
}

fn sessions(cluster: &Cluster, host: usize) -> usize {
    let status = cluster.ask(host, "status").unwrap_or_default();
    status["sessions"].as_array().map_or(0, Vec::len)
}

fn owns_first_key(cluster: &Cluster, observer: usize, host: usize) -> bool {
    let owner = cluster.owner_of_key(observer, KEYS[0]);
    owner.is_some_and(|owner| owner == cluster.servers[host].address.to_string())
}

/// Requests a move of the first range to a host, and waits a moment for it.
fn request_move(cluster: &Cluster, observer: usize, host: usize) {
    let shown = cluster.ask(observer, "show").unwrap_or_default();
    let body = json!({
        "command_id": cluster.command_id(), "base": shown["revision"], "service": "ledger", "start": "",
        "end": "m", "host": cluster.hosts[host].name
    });
    let _ = cluster.command(observer, "move", &body);
    std::thread::sleep(Duration::from_millis(300));
}

/// Returns whether the owner's host has a session with a server that may take ranges.
fn is_owner_back(cluster: &Cluster) -> bool {
    std::thread::sleep(Duration::from_millis(700));
    let status = cluster.ask(0, "status").unwrap_or_default();
    let sessions = status["sessions"].as_array().cloned().unwrap_or_default();
    let host = sessions.iter().find(|s| s["host"] == cluster.hosts[OWNER].name);
    host.is_some_and(|s| s["servers"].as_array().is_some_and(|servers| !servers.is_empty()))
}

fn open_session(host: usize) -> change::Body {
    change::Body::OpenSession(OpenSession {
        host: format!("host-{host}"),
        process: host as u64,
        adopts: false,
        peer_address: format!("10.{}.{}.1:7000", host / 256, host % 256),
        failure_domain: format!("domain-{}", host % 14),
        region: format!("region-{}", host % 5),
    })
}

/// Returns a state with this many sessions of one server each.
fn state_with_sessions(sessions: usize) -> State {
    let mut state = State::default();
    commit(&mut state, apply_schema(state_fixture::schema(true, 500)));
    for host in 0..sessions {
        commit(&mut state, open_session(host));
        let session = state.applied();
        let server = Server {
            address: server_address(host),
            ..state_fixture::server(1, true)
        };
        commit(
            &mut state,
            change::Body::SetServers(SetServers {
                session,
                servers: vec![server],
                ..SetServers::default()
            }),
        );
    }
    state
}

fn server_address(host: usize) -> String {
    format!("10.{}.{}.1:8000", host / 256, host % 256)
}

fn apply_schema(schema: String) -> change::Body {
    change::Body::OperatorCommand(OperatorCommand {
        command_id: "1-a".into(),
        base: Some(State::default().revision().to_wire()),
        body: Some(operator_command::Body::ApplySchema(schema)),
    })
}

fn commit(state: &mut State, body: change::Body) -> Committed {
    let change = Change {
        proposed_at_ms: 1,
        body: Some(body),
    };
    let index = state.applied() + 1;
    state.apply(index, &change);
    Committed {
        index,
        change: Some(change),
    }
}

/// Prints the cost of a renewal on one thread, including decoding it and encoding its answer.
fn renewals() {
    println!("sessions, renewals/s of one thread, us each, bytes in, bytes out, % of a core at one in 150 ms, us to check all leases");
    for sessions in [100, 1000, 4400] {
        let state = state_with_sessions(sessions);
        let mut view = LeaderView::new(LeaseSettings::default(), &state, Ms(1000));
        let frames: Vec<Vec<u8>> = state
            .sessions()
            .iter()
            .enumerate()
            .map(|(i, s)| {
                let renew = Renew {
                    session: s.id,
                    sent_at_ms: 1_000_000,
                    applied: state.applied(),
                    loads: Vec::new(),
                    process: 0,
                };
                Frame {
                    correlation: 1_000_000 + i as u64,
                    body: Some(Body::Renew(renew)),
                }
                .encode_to_vec()
            })
            .collect();
        let started = Instant::now();
        let (mut count, mut answer_bytes) = (0_u64, 0);
        while started.elapsed() < Duration::from_secs(2) {
            for bytes in &frames {
                let Ok(Frame {
                    correlation,
                    body: Some(Body::Renew(renew)),
                }) = Frame::decode(bytes.as_slice())
                else {
                    continue;
                };
                let answer = view.renew(&state, &renew, Ms(2000));
                let answer = Frame {
                    correlation,
                    body: Some(Body::RenewAnswer(answer)),
                }
                .encode_to_vec();
                answer_bytes = black_box(answer.len());
                count += 1;
            }
        }
        let each_us = started.elapsed().as_micros() as f64 / count as f64;
        let renewals_per_s = 1e6 / each_us;
        let core_percent = sessions as f64 / 0.150 / renewals_per_s * 100.0;
        let expired_started = Instant::now();
        for i in 0..100 {
            black_box(view.expired(Ms(2000 + i)));
        }
        let expired_us = expired_started.elapsed().as_micros() as f64 / 100.0;
        let (bytes_in, bytes_out) = (frames[0].len() + PREFIX_BYTES, answer_bytes + PREFIX_BYTES);
        println!("{sessions}, {renewals_per_s:.0}, {each_us:.2}, {bytes_in}, {bytes_out}, {core_percent:.2}, {expired_us:.1}");
    }
}

/// Prints the memory of the table and the time of changes to it. Each size is measured in a process of its own.
fn measure_tables() {
    println!("ranges, MB of the table, bytes a range, MB of the snapshot, ms to encode it, ms to decode it, us a change in place, ms a change with a copy, us to reconcile one range, ms to reconcile all");
    let Ok(program) = std::env::current_exe() else {
        return;
    };
    for ranges in [10_000, 100_000, 300_000] {
        let output = Command::new(&program)
            .args(["table-of", &ranges.to_string()])
            .output();
        print!(
            "{}",
            output
                .map(|o| String::from_utf8_lossy(&o.stdout).into_owned())
                .unwrap_or_default()
        );
    }
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or_default() * 4096
}

/// Returns the change that assigns range `i` of `count`, whose keys have 12 bytes, to the server of a session.
fn assign(state: &State, i: usize, count: usize) -> change::Body {
    let sessions = state.sessions();
    let session = &sessions[i * sessions.len() / count];
    let key = |i: usize| bytes::Bytes::from(format!("key-{i:08}").into_bytes());
    change::Body::AssignRange(AssignRange {
        service: state_fixture::SERVICE.into(),
        start: if i == 0 { bytes::Bytes::new() } else { key(i) },
        end: (i + 1 < count).then(|| key(i + 1)),
        session: session.id,
        server: session.servers[0].address.clone(),
        reason: "bench".into(),
    })
}

/// Returns the change that starts the release of the range at the fraction `i / count` of the table.
fn release(state: &State, i: usize, count: usize) -> change::Body {
    let table = &state.range_tables()[0];
    let position = i * table.ranges().len() / count;
    let span = table.span(position);
    let target = &state.sessions()[0];
    change::Body::ReleaseRange(ReleaseRange {
        service: state_fixture::SERVICE.into(),
        start: span.start.to_bytes(),
        end: span.end.map(|e| e.to_bytes()),
        epoch: table.ranges()[position].owner.as_ref().map_or(0, |o| o.epoch),
        to_session: target.id,
        to_server: target.servers[0].address.clone(),
        reason: "bench".into(),
    })
}

/// Returns a state with this many ranges, owned by 100 sessions.
fn state_with_ranges(ranges: usize) -> State {
    let mut state = state_with_sessions(100);
    for i in 0..ranges {
        let body = assign(&state, i, ranges);
        commit(&mut state, body);
    }
    state
}

/// Prints a row of the table part for a state with this many ranges.
fn measure_table(ranges: usize) {
    let before = resident_bytes();
    let mut state = state_with_ranges(ranges);
    let bytes = resident_bytes() - before;
    let range_count: usize = state.range_tables().iter().map(|t| t.ranges().len()).sum();
    assert!(range_count >= ranges, "{range_count} ranges");
    let encoding = Instant::now();
    let image = state.to_image();
    let encoding = encoding.elapsed();
    let decoding = Instant::now();
    let decoded = State::from_image(&image);
    let decoding = decoding.elapsed();
    assert_eq!(decoded.as_ref(), Some(&state));
    drop(decoded);
    let server = state.sessions()[50].servers[0].clone();
    let session = state.sessions()[50].id;
    let target = GrantTarget {
        session: Some(session),
        server: &server,
        listed_in: Some(0),
    };
    let mut grants = GrantTable::default();
    let all_keys = KeyRange::default();
    let wanted = wanted_within(&state, &target, &all_keys);
    grants.reconcile(&all_keys, &wanted);
    let reconcile_started = Instant::now();
    for _ in 0..20 {
        grants.reconcile(&all_keys, &black_box(wanted_within(&state, &target, &all_keys)));
    }
    let reconcile_all = reconcile_started.elapsed() / 20;
    let span = wanted[wanted.len() / 2].span.clone();
    let reconcile_started = Instant::now();
    for _ in 0..200 {
        grants.reconcile(&span, &black_box(wanted_within(&state, &target, &span)));
    }
    let reconcile_one = reconcile_started.elapsed() / 200;
    let changes_started = Instant::now();
    for i in 0..1000 {
        let body = release(&state, i, 2000);
        commit(&mut state, body);
    }
    let in_place_time = changes_started.elapsed() / 1000;
    let released = state.range_tables()[0]
        .ranges()
        .iter()
        .filter(|r| r.release.is_some());
    assert_eq!(released.count(), 1000);
    let copying = Instant::now();
    for i in 0..20 {
        let body = release(&state, 1500 + i, 2000);
        let mut copy = state.clone();
        commit(&mut copy, body);
        state = copy;
    }
    let copying = copying.elapsed() / 20;
    let mb = |b: u64| b as f64 / 1e6;
    let ms = |d: Duration| d.as_secs_f64() * 1e3;
    println!(
        "{ranges}, {:.1}, {}, {:.1}, {:.1}, {:.1}, {:.1}, {:.2}, {:.1}, {:.2}",
        mb(bytes),
        bytes / ranges as u64,
        mb(image.len() as u64),
        ms(encoding),
        ms(decoding),
        ms(in_place_time) * 1e3,
        ms(copying),
        ms(reconcile_one) * 1e3,
        ms(reconcile_all)
    );
}

/// Prints the time to catch up after 1,000 changes, starting from the encoded answer.
fn catch_up() {
    println!("ranges, changes, KB by delta, ms by delta, KB by snapshot, ms by snapshot");
    for ranges in [1000, 10_000, 100_000] {
        let mut state = state_with_ranges(ranges);
        let outdated = state.clone();
        let mut changes = Vec::new();
        let mut index = state.applied();
        for round in 0..500_u64 {
            let host = 1000 + round as usize;
            changes.push(commit(&mut state, open_session(host)));
            index += 1;
            let servers = SetServers {
                session: index,
                servers: vec![Server {
                    address: server_address(host),
                    ..state_fixture::server(1, true)
                }],
                ..SetServers::default()
            };
            changes.push(commit(&mut state, change::Body::SetServers(servers)));
            index += 1;
        }
        let encoded: Vec<Vec<u8>> = changes.iter().map(Message::encode_to_vec).collect();
        let delta_kb = encoded.iter().map(Vec::len).sum::<usize>() as f64 / 1e3;
        let mut follower = outdated;
        let started = Instant::now();
        for bytes in &encoded {
            if let Ok(Committed {
                index,
                change: Some(change),
            }) = Committed::decode(bytes.as_slice())
            {
                follower.apply(index, &change);
            }
        }
        let delta_ms = started.elapsed().as_secs_f64() * 1e3;
        assert_eq!(follower, state);
        let image = state.to_image();
        let started = Instant::now();
        black_box(State::from_image(&image));
        let snapshot_ms = started.elapsed().as_secs_f64() * 1e3;
        println!(
            "{ranges}, {}, {delta_kb:.0}, {delta_ms:.2}, {:.0}, {snapshot_ms:.2}",
            changes.len(),
            image.len() as f64 / 1e3
        );
    }
}
