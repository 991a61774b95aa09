use {
    super::daemon_cx::DaemonCx,
    crate::{
        clock::Ms,
        event::{Event, RateLimit},
        link::LinkError,
        log_event,
        metrics::Metric,
        wire::peer::{frame::Body, Watch, WatchAnswer},
    },
    prost::Message,
    std::{rc::Rc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Time before the next attempt after a watch has failed.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without an answer after which the other control hosts are watched too. It is longer than a control host delays
/// its answer while there are no changes.
const SECOND_WATCH_DELAY: Duration = Duration::from_millis(1500);
/// Time for which the watched control host may lack a configuration that the leader has announced, before this daemon
/// switches to another one.
const MISSING_CONFIG_MAX: Ms = Ms(300);
/// Limit of watches that wait for their answers at the same time.
const PENDING_WATCHES_MAX: usize = 4;
/// Longest time to wait for the answer to a watch. It is longer than the delay of a saturated link.
const WATCH_TIMEOUT: Duration = Duration::from_secs(6);

/// Result of a watch.
struct WatchResult {
    host: String,
    asked_at: Ms,
    answer: Result<Body, LinkError>,
}

impl DaemonCx {
    /// Watches for committed changes and applies them to the state of this daemon.
    ///
    /// An unanswered watch is kept while the other hosts are asked: over a saturated link answers are late, and the answer
    /// to a new watch would arrive no sooner. They are asked at once, because more than one of them may be silent.
    pub async fn watch_state(self: Rc<Self>) {
        let mut failure_log_limit = RateLimit::default();
        let mut watches = JoinSet::new();
        let mut asks_all = false;
        loop {
            let host = self.watched_host().unwrap_or_default();
            let asked_at = self.clock.now();
            for host in self.hosts_to_watch(asks_all) {
                if watches.len() < PENDING_WATCHES_MAX {
                    watches.spawn_local(self.clone().watch(host, asked_at));
                }
            }
            let answer = timeout(SECOND_WATCH_DELAY, watches.join_next()).await;
            asks_all = answer.is_err();
            let (host, asked_at, answer) = match answer {
                Ok(Some(Ok(WatchResult {
                    host,
                    asked_at,
                    answer,
                }))) => (host, asked_at, answer),
                // A task ends without a result only when the whole process ends.
                Ok(_) => continue,
                Err(_) => (host, asked_at, Err(LinkError::Lost("no answer yet".into()))),
            };
            match answer {
                Ok(Body::WatchAnswer(answer)) => {
                    if answer.needs_state || !answer.changes.is_empty() {
                        // The other watches would return the same changes. After an answer without changes they are
                        // kept, because its host may lag behind.
                        watches = JoinSet::new();
                    }
                    self.set_watched_host(&host);
                    self.handle_watch_answer(&answer, &host, self.clock.now() - asked_at)
                        .await;
                }
                Ok(_) => {}
                Err(e) => {
                    self.record_failed_watch(&host, asked_at, &e, &mut failure_log_limit);
                    self.leave_watched_host(&host);
                    sleep(WATCH_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn watch(self: Rc<Self>, host: String, asked_at: Ms) -> WatchResult {
        let watch = Watch {
            applied: self.state().applied(),
            session: self.session.get().unwrap_or_default(),
            takes_patches: true,
            // Only hosts that serve operators need the source of the schema.
            without_source: self.settings.operator_address.is_none(),
        };
        let answer = self
            .ask_control_host(&host, Body::Watch(watch), WATCH_TIMEOUT)
            .await;
        WatchResult {
            host,
            asked_at,
            answer,
        }
    }

    async fn handle_watch_answer(self: &Rc<Self>, answer: &WatchAnswer, host: &str, waited: Ms) {
        if answer.needs_state {
            self.fetch_state().await;
            return;
        }
        self.update_control_hosts(&answer.control_hosts);
        let now = self.clock.now();
        if answer.changes.is_empty() && self.freshness.borrow().lacks_announced(MISSING_CONFIG_MAX, now) {
            // This control host lags behind the leader itself.
            self.leave_watched_host(host);
        }
        if !answer.changes.is_empty() && !self.apply_watched_changes(answer, host, waited) {
            self.fetch_state().await;
        }
    }

    /// Applies the changes of an answer that came after `waited`, and logs the age of a new configuration. Returns
    /// false if a change does not fit the state, so that the whole state has to be fetched.
    fn apply_watched_changes(&self, answer: &WatchAnswer, host: &str, waited: Ms) -> bool {
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
        let config_change = answer.changes.iter().find(|c| c.index == revision.index);
        let proposed_at = config_change
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

    fn record_failed_watch(
        &self,
        host: &str,
        asked_at: Ms,
        error: &LinkError,
        failure_log_limit: &mut RateLimit,
    ) {
        self.metrics.count(Metric::WatchesFailed, &[]);
        let now = self.clock.now();
        if let Some(suppressed) = failure_log_limit.pass(now) {
            log_event!(
                self.log, Event::WatchFailed;
                "host" => host, "applied" => self.state().applied(), "waited_ms" => (now - asked_at).0,
                "error" => error.to_string(), "suppressed" => suppressed
            );
        }
    }
}
