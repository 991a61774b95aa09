//! Time from a loss to the next answer, cost of renewals, size of the table, and time to catch up.
//!
//! usage: cargo bench --bench ownership -- [loss|leader-loss|renewals|table|catch-up]

#[path = "../tests/support/mod.rs"]
mod support;

#[path = "../tests/support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{
        clock::Ms,
        control::State,
        grant::{wanted_within, GrantTable},
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
/// Host and server that own the ranges before each loss.
const OWNER: usize = 1;
/// Bytes of the length in front of a frame.
const FRAME_HEAD_BYTES: usize = 4;

fn main() {
    let args: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with("--"))
        .collect();
    let wants = |part: &str| args.is_empty() || args[0] == part;
    if let [part, ranges] = args.as_slice() {
        if part == "table-of" {
            table_of(ranges.parse().unwrap_or(10_000));
            return;
        }
    }
    if wants("renewals") {
        renewals();
    }
    if wants("table") {
        table();
    }
    if wants("catch-up") {
        catch_up();
    }
    if wants("loss") {
        losses();
    }
    if wants("leader-loss") {
        leader_losses();
    }
}

/// Prints the time from each loss to the first answered call, through a host that did not fail.
fn losses() {
    type Loss = fn(&mut Cluster);
    let cases: [(&str, Loss, Loss); 4] = [
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
    for (name, lose, repair) in cases {
        let mut cluster = start_ledger(true);
        let mut times: Vec<u128> = Vec::new();
        for _ in 0..ROUNDS {
            let started = Instant::now();
            lose(&mut cluster);
            while !serves(&cluster, 0, KEYS[0]) {}
            times.push(started.elapsed().as_millis());
            repair(&mut cluster);
            wait_until("the host is back", WAIT_TIMEOUT, || is_back(&cluster));
            move_span(&cluster, "", Some("m"), OWNER);
            wait_until("it serves", WAIT_TIMEOUT, || serves(&cluster, 0, KEYS[0]));
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
        wait_until("all hosts follow one leader", WAIT_TIMEOUT, || {
            leader(&cluster).is_some()
        });
        let Some(lost) = leader(&cluster) else { continue };
        let asked = (lost + 1) % cluster.hosts.len();
        wait_until("the leader owns the key", WAIT_TIMEOUT, || {
            ask_to_move(&cluster, asked, lost);
            owns_first_key(&cluster, asked, lost)
        });
        wait_until("it serves", WAIT_TIMEOUT, || {
            owns_first_key(&cluster, asked, lost) && serves(&cluster, asked, KEYS[0])
        });
        let started = Instant::now();
        cluster.kill_host(lost);
        while !serves(&cluster, asked, KEYS[0]) {}
        times.push(started.elapsed().as_millis());
        cluster.start_host(lost);
        wait_until("three sessions", WAIT_TIMEOUT, || sessions(&cluster, asked) == 3);
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

/// Returns the position of the host that leads, if all control hosts are in touch with it.
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

fn owns_first_key(cluster: &Cluster, asked: usize, host: usize) -> bool {
    let owner = cluster.owner_of_key(asked, KEYS[0]);
    owner.is_some_and(|owner| owner == cluster.servers[host].address.to_string())
}

/// Asks for a move of the first range to a host, and gives it time.
fn ask_to_move(cluster: &Cluster, asked: usize, host: usize) {
    let shown = cluster.ask(asked, "show").unwrap_or_default();
    let body = json!({
        "command_id": cluster.command_id(), "base": shown["revision"], "service": "ledger", "start": "",
        "end": "m", "host": cluster.hosts[host].name
    });
    let _ = cluster.command(asked, "move", &body);
    std::thread::sleep(Duration::from_millis(300));
}

/// Tells if the owner's host has a session with a server that may take ranges.
fn is_back(cluster: &Cluster) -> bool {
    std::thread::sleep(Duration::from_millis(700));
    let status = cluster.ask(0, "status").unwrap_or_default();
    let sessions = status["sessions"].as_array().cloned().unwrap_or_default();
    let host = sessions.iter().find(|s| s["host"] == cluster.hosts[OWNER].name);
    host.is_some_and(|s| s["servers"].as_array().is_some_and(|servers| !servers.is_empty()))
}

fn open(host: usize) -> change::Body {
    change::Body::OpenSession(OpenSession {
        host: format!("host-{host}"),
        process: host as u64,
        adopts: false,
        peer_address: format!("10.{}.{}.1:7000", host / 256, host % 256),
        failure_domain: format!("domain-{}", host % 14),
        region: format!("region-{}", host % 5),
    })
}

/// Returns a state with sessions of one server each.
fn with_sessions(sessions: usize) -> State {
    let mut state = State::default();
    commit(&mut state, operator(state_fixture::schema(true, 500)));
    for host in 0..sessions {
        commit(&mut state, open(host));
        let session = state.applied();
        let server = Server {
            address: address(host),
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

fn address(host: usize) -> String {
    format!("10.{}.{}.1:8000", host / 256, host % 256)
}

fn operator(schema: String) -> change::Body {
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

/// Prints what a renewal costs one thread, with its decoding and the coding of its answer.
fn renewals() {
    println!("sessions, renewals/s of one thread, us each, bytes in, bytes out, % of a core at one in 150 ms, us of a look at all");
    for sessions in [100, 1000, 4400] {
        let state = with_sessions(sessions);
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
        let (mut count, mut out) = (0_u64, 0);
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
                out = black_box(answer.len());
                count += 1;
            }
        }
        let each_us = started.elapsed().as_micros() as f64 / count as f64;
        let per_s = 1e6 / each_us;
        let load = sessions as f64 / 0.150 / per_s * 100.0;
        let look = Instant::now();
        for i in 0..100 {
            black_box(view.expired(Ms(2000 + i)));
        }
        let look_us = look.elapsed().as_micros() as f64 / 100.0;
        let (bytes_in, bytes_out) = (frames[0].len() + FRAME_HEAD_BYTES, out + FRAME_HEAD_BYTES);
        println!("{sessions}, {per_s:.0}, {each_us:.2}, {bytes_in}, {bytes_out}, {load:.2}, {look_us:.1}");
    }
}

/// Prints the memory of the table and the time of changes to it, each size in a process of its own.
fn table() {
    println!("ranges, MB of the table, bytes a range, MB of the snapshot, ms to code it, ms to read it, us a change in place, ms a change with a copy, us to look at one range, ms to look at all");
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

/// Returns the change that gives one of many ranges of 12 bytes to the server of a session.
fn assign(state: &State, i: usize, of: usize) -> change::Body {
    let sessions = state.sessions();
    let session = &sessions[i * sessions.len() / of];
    let key = |i: usize| bytes::Bytes::from(format!("key-{i:08}").into_bytes());
    change::Body::AssignRange(AssignRange {
        service: state_fixture::SERVICE.into(),
        start: if i == 0 { bytes::Bytes::new() } else { key(i) },
        end: (i + 1 < of).then(|| key(i + 1)),
        session: session.id,
        server: session.servers[0].address.clone(),
        reason: "bench".into(),
    })
}

/// Returns the change that asks the owner of one of many ranges to give it up.
fn release(state: &State, i: usize, of: usize) -> change::Body {
    let table = &state.range_tables()[0];
    let position = i * table.ranges().len() / of;
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

/// Returns a state with this many ranges, which belong to 100 sessions.
fn with_ranges(ranges: usize) -> State {
    let mut state = with_sessions(100);
    for i in 0..ranges {
        let body = assign(&state, i, ranges);
        commit(&mut state, body);
    }
    state
}

fn table_of(ranges: usize) {
    let before = resident_bytes();
    let mut state = with_ranges(ranges);
    let bytes = resident_bytes() - before;
    let count: usize = state.range_tables().iter().map(|t| t.ranges().len()).sum();
    assert!(count >= ranges, "{count} ranges");
    let coded = Instant::now();
    let image = state.to_image();
    let coded = coded.elapsed();
    let read = Instant::now();
    let other = State::from_image(&image);
    let read = read.elapsed();
    assert_eq!(other.as_ref(), Some(&state));
    drop(other);
    let server = state.sessions()[50].servers[0].clone();
    let session = state.sessions()[50].id;
    let mut book = GrantTable::default();
    let all = KeyRange::default();
    let wanted = wanted_within(&state, Some(session), &server, &all);
    book.reconcile(&all, &wanted);
    let looked = Instant::now();
    for _ in 0..20 {
        book.reconcile(
            &all,
            &black_box(wanted_within(&state, Some(session), &server, &all)),
        );
    }
    let look_all = looked.elapsed() / 20;
    let span = wanted[wanted.len() / 2].span.clone();
    let looked = Instant::now();
    for _ in 0..200 {
        book.reconcile(
            &span,
            &black_box(wanted_within(&state, Some(session), &server, &span)),
        );
    }
    let look_one = looked.elapsed() / 200;
    let changed = Instant::now();
    for i in 0..1000 {
        let body = release(&state, i, 2000);
        commit(&mut state, body);
    }
    let in_place = changed.elapsed() / 1000;
    let released = state.range_tables()[0]
        .ranges()
        .iter()
        .filter(|r| r.release.is_some());
    assert_eq!(released.count(), 1000);
    let copied = Instant::now();
    for i in 0..20 {
        let body = release(&state, 1500 + i, 2000);
        let mut copy = state.clone();
        commit(&mut copy, body);
        state = copy;
    }
    let copied = copied.elapsed() / 20;
    let mb = |b: u64| b as f64 / 1e6;
    let ms = |d: Duration| d.as_secs_f64() * 1e3;
    println!(
        "{ranges}, {:.1}, {}, {:.1}, {:.1}, {:.1}, {:.1}, {:.2}, {:.1}, {:.2}",
        mb(bytes),
        bytes / ranges as u64,
        mb(image.len() as u64),
        ms(coded),
        ms(read),
        ms(in_place) * 1e3,
        ms(copied),
        ms(look_one) * 1e3,
        ms(look_all)
    );
}

/// Prints the time to catch up after 1,000 changes, from the bytes of the answers on.
fn catch_up() {
    println!("ranges, changes, KB by delta, ms by delta, KB by snapshot, ms by snapshot");
    for ranges in [1000, 10_000, 100_000] {
        let mut state = with_ranges(ranges);
        let late = state.clone();
        let mut changes = Vec::new();
        let mut index = state.applied();
        for round in 0..500_u64 {
            let host = 1000 + round as usize;
            changes.push(commit(&mut state, open(host)));
            index += 1;
            let servers = SetServers {
                session: index,
                servers: vec![Server {
                    address: address(host),
                    ..state_fixture::server(1, true)
                }],
                ..SetServers::default()
            };
            changes.push(commit(&mut state, change::Body::SetServers(servers)));
            index += 1;
        }
        let coded: Vec<Vec<u8>> = changes.iter().map(Message::encode_to_vec).collect();
        let delta_kb = coded.iter().map(Vec::len).sum::<usize>() as f64 / 1e3;
        let mut follower = late;
        let started = Instant::now();
        for bytes in &coded {
            if let Ok(Committed {
                index,
                change: Some(change),
            }) = Committed::decode(bytes.as_slice())
            {
                follower.apply(index, &change);
            }
        }
        let by_delta = started.elapsed().as_secs_f64() * 1e3;
        assert_eq!(follower, state);
        let image = state.to_image();
        let started = Instant::now();
        black_box(State::from_image(&image));
        let by_snapshot = started.elapsed().as_secs_f64() * 1e3;
        println!(
            "{ranges}, {}, {delta_kb:.0}, {by_delta:.2}, {:.0}, {by_snapshot:.2}",
            changes.len(),
            image.len() as f64 / 1e3
        );
    }
}
