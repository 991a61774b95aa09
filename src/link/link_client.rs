use {
    super::{
        handshake::{self, FrameStream},
        open_link::{LinkProbe, OpenLink, RequestFailure},
        socket, LinkError, LinkIdentity,
    },
    crate::{
        clock::Clock,
        event::{Event, RateLimit},
        log_event,
        wire::peer::frame::Body,
    },
    slog::Logger,
    std::{
        cell::RefCell, collections::HashMap, convert::Infallible, future::pending, io, rc::Rc, time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::Mutex,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time before the next attempt to replace a silent link after a failed one.
const REPLACE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The link to one peer, if there is one. The lock is held while a link is opened.
type LinkSlot = Mutex<Option<OpenLink>>;

/// The links opened by this daemon, one per peer. They belong to one thread.
///
/// A link that carries nothing any more although its connection is open is replaced by a new one.
pub struct Links {
    opener: Rc<LinkOpener>,
    slots: RefCell<HashMap<String, Rc<LinkSlot>>>,
}

impl Links {
    /// Returns an empty set of links. Connecting to a peer fails after `connect_timeout`.
    pub fn new(identity: LinkIdentity, connect_timeout: Duration, log: Logger) -> Self {
        Self {
            opener: Rc::new(LinkOpener {
                identity,
                connect_timeout,
                log,
                failure_log_limit: RefCell::default(),
            }),
            slots: RefCell::default(),
        }
    }

    /// Sends a request to the peer at `address` and waits for its answer. The link is opened on demand. A request that
    /// is dropped while it is queued is not sent any more. One that has no effect of its own is sent again if its link was
    /// silent and has been replaced.
    ///
    /// # Errors
    /// Returns `NotSent` if no link could be opened, the link was lost before the request was written, or the peer stops and
    /// has not taken it, and `Lost` if the link was lost before the answer arrived.
    pub async fn request(&self, address: &str, body: Body) -> Result<Body, LinkError> {
        while may_repeat(&body) {
            match self.get_or_open(address).await?.request(body.clone()).await {
                Err(RequestFailure::Replaced { .. }) => {}
                result => return result.map_err(LinkError::from),
            }
        }
        let result = self.get_or_open(address).await?.request(body).await;
        result.map_err(LinkError::from)
    }

    /// Queues a message that has no answer. The message may still be lost after this returns.
    ///
    /// # Errors
    /// Returns `NotSent` if no link could be opened, or if the link was closed.
    pub async fn send(&self, address: &str, body: Body) -> Result<(), LinkError> {
        self.get_or_open(address).await?.send(body).await
    }

    async fn get_or_open(&self, address: &str) -> Result<OpenLink, LinkError> {
        let slot = self
            .slots
            .borrow_mut()
            .entry(address.to_owned())
            .or_default()
            .clone();
        let mut link = slot.lock().await;
        if let Some(link) = link.as_ref().filter(|link| !link.is_closed()) {
            return Ok(link.clone());
        }
        let opened = self.opener.open(address).await;
        let stream = opened.map_err(|e| LinkError::NotSent(e.to_string()))?;
        let opened = self.opener.clone().serve(address, stream, slot.clone());
        *link = Some(opened.clone());
        Ok(opened)
    }
}

/// Returns whether a request may reach the peer twice without further effect.
fn may_repeat(body: &Body) -> bool {
    matches!(
        body,
        Body::Watch(_) | Body::StateRequest(_) | Body::Renew(_) | Body::InForce(_)
    )
}

/// A stream after the hello, and whether the peer answers pings.
type OpenedStream = (FrameStream, bool);

/// Opens links and serves them.
struct LinkOpener {
    identity: LinkIdentity,
    /// Timeout for connecting to a peer.
    connect_timeout: Duration,
    log: Logger,
    /// Limits the log lines about links that could not be opened, since each call tries again while a host is down.
    failure_log_limit: RefCell<RateLimit>,
}

impl LinkOpener {
    async fn open(&self, address: &str) -> io::Result<OpenedStream> {
        let opened = self.connect(address).await;
        match &opened {
            Ok(_) => log_event!(self.log, Event::LinkOpened; "peer" => address),
            Err(e) => {
                let passed = self.failure_log_limit.borrow_mut().pass(Clock::System.now());
                if let Some(suppressed) = passed {
                    log_event!(
                        self.log, Event::LinkFailed;
                        "peer" => address, "error" => e.to_string(), "suppressed" => suppressed
                    );
                }
            }
        }
        opened
    }

    async fn connect(&self, address: &str) -> io::Result<OpenedStream> {
        let connect = timeout(self.connect_timeout, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| io::ErrorKind::TimedOut)??;
        socket::configure(&stream)?;
        handshake::connect(stream, &self.identity).await
    }

    /// Returns a link over `stream`. A task serves its socket, and puts another link into `slot` once this one is silent.
    fn serve(
        self: Rc<Self>,
        address: &str,
        (stream, answers_pings): OpenedStream,
        slot: Rc<LinkSlot>,
    ) -> OpenLink {
        let (link, socket) = OpenLink::new(stream);
        let probe = LinkProbe::new(&link);
        let address = address.to_owned();
        spawn_local(async move {
            let replace = async {
                if answers_pings {
                    self.replace_when_silent(&address, &probe, slot).await;
                }
                pending::<Infallible>().await
            };
            let end = tokio::select! {
                end = socket.serve() => end,
                never = replace => match never {},
            };
            log_event!(
                self.log, Event::LinkClosed;
                "peer" => address, "silent_ms" => end.silence.0, "pending" => end.pending,
                "announced" => end.is_peer_leaving, "not_taken" => end.not_taken
            );
        });
        link
    }

    /// Waits until a link is silent, opens another one and puts it into `slot`. Until then the silent link is used on: it
    /// may only be slow.
    async fn replace_when_silent(self: &Rc<Self>, address: &str, probe: &LinkProbe, slot: Rc<LinkSlot>) {
        loop {
            probe.wait_for_silence().await;
            let received_at = probe.received_at();
            let opened = self.open(address).await;
            if probe.received_at() > received_at {
                probe.record_slow();
                continue;
            }
            let Ok(stream) = opened else {
                sleep(REPLACE_RETRY_DELAY).await;
                continue;
            };
            log_event!(
                self.log, Event::LinkReplaced;
                "peer" => address, "silent_ms" => (Clock::System.now() - received_at).0
            );
            let link = self.clone().serve(address, stream, slot.clone());
            *slot.lock().await = Some(link);
            return probe.abandon_requests();
        }
    }
}
