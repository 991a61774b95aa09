//! The cases.

use crate::{
    client,
    fleet::{wait_until, Fleet},
    record,
    server::{self, Config, Row, Server},
};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

const START: Duration = Duration::from_secs(30);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a configuration with one route for each service, which is sharded or not.
fn config(version: u32, services: &[(&str, bool)]) -> String {
    let mut resources = Vec::new();
    for (name, is_sharded) in services {
        resources.push(format!(
            r#"{{"resourceType":"routes","metadata":{{"name":"r-{name}"}},"spec":{{"hostname":"shop.example","pathPrefix":"/{name}/","routeType":"idempotent","timeout":"5000ms","targetLatency":"1500ms","priority":1,"service":"{name}","attempts":2}}}}"#
        ));
        let sharded = if *is_sharded { r#","sharded":true,"warm":"2s","grants":"heartbeat""# } else { "" };
        resources.push(format!(
            r#"{{"resourceType":"services","metadata":{{"name":"{name}"}},"spec":{{"healthPath":"/health","maxConnections":80,"protocol":"h1","tls":false{sharded}}}}}"#
        ));
    }
    resources.push(
        r#"{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}"#
            .to_owned(),
    );
    format!(r#"{{"version":"{version:08x}","resources":[{}]}}"#, resources.join(","))
}

fn configure(fleet: &Fleet, services: &[(&str, bool)]) {
    let acknowledged = fleet.order("POST /v1/config/replace", &config(1, services));
    assert!(acknowledged, "the configuration is acknowledged");
    let sides = fleet.hosts.len() - fleet.core;
    wait_until("all daemons are ready", START, || (0..sides).all(|n| fleet.is_ready(n)));
}

/// Runs `work` in a thread until the returned flag is cleared.
fn repeat(work: impl Fn(u64) + Send + 'static) -> Arc<AtomicBool> {
    let goes_on = Arc::new(AtomicBool::new(true));
    let flag = goes_on.clone();
    thread::spawn(move || {
        let mut n = 0;
        while flag.load(Ordering::SeqCst) {
            work(n);
            n += 1;
        }
    });
    goes_on
}

/// A key of a row, which differs from call to call.
fn key_of(row: &Row, n: u64) -> u16 {
    let count = u64::from(row.last - row.first) + 1;
    row.first + u16::try_from(n.wrapping_mul(7919) % count).unwrap()
}

/// Two servers that hold keys, and a third one that joins, so that the first one is to release some of its keys. Its
/// daemon is killed and comes back. The first ping that reaches the new process is one that the server sent at its start,
/// before it held anything.
pub fn late_ping(trouble: bool) -> Vec<String> {
    let sides = [("desk", "z1"), ("desk", "z2"), ("desk", "z3")];
    let mut fleet = Fleet::new(3, &sides, &["z1", "z2", "z3"]);
    fleet.start_all();
    server::start_watch();
    let server = |id, n, pings| {
        let config = Config {
            id,
            service: "desk",
            is_sharded: true,
            daemon: fleet.pings(n),
            address: None,
        };
        Server::start(&config, pings)
    };
    let first = server("i-first", 0, false);
    let late = first.take_ping();
    record!("the first ping of i-first is on its way: {late}");
    if !trouble {
        first.deliver(&late, "the first ping, in time,");
    }
    thread::sleep(ms(300));
    first.set_pings(true);
    let second = server("i-second", 1, true);
    configure(&fleet, &[("desk", true)]);
    wait_until("both servers hold their share of all keys", START, || {
        first.held_keys() + second.held_keys() == 65_536 && first.rows().len() == 48 && second.rows().len() == 48
    });
    first.set_pings(false);
    thread::sleep(ms(900));
    let start = Instant::now();
    assert!(first.ping(), "the ping is acknowledged");
    record!("the daemon of i-first is killed");
    fleet.kill(fleet.side(0));
    let third_config = Config {
        id: "i-third",
        service: "desk",
        is_sharded: true,
        daemon: fleet.pings(2),
        address: None,
    };
    let third = Server::start(&third_config, true);
    sleep_until(start + server::HEARTBEAT);
    first.ping();
    fleet.start(fleet.side(0));
    let next_ping = start + server::HEARTBEAT * 2;
    while !fleet.is_ready(0) && Instant::now() < next_ping {
        thread::sleep(ms(5));
    }
    record!("the daemon of i-first is back");
    let rows = first.rows();
    let outbound = fleet.outbound(1);
    for n in 0..12_usize {
        let row = rows[n * 4 % rows.len()];
        thread::spawn(move || client::get(outbound, "/desk/1600", Some(key_of(&row, n as u64)), ms(5000)));
    }
    let at_work = || first.runs().iter().filter(|r| r.ended.is_none()).count();
    while at_work() < 6 && Instant::now() < next_ping - ms(100) {
        thread::sleep(ms(2));
    }
    record!("i-first is at work on {} requests", at_work());
    if trouble {
        first.deliver(&late, "the first ping, late,");
    }
    sleep_until(next_ping);
    first.ping();
    first.set_pings(true);
    let end = Instant::now() + ms(6000);
    while Instant::now() < end {
        thread::sleep(ms(20));
    }
    record!("the servers hold {}, {} and {} keys", first.held_keys(), second.held_keys(), third.held_keys());
    server::violations()
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A server leaves, starts again under the same id, and soon leaves again. The first ping of its second life arrives
/// seconds late, after the deregistration.
pub fn wrong_life(trouble: bool) -> Vec<String> {
    let drain = ms(2000);
    let mut fleet = Fleet::new(3, &[("till", "z1"), ("till", "z1")], &["z1", "z2", "z3"]);
    fleet.start_all();
    let config = |n: usize, id, address| Config {
        id,
        service: "till",
        is_sharded: false,
        daemon: fleet.pings(n),
        address,
    };
    let life = Server::start(&config(0, "i-first", None), true);
    let _second = Server::start(&config(1, "i-second", None), true);
    configure(&fleet, &[("till", false)]);
    let outbound = fleet.outbound(1);
    let calls = repeat(move |_| {
        thread::spawn(move || client::get(outbound, "/till/200", None, ms(3000)));
        thread::sleep(ms(25));
    });
    wait_until("the first server gets requests", START, || life.arrivals().len() > 20);
    wait_until("its deregistration is acknowledged", START, || life.deregister());
    thread::sleep(drain + ms(300));
    life.end();
    thread::sleep(ms(500));
    let life = Server::start(&config(0, "i-first", Some(life.address)), false);
    let ping = life.take_ping();
    record!("the first ping of the second life is on its way");
    if !trouble {
        life.deliver(&ping, "the first ping, in time,");
    }
    thread::sleep(ms(600));
    wait_until("the deregistration of the second life is acknowledged", START, || life.deregister());
    let acknowledged = Instant::now();
    thread::sleep(ms(2400));
    if trouble {
        life.deliver(&ping, "the first ping, late,");
    }
    sleep_until(acknowledged + drain + ms(4000));
    let late = life.arrivals().iter().filter(|at| **at > acknowledged + drain).count();
    life.end();
    calls.store(false, Ordering::SeqCst);
    thread::sleep(ms(300));
    record!("{late} requests reached the second life later than 2000 ms after the acknowledgement");
    match late {
        0 => Vec::new(),
        n => vec![format!(
            "DRAIN: {n} requests reached i-first later than 2000 ms after its deregistration was acknowledged"
        )],
    }
}

/// The pings of a server are late for four seconds, so that its daemon removes it. The control host from which that daemon
/// learns of changes stands still at that time. The server's next ping arrives in time.
pub fn removed_server(trouble: bool) -> Vec<String> {
    let mut fleet = Fleet::new(3, &[("desk", "z1"), ("desk", "z2")], &["z1", "z2", "z3"]);
    fleet.start_all();
    server::start_watch();
    configure(&fleet, &[("desk", true)]);
    let side = fleet.side(0);
    // The daemon picks the control host that it watches at its start. It is to be another one than the leader.
    let mut watched = fleet.leader();
    for version in 2..20 {
        let acknowledged = fleet.order("POST /v1/config/replace", &config(version, &[("desk", true)]));
        assert!(acknowledged, "the configuration is acknowledged");
        let host = || {
            let lines = fleet.log(side, "CF4111");
            let line = lines.iter().rev().find(|l| l.get("version").is_some_and(|v| v.num() == f64::from(version)));
            line.and_then(|l| l.get("host")).map(|h| h.str().to_owned())
        };
        wait_until("the configuration has arrived", START, || host().is_some());
        let host = host().unwrap_or_default();
        watched = (0..fleet.core)
            .find(|i| host.starts_with(&format!("{}:", fleet.hosts[*i].ip)))
            .expect("a control host sent it");
        record!("{} leads, the first daemon watches {}", fleet.hosts[fleet.leader()].name, fleet.hosts[watched].name);
        if watched != fleet.leader() {
            break;
        }
        fleet.kill(side);
        fleet.start(side);
        wait_until("the daemon is ready", START, || fleet.is_ready(0));
    }
    assert_ne!(watched, fleet.leader(), "the daemon watches another host than the leader");
    let servers = [("i-first", 0), ("i-second", 1)].map(|(id, n)| {
        let config = Config {
            id,
            service: "desk",
            is_sharded: true,
            daemon: fleet.pings(n),
            address: None,
        };
        Server::start(&config, true)
    });
    let [first, second] = &servers;
    wait_until("both servers hold their share of all keys", START, || {
        first.held_keys() + second.held_keys() == 65_536 && first.rows().len() == 48 && second.rows().len() == 48
    });
    let rows = first.rows();
    thread::sleep(ms(1000));
    first.set_pings(false);
    thread::sleep(ms(900));
    let start = Instant::now();
    assert!(first.ping(), "the ping is acknowledged");
    if trouble {
        for n in 1..=4_u32 {
            let first = first.clone();
            thread::spawn(move || {
                sleep_until(start + server::HEARTBEAT * n);
                let ping = first.take_ping();
                record!("a ping of i-first is on its way");
                thread::sleep(ms(4500));
                first.deliver(&ping, "a ping, late,");
            });
        }
        sleep_until(start + ms(3450));
        fleet.signal(watched, crate::fleet::SIGSTOP);
        let is_removed = || fleet.log(side, "CF4005").iter().any(|l| l.get("server").is_some_and(|s| s.str() == first.address.to_string()));
        wait_until("the daemon has removed the server", ms(3000), is_removed);
        thread::sleep(ms(60));
    } else {
        first.set_pings(true);
        sleep_until(start + ms(4000));
    }
    first.ping();
    let outbound = fleet.outbound(0);
    for n in 0..12_usize {
        let row = rows[n * 4 % rows.len()];
        thread::spawn(move || client::get(outbound, "/desk/1200", Some(key_of(&row, n as u64)), ms(4000)));
    }
    thread::sleep(server::HEARTBEAT);
    first.set_pings(true);
    sleep_until(start + ms(6450));
    if trouble {
        fleet.signal(watched, crate::fleet::SIGCONT);
    }
    sleep_until(start + ms(10_000));
    server::violations()
}

/// All servers of one domain crash at once while they run a request that many clients send. Later, all processes of the
/// system are killed and come back.
pub fn popular_request(trouble: bool) -> Vec<String> {
    let recover = ms(15_000);
    let sides = ["z1", "z1", "z2", "z2", "z3", "z3"].map(|zone| ("board", zone));
    let mut fleet = Fleet::new(3, &sides, &["z1", "z2", "z3"]);
    fleet.start_all();
    let names = ["i-first", "i-second", "i-third", "i-fourth", "i-fifth", "i-sixth"];
    let config = |n: usize, address| Config {
        id: names[n],
        service: "board",
        is_sharded: false,
        daemon: fleet.pings(n),
        address,
    };
    let servers: Vec<Server> = (0..6).map(|n| Server::start(&config(n, None), true)).collect();
    let configs: Vec<Config> = servers.iter().enumerate().map(|(n, s)| config(n, Some(s.address))).collect();
    configure(&fleet, &[("board", false)]);
    let outbound: Vec<_> = (0..6).map(|n| fleet.outbound(n)).collect();
    let calls = repeat(move |n| {
        let to = outbound[(n % 6) as usize];
        // The rates of two currencies.
        let path = format!("/board/rate-{}/150", n / 6 % 2);
        thread::spawn(move || client::get(to, &path, None, ms(1500)));
        thread::sleep(ms(3));
    });
    thread::sleep(ms(10_000));
    if trouble {
        record!("all servers of one domain crash");
        servers[..2].iter().for_each(Server::end);
        thread::sleep(ms(4500));
        for config in &configs[..2] {
            Server::start(config, true);
        }
    } else {
        thread::sleep(ms(4500));
    }
    thread::sleep(ms(5000));
    record!("the final fault: all processes are killed");
    let fault = Instant::now();
    for i in 0..fleet.hosts.len() {
        fleet.signal(i, crate::fleet::SIGKILL);
    }
    for i in 0..fleet.hosts.len() {
        fleet.wait_end(i);
    }
    thread::sleep(ms(700));
    fleet.start_all();
    let back = Instant::now();
    sleep_until(back + recover + ms(10_000));
    calls.store(false, Ordering::SeqCst);
    thread::sleep(ms(1600));
    let sent = client::sent();
    let share = |what: &str, is_counted: &dyn Fn(Instant) -> bool| {
        let of: Vec<_> = sent.iter().filter(|s| is_counted(s.at)).collect();
        let served = of.iter().filter(|s| s.status == 200).count();
        record!("{what}: {served} of {} requests were served", of.len());
        served as f64 / of.len().max(1) as f64
    };
    let before = share("before the final fault", &|at| at < fault);
    let after = share("later than 15 s after the processes were back", &|at| {
        at > back + recover && at < back + recover + ms(10_000)
    });
    assert!(before >= 0.25, "a quarter is served before the final fault");
    if after >= 0.25 {
        return Vec::new();
    }
    vec![format!(
        "RECOVER: {:.1}% of the requests were served later than 15 s after the final fault, {:.1}% before it",
        after * 100.0,
        before * 100.0
    )]
}
