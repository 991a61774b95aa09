use {
    super::measure::{cpu_us, resident_bytes},
    clementinefold::{
        link::{serve_links, KeyRing, LinkIdentity, Links},
        wire::peer::{frame::Body, Renew, RenewAnswer},
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        runtime::Builder,
        task::{spawn_local, LocalSet},
    },
};

/// Number of links that are opened, to measure the mean cost of one.
const LINKS: usize = 500;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of requests of each measurement.
const REQUESTS: u32 = 50_000;
/// Number of requests that run at the same time in the second measurement.
const IN_FLIGHT: u32 = 64;

/// Prints the time of a hello and of a request with its answer, and the memory of an open link. Both ends of the links
/// are in this process.
pub fn cost() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let identity = LinkIdentity {
            cluster: "bench".into(),
            host: "host".into(),
            peer_address: "127.0.0.1:1".into(),
            keys: Rc::new(KeyRing::single(vec![1; 32])),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        spawn_local(serve_links(listener, identity.clone(), log.clone(), |body| async move {
            match body {
                Body::Renew(renew) => Some(Body::RenewAnswer(RenewAnswer {
                    session: renew.session,
                    sent_at_ms: renew.sent_at_ms,
                    renewed: true,
                    ..RenewAnswer::default()
                })),
                _ => None,
            }
        }));
        let renew = || Body::Renew(Renew { session: 1_000_000, sent_at_ms: 1_000_000_000, ..Renew::default() });

        let (memory_before, cpu_before, started) = (resident_bytes("self"), cpu_us(), Instant::now());
        let mut open_links = Vec::new();
        for _ in 0..LINKS {
            let links = Links::new(identity.clone(), CONNECT_TIMEOUT, log.clone());
            links.request(&address, renew()).await.unwrap();
            open_links.push(links);
        }
        println!(
            "{LINKS} links: {:.0} us of processor and {:.0} us of wall time a hello, {:.1} KiB a link, both ends each",
            (cpu_us() - cpu_before) / LINKS as f64,
            started.elapsed().as_secs_f64() * 1e6 / LINKS as f64,
            (resident_bytes("self") - memory_before) as f64 / 1024.0 / LINKS as f64
        );
        drop(open_links);

        let links = Rc::new(Links::new(identity, CONNECT_TIMEOUT, log));
        links.request(&address, renew()).await.unwrap();
        for in_flight in [1, IN_FLIGHT] {
            let (cpu_before, started) = (cpu_us(), Instant::now());
            let tasks: Vec<_> = (0..in_flight)
                .map(|_| {
                    let (links, address) = (links.clone(), address.clone());
                    spawn_local(async move {
                        for _ in 0..REQUESTS / in_flight {
                            links.request(&address, renew()).await.unwrap();
                        }
                    })
                })
                .collect();
            for task in tasks {
                task.await.unwrap();
            }
            println!(
                "{in_flight} in flight: {:.1} us of processor and {:.1} us of wall time a request, both ends",
                (cpu_us() - cpu_before) / f64::from(REQUESTS),
                started.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS)
            );
        }
    });
}
