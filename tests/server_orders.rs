//! Grants and lease orders carry the daemon's lease at the time of sending, and are not sent without a lease.

use {
    clementinefold::{
        clock::{Clock, Ms},
        edge::{Order, OrderError, ServerOrders},
        key::KeyRange,
        lease::DaemonLease,
        settings::LeaseSettings,
    },
    serde_json::Value,
    std::{
        io::{BufRead, BufReader, Write},
        net::{SocketAddr, TcpListener},
        sync::mpsc::{channel, Receiver},
        thread,
        time::Duration,
    },
    tokio::runtime::Builder,
};

/// Starts a server that answers every order with `status`, and returns a channel of the received paths and bodies.
fn fake_server(status: &'static str) -> (SocketAddr, Receiver<(String, Value)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(stream);
            while let Some((path, body)) = read_order(&mut reader) {
                let _ = tx.send((path, body));
                let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\n{{}}");
                if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    (address, rx)
}

fn read_order(reader: &mut impl BufRead) -> Option<(String, Value)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            break;
        }
        lines.push(line.to_lowercase());
    }
    let length = lines
        .iter()
        .find_map(|line| line.strip_prefix("content-length:"))?;
    let mut body = vec![0; length.trim().parse().ok()?];
    reader.read_exact(&mut body).ok()?;
    let path = lines[0].split(' ').nth(1)?.to_owned();
    Some((path, serde_json::from_slice(&body).ok()?))
}

struct Setup {
    clock: Clock,
    lease: DaemonLease,
    orders: ServerOrders,
    received: Receiver<(String, Value)>,
}

fn setup(status: &'static str) -> Setup {
    let (address, received) = fake_server(status);
    let clock = Clock::manual(Ms(5000));
    let lease = DaemonLease::default();
    let orders = ServerOrders::start(&address.to_string(), clock.clone(), lease.clone()).unwrap();
    Setup {
        clock,
        lease,
        orders,
        received,
    }
}

impl Setup {
    fn give(&self, order: Order) -> Result<(), OrderError> {
        let runtime = Builder::new_current_thread().build().unwrap();
        runtime.block_on(self.orders.give(order))
    }
}

fn grant() -> Order {
    Order::Grant {
        service: "ledger".into(),
        span: KeyRange::default(),
        epoch: 7,
    }
}

#[test]
fn lease_at_send() {
    let setup = setup("200 OK");
    setup.lease.record_renewal(Ms(5000), &LeaseSettings::default());
    setup.clock.advance(Ms(100));
    for order in [grant(), Order::Lease] {
        assert_eq!(setup.give(order), Ok(()));
        let (path, body) = setup.received.recv_timeout(Duration::from_secs(10)).unwrap();
        assert_eq!(body["lease_ms"], 470, "{path}");
        assert_eq!(body["lease_until_ms"], 5570, "{path}");
    }
    assert_eq!(setup.orders.leases_end_at(), Ms(5570));
}

#[test]
fn no_lease() {
    // Name of the case, and how the lease ends.
    type EndLease = fn(&Setup);
    let cases: &[(&str, EndLease)] = &[
        ("run out", |s| s.clock.advance(Ms(570))),
        ("voided", |s| s.lease.void(s.clock.now())),
    ];
    for (name, end_lease) in cases {
        let setup = setup("200 OK");
        setup.lease.record_renewal(Ms(5000), &LeaseSettings::default());
        end_lease(&setup);
        for order in [grant(), Order::Lease] {
            assert_eq!(setup.give(order), Err(OrderError::NoLease), "{name}");
        }
        assert_eq!(setup.orders.leases_end_at(), Ms::ZERO, "{name}");
        let revoke = Order::Revoke {
            service: "ledger".into(),
            span: KeyRange::default(),
            epoch: 7,
        };
        assert_eq!(setup.give(revoke), Ok(()), "{name}: a revoke needs no lease");
        let (path, _) = setup.received.recv_timeout(Duration::from_secs(10)).unwrap();
        assert_eq!(path, "/fold/revoke", "{name}: nothing else was sent");
    }
}

#[test]
fn closed_orders() {
    let setup = setup("200 OK");
    setup.lease.record_renewal(Ms(5000), &LeaseSettings::default());
    setup.orders.close();
    assert!(matches!(setup.give(grant()), Err(OrderError::Failed(_))));
    assert!(setup.received.try_recv().is_err(), "nothing was sent");
}

#[test]
fn refused_order() {
    let setup = setup("409 Conflict");
    setup.lease.record_renewal(Ms(5000), &LeaseSettings::default());
    assert!(matches!(setup.give(Order::Lease), Err(OrderError::Refused(_))));
}

/// Starts a server that confirms grants twice, and refuses all other orders.
fn repeating_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(stream);
            let mut is_repeating = false;
            while let Some((path, _)) = read_order(&mut reader) {
                let is_grant = path == "/fold/grant";
                let status = if is_grant || is_repeating {
                    "200 OK"
                } else {
                    "409 Conflict"
                };
                is_repeating = is_grant;
                let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
                if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    address
}

/// Guards against a late copy of the answer to a grant that is taken for the confirmation of a revoke.
#[test]
fn repeated_answer() {
    let lease = DaemonLease::default();
    lease.record_renewal(Ms(5000), &LeaseSettings::default());
    let address = repeating_server().to_string();
    let orders = ServerOrders::start(&address, Clock::manual(Ms(5000)), lease).unwrap();
    let runtime = Builder::new_current_thread().build().unwrap();
    assert_eq!(runtime.block_on(orders.give(grant())), Ok(()));
    let revoke = Order::Revoke {
        service: "ledger".into(),
        span: KeyRange::default(),
        epoch: 7,
    };
    let revoked = runtime.block_on(orders.give(revoke));
    assert!(matches!(revoked, Err(OrderError::Refused(_))), "{revoked:?}");
}

#[test]
fn gone_server() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let lease = DaemonLease::default();
    lease.record_renewal(Ms(5000), &LeaseSettings::default());
    let orders = ServerOrders::start(&address, Clock::manual(Ms(5000)), lease).unwrap();
    let runtime = Builder::new_current_thread().build().unwrap();
    assert_eq!(
        runtime.block_on(orders.give(Order::Lease)),
        Err(OrderError::ServerGone)
    );
}
