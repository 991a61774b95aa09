use {
    super::{
        daemon_cx::{DaemonCx, DaemonParts},
        edges::{Edges, FoldEdges, IncomingRequest, ResponseFuture},
        stop::{stop_daemon, StopParts},
        Node,
    },
    crate::{
        clock::Clock,
        control::{start_control, ControlConfig, ControlHandle, ControlInput},
        edge::{self, DeliveryStop},
        event::Event,
        link::{serve_links_within, KeyRing, LinkIdentity, Links},
        log_event,
        memory::{self, HostGrant, ProcessLimit},
        metrics::Metrics,
        settings::Settings,
    },
    anyhow::{Context, Result},
    bytes::Bytes,
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        iterator::Signals,
    },
    slog::Logger,
    std::{net::SocketAddr, path::Path, rc::Rc, thread, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::Builder,
        sync::{mpsc, watch},
        task::{spawn_local, LocalSet},
    },
};

/// Longest time to connect to a peer for a call. It is short because another daemon may take the call.
const CALL_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to connect to a control host. It is longer than the delay of a saturated link, and short enough to
/// try others within a lease.
const CONTROL_CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Capacity of the queue of messages from the control loop to the I/O loop. Messages beyond it are dropped.
const CONTROL_QUEUE_MESSAGES_MAX: usize = 4096;
/// Runs a daemon with the project's own interfaces until it receives SIGTERM or SIGINT.
///
/// # Errors
/// A key file or an address cannot be used, or the I/O loop or the thread for signals cannot be started.
pub fn run_daemon(settings: Settings, log: Logger) -> Result<()> {
    run_with_edges(settings, log, Rc::new(FoldEdges))
}

/// Runs a daemon with the given interfaces until it receives SIGTERM or SIGINT.
///
/// # Errors
/// A key file or an address cannot be used, or the I/O loop or the thread for signals cannot be started.
pub fn run_with_edges(settings: Settings, log: Logger, edges: Rc<dyn Edges>) -> Result<()> {
    memory::return_large_blocks();
    let (stop_tx, stop_rx) = watch::channel(false);
    let (reload_tx, reload_rx) = watch::channel(0_u64);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context("handling signals")?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload_tx.send_modify(|count| *count += 1);
            } else {
                let _ = stop_tx.send(true);
            }
        }
    })?;
    let (outbox, messages) = mpsc::channel(CONTROL_QUEUE_MESSAGES_MAX);
    let control = start_control_role(&settings, outbox, &log);
    let (handle, thread) = control.unzip();
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the I/O loop")?;
    let parts = ServeParts {
        settings,
        log,
        edges,
        control: handle.clone(),
        messages,
        stop: stop_rx,
        reload: reload_rx,
    };
    let served = serve(parts);
    let result = LocalSet::new().block_on(&runtime, served);
    if let (Some(handle), Some(thread)) = (handle, thread) {
        handle.send(ControlInput::Stop);
        let _ = thread.join();
    }
    result
}

/// Starts the control role if this host has one. If it cannot be started, e.g. because the data folder is unusable, the
/// daemon runs without it.
fn start_control_role(
    settings: &Settings,
    outbox: mpsc::Sender<(String, Bytes)>,
    log: &Logger,
) -> Option<(ControlHandle, thread::JoinHandle<()>)> {
    let control = settings.control.as_ref()?;
    let started = start_control(ControlConfig {
        data_dir: control.data_dir.clone(),
        address: settings.peer_address,
        first_voters: control.first_voters.clone(),
        control_hosts: settings.control_hosts.clone(),
        voters: control.voters,
        lease: settings.lease,
        clock: Clock::System,
        outbox,
        log: log.clone(),
    });
    if let Err(e) = &started {
        log_event!(log, Event::ControlRefused; "error" => e.to_string());
    }
    started.ok()
}

/// The values that the I/O loop starts with.
struct ServeParts {
    settings: Settings,
    log: Logger,
    edges: Rc<dyn Edges>,
    control: Option<ControlHandle>,
    messages: mpsc::Receiver<(String, Bytes)>,
    stop: watch::Receiver<bool>,
    reload: watch::Receiver<u64>,
}

/// A method of [`Edges`] that serves one of the interfaces.
type ServeFn = fn(&dyn Edges, Node, IncomingRequest) -> ResponseFuture;

