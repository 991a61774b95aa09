use {
    super::daemon_cx::DaemonCx,
    crate::{
        clock::Ms,
        control::State,
        event::Event,
        log_event,
        wire::peer::{frame::Body, StateRequest},
    },
    std::{rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Time without a part of the state after which another control host is asked for the state too.
const SECOND_FETCH_DELAY: Duration = Duration::from_millis(1500);
/// Limit of control hosts from which the state is read at the same time.
const PENDING_FETCHES_MAX: usize = 2;
/// Failed fetches after which the daemon goes back to watching.
const FETCH_FAILURES_MAX: u32 = 2;
/// Time before the next fetch after a failed one.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time to wait for a part of the state, which takes seconds over a saturated link.
const PART_TIMEOUT: Duration = Duration::from_secs(6);

/// Result of reading the state from one control host: the image, or `None` if a part did not come.
struct Fetch {
    host: String,
    image: Option<Vec<u8>>,
}

impl DaemonCx {
    /// Reads the whole state from a control host and replaces the current one, if it is newer. While no parts come,
    /// another host is asked too.
    pub async fn fetch_state(self: &Rc<Self>) {
        let asked_at = self.clock.now();
        let part_received = Rc::new(Notify::new());
        let mut fetches = JoinSet::new();
        let mut failures = 0;
        while failures <= FETCH_FAILURES_MAX {
            let host = self.watched_host().unwrap_or_default();
            if fetches.len() < PENDING_FETCHES_MAX {
                fetches.spawn_local(self.clone().fetch_state_from(host.clone(), part_received.clone()));
            }
            match next_fetch(&mut fetches, &part_received).await {
                Some(Fetch {
                    host,
                    image: Some(image),
                }) => {
                    self.set_watched_host(&host);
                    return self
                        .replace_state(&image, &host, self.clock.now() - asked_at)
                        .await;
                }
                Some(Fetch { host, image: None }) => {
                    failures += 1;
                    self.leave_watched_host(&host);
                    sleep(FETCH_RETRY_DELAY).await;
                }
                None => self.leave_watched_host(&host),
            }
        }
    }

    async fn fetch_state_from(self: Rc<Self>, host: String, part_received: Rc<Notify>) -> Fetch {
        let image = self.read_image(&host, &part_received).await;
        Fetch { host, image }
    }

    /// Reads an image of the state in parts.
    async fn read_image(&self, host: &str, part_received: &Notify) -> Option<Vec<u8>> {
        let mut image = 0;
        let mut bytes = Vec::new();
        loop {
            let request = Body::StateRequest(StateRequest {
                image,
                offset: bytes.len() as u64,
                newer_than: self.state().applied(),
            });
            let answer = self.ask_control_host(host, request, PART_TIMEOUT).await;
            let Ok(Body::StateAnswer(part)) = answer else {
                return None;
            };
            part_received.notify_one();
            if part.offset != bytes.len() as u64 || part.part.is_empty() && part.total > part.offset {
                return None;
            }
            image = part.image;
            bytes.extend_from_slice(&part.part);
            if bytes.len() as u64 >= part.total {
                return Some(bytes);
            }
        }
    }

    /// Replaces the state by the one of an image that `host` sent within `waited`, unless that is not newer.
    async fn replace_state(&self, image: &[u8], host: &str, waited: Ms) {
        let started = self.clock.now();
        let fetched = State::from_image(image).filter(|s| s.applied() > self.state().applied());
        let Some(state) = fetched else {
            return sleep(FETCH_RETRY_DELAY).await;
        };
        self.set_state(state);
        let state = self.state();
        log_event!(
            self.log, Event::StateFetched;
            "applied" => state.applied(), "revision" => state.revision().index, "version" => state.schema_version(),
            "host" => host, "waited_ms" => waited.0, "bytes" => image.len(),
            "apply_ms" => (self.clock.now() - started).0
        );
    }
}

/// Waits until one of the fetches has ended. Returns `None` after [`SECOND_FETCH_DELAY`] without a part.
async fn next_fetch(fetches: &mut JoinSet<Fetch>, part_received: &Notify) -> Option<Fetch> {
    loop {
        tokio::select! {
            // A task ends without a result only when the whole process ends.
            Some(Ok(fetch)) = fetches.join_next() => return Some(fetch),
            part = timeout(SECOND_FETCH_DELAY, part_received.notified()) => {
                if part.is_err() {
                    return None;
                }
            }
        }
    }
}
