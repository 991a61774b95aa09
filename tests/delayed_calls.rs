//! Calls that arrive late over a link are not run once their callers have left, and keep no more time than is left.

use {
    clementinefold::{
        call::Call,
        clock::{Clock, Ms},
        link::{serve_links, KeyRing, LinkIdentity, Links},
        wire::peer::{frame::Body, CallAnswer},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::Builder,
        task::{spawn_local, LocalSet},
        time::{sleep, timeout},
    },
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that the calls have left when they are sent.
const DEADLINE: Ms = Ms(5000);
/// Delay of the late calls on their way.
const DELAY: Ms = Ms(900);

fn identity() -> LinkIdentity {
    LinkIdentity {
        cluster: "agency".into(),
        host: "host-1".into(),
        peer_address: "127.0.0.1:1".into(),
        keys: Rc::new(KeyRing::single(vec![7; 32])),
    }
}

/// Returns a call that was sent `delay` ago.
fn call(id: &str, delay: Ms) -> Body {
    Body::CallRequest(Call {
        request_id: id.into(),
        deadline_ms: u32::try_from(DEADLINE.0).unwrap(),
        sent_at_ms: (Clock::System.now() - delay).0,
        ..Call::default()
    })
}

/// Runs `test` with links to a server of links. Returns the calls that the server handled.
fn with_links(test: impl AsyncFnOnce(Links, String)) -> Vec<Call> {
    let handled = Rc::new(RefCell::new(Vec::new()));
    let calls = handled.clone();
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let handler = move |body| {
            if let Body::CallRequest(call) = body {
                calls.borrow_mut().push(call);
            }
            async { Some(Body::CallAnswer(CallAnswer::default())) }
        };
        spawn_local(serve_links(listener, identity(), log.clone(), handler));
        let links = Links::new(identity(), CONNECT_TIMEOUT, log);
        links.request(&address, call("usual", Ms::ZERO)).await.unwrap();
        timeout(WAIT_TIMEOUT, test(links, address)).await.unwrap();
    });
    Rc::try_unwrap(handled).unwrap().into_inner()
}

#[test]
fn withdrawn_call_not_run() {
    let handled = with_links(async |links, address| {
        let request = links.request(&address, call("late", DELAY));
        // The caller leaves while the call is held back.
        assert!(timeout(Duration::from_millis(100), request).await.is_err());
        sleep(DELAY.as_duration()).await;
    });
    assert_eq!(handled.len(), 1, "{handled:?}");
}

#[test]
fn delay_shortens_deadline() {
    let handled = with_links(async |links, address| {
        links.request(&address, call("late", DELAY)).await.unwrap();
    });
    let late = Ms::from(handled[1].deadline_ms);
    assert!(late <= DEADLINE - DELAY, "{late:?} are left");
    assert!(late > Ms::ZERO);
}
