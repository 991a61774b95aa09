use {
    super::node::{Node, NodeParts},
    crate::{
        clock::Clock,
        control::{start_control, ControlConfig, ControlHandle, ControlInput},
        edge,
        event::Event,
        link::{serve_links, KeyRing, LinkIdentity, Links},
        log_event,
        metrics::Metrics,
        settings::Settings,
        wire::control::{change, EndSession},
    },
    anyhow::{Context, Result},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    slog::Logger,
    std::{net::SocketAddr, rc::Rc, thread, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::Builder,
        sync::watch,
        task::{spawn_local, JoinHandle, LocalSet},
        time::{sleep, timeout},
    },
};

/// Time between two looks at the calls that still run while the daemon stops.
const STOP_PAUSE: Duration = Duration::from_millis(10);

/// Longest time for the ranges to move away before the daemon refuses new calls.
const MOVE_MAX: Duration = Duration::from_secs(3);

/// Runs a daemon until it is told to stop by SIGTERM or SIGINT.
///
/// # Errors
/// A key file, an address or the data folder cannot be used.
pub fn run_daemon(settings: Settings, log: Logger) -> Result<()> {
    let (stop_tx, stop_rx) = watch::channel(false);
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("handling signals")?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        for _ in signals.forever() {
            let _ = stop_tx.send(true);
        }
    })?;
    let control = match &settings.control {
        Some(control) => Some(start_control(ControlConfig {
            data_dir: control.data_dir.clone(),
            lease: settings.lease,
            clock: Clock::System,
            log: log.clone(),
        })?),
        None => None,
    };
    let (handle, thread) = control.unzip();
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the I/O duty")?;
    let result = LocalSet::new().block_on(&runtime, serve(settings, log, handle.clone(), stop_rx));
    if let (Some(handle), Some(thread)) = (handle, thread) {
        handle.send(ControlInput::Stop);
        let _ = thread.join();
    }
    result
}

/// The I/O duty: all sockets but those to backend servers, on one thread.
async fn serve(
    settings: Settings,
    log: Logger,
    control: Option<ControlHandle>,
    stop: watch::Receiver<bool>,
) -> Result<()> {
    let identity = LinkIdentity {
        cluster: settings.cluster.clone(),
        host: settings.host.clone(),
        peer_address: settings.peer_address.to_string(),
        keys: Rc::new(KeyRing::load(&settings.peer_key_file)?),
    };
    let node = Rc::new(Node::new(NodeParts {
        clock: Clock::System,
        metrics: Metrics::new(settings.statsd_address)?,
        links: Links::new(identity.clone(), log.clone()),
        operator_keys: KeyRing::load(&settings.operator_key_file)?,
        control,
        log: log.clone(),
        settings,
    }));
    let limits = node.settings.caller_limits;
    let peers = listen(node.settings.peer_address, &log).await?;
    let callers = listen(node.settings.caller_address, &log).await?;
    let servers = listen(node.settings.server_address, &log).await?;
    let operators = listen(node.settings.operator_address, &log).await?;

    let for_peers = node.clone();
    spawn_local(serve_links(peers, identity, log.clone(), move |body| {
        for_peers.clone().serve_peer(body)
    }));
    let for_callers = node.clone();
    let serving = spawn_local(edge::serve_http(
        callers,
        limits,
        log.clone(),
        stop.clone(),
        move |request| for_callers.clone().serve_caller(request),
    ));
    let for_servers = node.clone();
    spawn_local(edge::serve_http(
        servers,
        limits,
        log.clone(),
        stop.clone(),
        move |request| for_servers.clone().serve_server(request),
    ));
    let for_operators = node.clone();
    spawn_local(edge::serve_http(
        operators,
        limits,
        log.clone(),
        stop.clone(),
        move |request| for_operators.clone().serve_operator(request),
    ));
    spawn_local(node.clone().hold_session());
    spawn_local(node.clone().watch_clock());
    spawn_local(node.clone().publish_servers());
    spawn_local(node.clone().watch_state());
    spawn_local(node.clone().keep_grants());
    spawn_local(node.clone().keep_guards());
    spawn_local(node.clone().extend_leases());
    spawn_local(node.clone().watch_announcements());
    log_event!(log, Event::DaemonStarted; "host" => &node.settings.host, "callers" => node.settings.caller_address.to_string());

    wait_for_stop(stop).await;
    finish(&node, serving).await;
    log_event!(log, Event::DaemonStopped; "host" => &node.settings.host);
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

/// Lets the ranges move away, finishes the calls that run, then ends the session.
async fn finish(node: &Rc<Node>, serving: JoinHandle<()>) {
    node.stopping.set(true);
    node.servers_changed.notify_one();
    let moved = async {
        while node.owns_ranges() {
            sleep(STOP_PAUSE).await;
        }
    };
    let _ = timeout(MOVE_MAX, moved).await;
    node.refusing.set(true);
    // Every caller gets its whole answer before the process ends.
    let _ = serving.await;
    while node.running.get() > 0 {
        sleep(STOP_PAUSE).await;
    }
    node.lease.void(node.clock.now());
    let session = node.session.take();
    let idle = node.give_up_grants().await;
    if let Some(session) = session {
        let end = EndSession {
            session,
            reason: "the daemon stops".into(),
            idle,
        };
        node.propose(change::Body::EndSession(end)).await;
    }
}
