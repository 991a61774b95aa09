use {
    super::daemon_cx::DaemonCx,
    crate::{
        clock::Ms,
        control::State,
        event::{Event, RateLimit},
        link::LinkError,
        log_event,
        metrics::Metric,
        wire::peer::{frame::Body, StateRequest, Watch, WatchAnswer},
    },
    prost::Message,
    std::{rc::Rc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Pause after a watch failed.
const WATCH_PAUSE: Duration = Duration::from_millis(50);
/// Time without an answer after which another control host is asked too. It is above the time for which a control host
/// holds a watch back until there are changes.
const WATCH_PATIENCE: Duration = Duration::from_millis(1500);
/// Time for which a control host may lack a configuration that the leader has named, before another one is followed.
const FOLLOW_PATIENCE: Ms = Ms(300);
/// Parts of the state that may fail to come before another control host is asked for the whole.
const STATE_FAILURES_MAX: u32 = 2;
/// Watches that wait for their answers before no further one is sent.
const WATCHES_MAX: usize = 4;
/// Longest time to wait for the answer to a watch. It is above the delay of a full link.
const WATCH_TIMEOUT: Duration = Duration::from_secs(6);

/// How a watch ended.
struct Watched {
    host: String,
    asked_at: Ms,
    answer: Result<Body, LinkError>,
}

impl DaemonCx {
    /// Follows the committed changes and applies them to the state of this daemon.
    ///
    /// A watch that has no answer for long is kept while another host is asked: over a full link its answer comes late,
    /// and a new one would come no sooner.
    pub async fn watch_state(self: Rc<Self>) {
        let mut failures = RateLimit::default();
        let mut open = JoinSet::new();
        loop {
            let host = self.watched_host().unwrap_or_default();
            let asked_at = self.clock.now();
            if open.len() < WATCHES_MAX {
                open.spawn_local(self.clone().watch(host.clone(), asked_at));
            }
            let (host, asked_at, answer) = match timeout(WATCH_PATIENCE, open.join_next()).await {
                Ok(Some(Ok(Watched {
                    host,
                    asked_at,
                    answer,
                }))) => (host, asked_at, answer),
                // A task of the set ends without a result only with the whole process.
                Ok(_) => continue,
                Err(_) => (host, asked_at, Err(LinkError::Lost("no answer yet".into()))),
            };
            match answer {
                Ok(Body::WatchAnswer(answer)) => {
                    if answer.needs_state || !answer.changes.is_empty() {
                        // What the others bring is known then. An answer without news may be of a host that lags.
                        open = JoinSet::new();
                    }
                    self.follow_control_host(&host);
                    self.take_answer(&answer, &host, self.clock.now() - asked_at)
                        .await;
                }
                Ok(_) => {}
                Err(e) => {
                    self.note_failed_watch(&host, asked_at, &e, &mut failures);
                    self.turn_from_watched_host(&host);
                    sleep(WATCH_PAUSE).await;
                }
            }
        }
    }

    async fn watch(self: Rc<Self>, host: String, asked_at: Ms) -> Watched {
        let watch = Watch {
            applied: self.state().applied(),
            session: self.session.get().unwrap_or_default(),
            takes_patches: true,
            // Operators read what they wrote at the hosts that serve them.
            without_source: self.settings.operator_address.is_none(),
        };
        let answer = self
            .ask_control_host(&host, Body::Watch(watch), WATCH_TIMEOUT)
            .await;
        Watched {
            host,
            asked_at,
            answer,
        }
    }

    async fn take_answer(&self, answer: &WatchAnswer, host: &str, waited: Ms) {
        if answer.needs_state {
            self.fetch_state().await;
            return;
        }
        self.learn_control_hosts(&answer.control_hosts);
        let now = self.clock.now();
        if answer.changes.is_empty() && self.freshness.borrow().lacks_announced(FOLLOW_PATIENCE, now) {
            // This control host lags behind the leader itself.
            self.turn_from_watched_host(host);
        }
        if !answer.changes.is_empty() && !self.apply_answer(answer, host, waited) {
            self.fetch_state().await;
        }
    }

    /// Applies the changes of an answer that came after `waited`. A new configuration is logged with its age. False:
    /// the whole state is needed.
    fn apply_answer(&self, answer: &WatchAnswer, host: &str, waited: Ms) -> bool {
        let before = self.state().revision();
        let started = self.clock.now();
        let fits = self.apply_changes(&answer.changes);
        let state = self.state();
        let revision = state.revision();
        if !fits {
            log_event!(
                self.log, Event::ChangeMismatch;
                "host" => host, "applied" => state.applied(), "revision" => revision.index
            );
        }
        if revision == before {
            return fits;
        }
        let brought = answer.changes.iter().find(|c| c.index == revision.index);
        let proposed_at = brought
            .and_then(|c| c.change.as_ref())
            .map_or(0, |c| c.proposed_at_ms);
        let age = self.clock.wall() - Ms(proposed_at);
        self.metrics.time(Metric::ConfigurationAgeMs, &[], age);
        log_event!(
            self.log, Event::ConfigurationInForce;
            "revision" => revision.index, "version" => state.schema_version(), "age_ms" => age.0, "host" => host,
            "waited_ms" => waited.0, "bytes" => answer.encoded_len(), "changes" => answer.changes.len(),
            "apply_ms" => (self.clock.now() - started).0
        );
        fits
    }

    fn note_failed_watch(&self, host: &str, asked_at: Ms, error: &LinkError, failures: &mut RateLimit) {
        self.metrics.count(Metric::WatchesFailed, &[]);
        let now = self.clock.now();
        if let Some(suppressed) = failures.pass(now) {
            log_event!(
                self.log, Event::WatchFailed;
                "host" => host, "applied" => self.state().applied(), "waited_ms" => (now - asked_at).0,
                "error" => error.to_string(), "suppressed" => suppressed
            );
        }
    }

    /// Reads the whole state in parts. A state older than the present one is not taken.
    async fn fetch_state(&self) {
        let (mut image, mut failures) = (0, 0);
        let mut bytes = Vec::new();
        loop {
            let request = StateRequest {
                image,
                offset: bytes.len() as u64,
                newer_than: self.state().applied(),
            };
            let Ok(Body::StateAnswer(part)) = self.ask_watched_host(Body::StateRequest(request)).await else {
                failures += 1;
                sleep(WATCH_PAUSE).await;
                if failures > STATE_FAILURES_MAX {
                    self.watched.set(self.watched.get().wrapping_add(1));
                    return;
                }
                continue;
            };
            if part.offset != bytes.len() as u64 || part.part.is_empty() && part.total > part.offset {
                return;
            }
            image = part.image;
            bytes.extend_from_slice(&part.part);
            if bytes.len() as u64 >= part.total {
                break;
            }
        }
        match State::from_image(&bytes) {
            Some(state) if state.applied() > self.state().applied() => self.set_state(state),
            Some(_) | None => sleep(WATCH_PAUSE).await,
        }
    }
}
