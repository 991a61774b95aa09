//! Links whose accepting side has a budget of memory: what becomes of large calls without room, and of other requests on
//! the same link.

use {
    clementinefold::{
        clock::Clock,
        link::{serve_links_within, KeyRing, LinkIdentity, Links},
        memory::{MemoryBudget, Refused, ReservationKind},
        wire::peer::{frame::Body, CallAnswer, CallRequest},
    },
    std::{cell::Cell, future::Future, rc::Rc, time::Duration},
    tokio::{
        io::{copy, AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Builder,
        sync::{watch, Notify},
        task::{spawn_local, LocalSet},
        time::timeout,
    },
};

const BUDGET_BYTES: usize = 4 * 1024 * 1024;
/// Size of a body of which the part of the budget for large bodies has room for one.
const LARGE: usize = 3 * 1024 * 1024 / 2;
/// Number of bytes after which a relay stops.
const RELAYED_BYTES: u64 = 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const SERVED: u32 = 200;
const REFUSED: u32 = 503;

fn identity() -> LinkIdentity {
    LinkIdentity {
        cluster: "agency".into(),
        host: "host-1".into(),
        peer_address: "127.0.0.1:1".into(),
        keys: Rc::new(KeyRing::single(vec![7; 32])),
    }
}

fn no_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// A server of links that answers each call with [`SERVED`], once it is released if its method is `HOLD`, and refused
/// ones with [`REFUSED`].
struct Server {
    address: String,
    budget: MemoryBudget,
    released: Rc<Notify>,
    held: Rc<Cell<usize>>,
    _stop: watch::Sender<bool>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (stop_tx, stop) = watch::channel(false);
        let server = Self {
            address: listener.local_addr().unwrap().to_string(),
            budget: MemoryBudget::new(BUDGET_BYTES, Clock::System),
            released: Rc::default(),
            held: Rc::default(),
            _stop: stop_tx,
        };
        let (released, held) = (server.released.clone(), server.held.clone());
        let handler = move |request| answer(request, released.clone(), held.clone());
        let budget = server.budget.clone();
        spawn_local(serve_links_within(
            budget,
            listener,
            identity(),
            no_log(),
            stop,
            handler,
        ));
        server
    }
}

async fn answer(request: Result<Body, Refused>, released: Rc<Notify>, held: Rc<Cell<usize>>) -> Option<Body> {
    let status = match &request {
        Ok(Body::CallRequest(call)) if call.method == "HOLD" => {
            held.set(held.get() + 1);
            released.notified().await;
            SERVED
        }
        Ok(_) => SERVED,
        Err(Refused) => REFUSED,
    };
    Some(Body::CallAnswer(CallAnswer {
        status,
        ..CallAnswer::default()
    }))
}

fn new_links() -> Rc<Links> {
    Rc::new(Links::new(identity(), CONNECT_TIMEOUT, no_log()))
}

/// Makes a call and returns its status.
async fn call(links: &Links, address: &str, method: &str, body_bytes: usize) -> u32 {
    let call = CallRequest {
        method: method.into(),
        body: vec![b'x'; body_bytes].into(),
        ..CallRequest::default()
    };
    match links.request(address, Body::CallRequest(call)).await {
        Ok(Body::CallAnswer(answer)) => answer.status,
        other => panic!("{other:?}"),
    }
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(WAIT_TIMEOUT, test).await.unwrap() });
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// While the body of one call is held, another large one is refused, on its link and on others, and small calls are
/// served. The held body counts once.
#[test]
fn second_call_refused() {
    run_test(async {
        let server = Server::start().await;
        let (links, other_links) = (new_links(), new_links());
        let holding = {
            let (links, address) = (links.clone(), server.address.clone());
            spawn_local(async move { call(&links, &address, "HOLD", LARGE).await })
        };
        wait_until(|| server.held.get() == 1).await;
        let held = server.budget.held();
        assert!((LARGE..LARGE + 1024).contains(&held), "{held} bytes are held");
        for links in [&links, &other_links] {
            assert_eq!(call(links, &server.address, "GET", LARGE).await, REFUSED);
            assert_eq!(call(links, &server.address, "GET", 10).await, SERVED);
        }
        server.released.notify_one();
        assert_eq!(holding.await.unwrap(), SERVED);
        assert_eq!(server.budget.held(), 0);
        assert_eq!(call(&links, &server.address, "GET", LARGE).await, SERVED);
        assert_eq!(server.budget.held(), 0);
    });
}

/// A body over the whole budget is served if nothing else is held.
#[test]
fn single_call_fits() {
    run_test(async {
        let server = Server::start().await;
        assert_eq!(
            call(&new_links(), &server.address, "GET", 2 * BUDGET_BYTES).await,
            SERVED
        );
        assert_eq!(server.budget.held(), 0);
    });
}

/// Passes the bytes of one connection to the server: [`RELAYED_BYTES`], and the others after `resumed`.
async fn relay(server: String, resumed: Rc<Notify>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    spawn_local(async move {
        let (near, _) = listener.accept().await.unwrap();
        let (mut from_near, mut to_near) = near.into_split();
        let (mut from_far, mut to_far) = TcpStream::connect(server).await.unwrap().into_split();
        spawn_local(async move { copy(&mut from_far, &mut to_near).await });
        copy(&mut (&mut from_near).take(RELAYED_BYTES), &mut to_far)
            .await
            .unwrap();
        resumed.notified().await;
        let _ = copy(&mut from_near, &mut to_far).await;
        let _ = to_far.shutdown().await;
    });
    address
}

/// A frame whose sender stops halfway does not keep others from the budget, and its link works on afterwards.
#[test]
fn stalled_call_refused() {
    run_test(async {
        let server = Server::start().await;
        let (links, resumed) = (new_links(), Rc::new(Notify::new()));
        let relay_address = relay(server.address.clone(), resumed.clone()).await;
        let stalled = {
            let (links, address) = (links.clone(), relay_address.clone());
            spawn_local(async move { call(&links, &address, "GET", LARGE).await })
        };
        wait_until(|| server.budget.held() >= LARGE).await;
        let waiting = server.budget.reservation(ReservationKind::Body, None);
        assert_eq!(waiting.reserve(LARGE).await, Ok(()));
        drop(waiting);
        assert_eq!(server.budget.held(), 0);
        resumed.notify_one();
        assert_eq!(stalled.await.unwrap(), REFUSED);
        assert_eq!(call(&links, &relay_address, "GET", LARGE).await, SERVED);
    });
}