/// Runs the I/O loop: all sockets except those for orders to backend servers, on one thread.
async fn serve(parts: ServeParts) -> Result<()> {
    let ServeParts {
        settings,
        log,
        edges,
        control,
        messages,
        stop,
        reload,
    } = parts;
    let identity = LinkIdentity {
        cluster: settings.cluster.clone(),
        host: settings.host.clone(),
        peer_address: settings.peer_address.to_string(),
        keys: Rc::new(KeyRing::load_or_unauthenticated(
            settings.peer_key_file.as_deref(),
        )?),
    };
    let cx = Rc::new(DaemonCx::new(DaemonParts {
        memory: ProcessLimit::choose(settings.memory_bytes, HostGrant::read(Path::new("/"))),
        clock: Clock::System,
        metrics: Metrics::new(settings.statsd_address)?,
        links: Links::new(identity.clone(), CALL_CONNECT_TIMEOUT, log.clone()),
        control_links: Links::new(identity.clone(), CONTROL_CONNECT_TIMEOUT, log.clone()),
        operator_keys: KeyRing::load_or_unauthenticated(settings.operator_key_file.as_deref())?,
        control,
        log: log.clone(),
        dialect: edges.dialect(),
        fetches_grants: edges.fetches_grants(),
        settings,
    }));
    let peer_listener = listen(cx.settings.peer_address, &log).await?;
    let served: [(Option<SocketAddr>, ServeFn); 5] = [
        (cx.settings.caller_address, |e, n, r| e.serve_caller(n, r)),
        (cx.settings.server_address, |e, n, r| e.serve_server(n, r)),
        (cx.settings.operator_address, |e, n, r| e.serve_operator(n, r)),
        (cx.settings.readiness_address, |e, n, r| e.serve_readiness(n, r)),
        (cx.settings.metrics_address, |e, n, r| e.serve_metrics(n, r)),
    ];
    let mut caller_task = None;
    let delivery_stop = Rc::new(DeliveryStop::default());
    for (position, (address, serve)) in served.into_iter().enumerate() {
        let Some(address) = address else { continue };
        let is_for_callers = position == 0;
        let listener = listen(address, &log).await?;
        let (edges, node) = (edges.clone(), Node::new(cx.clone()));
        let handler_cx = cx.clone();
        let handler = move |request| {
            let running_request = RunningRequest::new(&handler_cx);
            let response = serve(&*edges, node.clone(), request);
            async move {
                let response = response.await;
                drop(running_request);
                response
            }
        };
        let limits = {
            let node = Node::new(cx.clone());
            move || match is_for_callers {
                true => node.caller_limits(),
                false => node.settings().caller_limits,
            }
        };
        let (budget, log) = (cx.budget.clone(), log.clone());
        if is_for_callers {
            let serving = edge::serve_http_within(budget, listener, limits, log, stop.clone(), handler);
            caller_task = Some(spawn_local(serving));
        } else {
            let stop = delivery_stop.clone();
            spawn_local(async move {
                edge::serve_http_until_delivered(budget, listener, limits, log, &stop, handler).await;
            });
        }
    }

    spawn_local(cx.clone().reload_keys(identity.keys.clone(), reload));
    let peer_cx = cx.clone();
    let (links_stop_tx, links_stop) = watch::channel(false);
    let links_task = spawn_local(serve_links_within(
        cx.budget.clone(),
        peer_listener,
        identity,
        log.clone(),
        links_stop,
        move |request| peer_cx.clone().serve_peer(request),
    ));
    spawn_local(cx.clone().send_control_messages(messages));
    spawn_local(cx.clone().maintain_session());
    spawn_local(cx.clone().watch_clock());
    spawn_local(cx.clone().publish_servers());
    spawn_local(cx.clone().watch_state());
    spawn_local(cx.clone().confirm_configuration());
    spawn_local(cx.clone().reconcile_grants());
    spawn_local(cx.clone().maintain_guards());
    spawn_local(cx.clone().extend_leases());
    spawn_local(cx.clone().expire_announcements());
    spawn_local(cx.clone().end_warmups());
    log_event!(
        log, Event::DaemonStarted;
        "host" => &cx.settings.host,
        "peers" => cx.settings.peer_address.to_string(),
        "memory_bytes" => cx.memory.bytes,
        "memory_source" => cx.memory.source.as_str(),
        "connections" => cx.settings.caller_limits.connections,
    );

    wait_for_stop(stop).await;
    log_event!(log, Event::StopRequested; "host" => &cx.settings.host, "calls" => cx.running_calls.get());
    let parts = StopParts {
        caller_task,
        links_stop: links_stop_tx,
        links_task,
        delivery_stop,
    };
    stop_daemon(&cx, parts).await;
    log_event!(log, Event::DaemonStopped; "host" => &cx.settings.host, "calls" => cx.running_calls.get());
    Ok(())
}

async fn listen(address: SocketAddr, log: &Logger) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    if let Err(e) = &listener {
        log_event!(log, Event::ListenFailed; "address" => address.to_string(), "error" => e.to_string());
    }
    listener.with_context(|| format!("listening on {address}"))
}

async fn wait_for_stop(mut stop: watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Keeps a request in the count of requests that are being served, until it is dropped.
struct RunningRequest(Rc<DaemonCx>);

impl RunningRequest {
    fn new(cx: &Rc<DaemonCx>) -> Self {
        cx.running_requests.set(cx.running_requests.get() + 1);
        Self(cx.clone())
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running_requests.set(self.0.running_requests.get() - 1);
    }
}
