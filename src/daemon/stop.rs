use {
    super::daemon_cx::DaemonCx,
    crate::{
        clock::Ms,
        control::ControlInput,
        edge::DeliveryStop,
        wire::control::{change, EndSession},
    },
    futures_util::FutureExt,
    std::{future::Future, pin::pin, rc::Rc, time::Duration},
    tokio::{
        sync::watch,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Time between two checks whether calls still run or ranges are still owned while the daemon stops.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time for the ranges to move away while the daemon stops, before it refuses new calls.
const MOVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time before the end of a stop at which the links end even if calls still run. Peers need a round trip and their answers.
const LINKS_END_RESERVE: Ms = Ms(300);

/// Time before the end of a stop at which the connections of servers, operators and probes end even if callers still read their
/// answers.
const PEERS_END_RESERVE: Ms = Ms(200);

/// Time before the end of a stop at which no more connections of servers, operators and probes are accepted, even if one of
/// them has not received its answer.
const PEERS_CLOSE_RESERVE: Ms = Ms(100);

/// Part of the stop after which calls of other daemons are refused, although callers still wait for their answers or
/// read them. The calls that run then have the rest of the stop to end.
const CALLER_WAIT_PERCENT: u64 = 50;

/// Longest wait for the requests of servers and operators that are in progress when the calls have ended.
const REQUEST_STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// What a stop has to end.
pub(super) struct StopParts {
    /// Serves the callers. It ends by itself once all of them have their answers.
    pub caller_task: Option<JoinHandle<()>>,
    /// Ends the links of other daemons.
    pub links_stop: watch::Sender<bool>,
    pub links_task: JoinHandle<()>,
    /// Ends the connections of servers, operators and probes, which are served until everything else has ended.
    pub delivery_stop: Rc<DeliveryStop>,
}

/// Stops the daemon in order, for `stop_timeout` of the settings at most. The rest of the answers is cut off if their callers do
/// not read them in time.
pub(super) async fn stop_daemon(cx: &Rc<DaemonCx>, parts: StopParts) {
    let StopParts {
        caller_task,
        links_stop,
        links_task,
        delivery_stop,
    } = parts;
    let callers_ended = async {
        if let Some(caller_task) = caller_task {
            let _ = caller_task.await;
        }
    };
    let callers_ended = callers_ended.shared();
    let links_ended = async {
        if let Some(control) = &cx.control {
            // A leader whose links have ended would still send to its followers and delay their election.
            control.send(ControlInput::Stop);
        }
        let _ = links_stop.send(true);
        let _ = links_task.await;
    };
    let stop_timeout = cx.settings.stop_timeout;
    let before_end = |reserve: Ms| stop_timeout - reserve.min(Ms(stop_timeout.0 / 4));
    let calls_ended = end_calls(cx, callers_ended.clone());
    let links_ended = end_in_order(before_end(LINKS_END_RESERVE), calls_ended, links_ended);
    let rest_ended = async {
        tokio::join!(links_ended, callers_ended);
    };
    let peers_ended = end_in_order(
        before_end(PEERS_END_RESERVE),
        rest_ended,
        delivery_stop.end_open(),
    );
    let ended = end_in_order(
        before_end(PEERS_CLOSE_RESERVE),
        peers_ended,
        delivery_stop.end_late(),
    );
    let _ = timeout(stop_timeout.as_duration(), ended).await;
}

/// Runs `last` after `first`, or beside it once `first` has taken longer than `limit`. Returns once both have ended.
async fn end_in_order(limit: Ms, first: impl Future<Output = ()>, last: impl Future<Output = ()>) {
    let mut first = pin!(first);
    match timeout(limit.as_duration(), &mut first).await {
        Ok(()) => last.await,
        Err(_) => drop(tokio::join!(first, last)),
    }
}

/// Waits until the running calls have ended, then ends the session unless servers still hold keys under it. If servers
/// take orders, their ranges are moved away first.
async fn end_calls(cx: &Rc<DaemonCx>, callers_ended: impl Future<Output = ()>) {
    cx.is_stopping.set(true);
    if !cx.fetches_grants {
        move_ranges_away(cx).await;
    }
    let caller_wait = Ms(cx.settings.stop_timeout.0 * CALLER_WAIT_PERCENT / 100);
    let _ = timeout(caller_wait.as_duration(), callers_ended).await;
    cx.refuses_calls.set(true);
    // Other daemons fetch the bodies that are kept for them.
    while cx.running_calls.get() > 0 || cx.kept_answers.has_bodies() {
        sleep(STOP_CHECK_INTERVAL).await;
    }
    let requests_ended = async {
        while cx.running_requests.get() > 0 {
            sleep(STOP_CHECK_INTERVAL).await;
        }
    };
    let _ = timeout(REQUEST_STOP_TIMEOUT, requests_ended).await;
    let now = cx.clock.now();
    let may_hold_ranges =
        !cx.servers.borrow().is_empty() || cx.lost_servers.borrow().iter().any(|l| l.may_hold_ranges(now));
    if cx.fetches_grants && may_hold_ranges {
        // The servers continue to hold their keys. The next process of this daemon takes over the session. If there is
        // none, the session ends when its lease expires.
        return;
    }
    end_session(cx).await;
}

async fn move_ranges_away(cx: &Rc<DaemonCx>) {
    cx.servers_changed.notify_one();
    let moved = async {
        while cx.owns_ranges() {
            sleep(STOP_CHECK_INTERVAL).await;
        }
    };
    let _ = timeout(MOVE_TIMEOUT, moved).await;
    cx.refuses_calls.set(true);
}

async fn end_session(cx: &Rc<DaemonCx>) {
    cx.lease.void(cx.clock.now());
    let session = cx.session.take();
    let idle = cx.revoke_all_grants().await;
    if let Some(session) = session {
        let end = EndSession {
            session,
            reason: "the daemon stops".into(),
            idle,
        };
        cx.propose(change::Body::EndSession(end)).await;
    }
}
