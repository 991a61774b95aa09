use {
    super::daemon_cx::DaemonCx,
    crate::{
        clock::Ms,
        control::Server,
        event::Event,
        grant::ChangedSpans,
        lease::{ClockVerdict, SleepDetector},
        log_event,
        metrics::Metric,
        wire::{
            control::{change, OpenSession, SetServers},
            peer::{frame::Body, OpenSessionRequest, Renew},
        },
    },
    std::{rc::Rc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{sleep, sleep_until, timeout, Instant},
    },
};

/// Time before the next attempt to open a session after a failed one.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time before the list of servers is published again after a failure, or while lost servers are still listed.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Limit of renewals that wait for their answers at the same time.
const PENDING_RENEWALS_MAX: usize = 8;
/// Time between two checks of the clocks.
const CLOCK_CHECK_INTERVAL: Ms = Ms(10);

impl DaemonCx {
    /// Opens a session and renews it. When it ends, opens the next one.
    pub async fn maintain_session(self: Rc<Self>) {
        loop {
            let Some(session) = self.open_session().await else {
                sleep(OPEN_RETRY_DELAY).await;
                continue;
            };
            log_event!(self.log, Event::SessionOpened; "session" => session);
            self.session.set(Some(session));
            self.servers_changed.notify_one();
            self.record_changes(ChangedSpans::everything());
            self.renew_until_end(session).await;
            self.session.set(None);
            self.lease.void(self.clock.now());
            self.metrics.lease(false);
            log_event!(self.log, Event::SessionEnded; "session" => session);
            self.drop_grants();
        }
    }

    async fn open_session(&self) -> Option<u64> {
        let open = OpenSession {
            host: self.settings.host.clone(),
            process: self.process,
            peer_address: self.settings.peer_address.to_string(),
            failure_domain: self.settings.failure_domain.clone(),
            region: self.settings.region.clone(),
            adopts: self.fetches_grants,
        };
        match self
            .ask_control(Body::OpenSession(OpenSessionRequest { open: Some(open) }))
            .await
        {
            Ok(Body::OpenSessionAnswer(answer)) => {
                if !answer.holder.is_empty() {
                    log_event!(self.log, Event::SessionRefused; "host" => &self.settings.host, "holder" => answer.holder);
                }
                self.session_start_index.set(answer.index);
                (answer.session != 0).then_some(answer.session)
            }
            Ok(_) | Err(_) => None,
        }
    }

    /// Renews the session until the leader answers that it has ended. A renewal does not wait for the answer to the
    /// previous one, and an answer counts however late it arrives.
    async fn renew_until_end(self: &Rc<Self>, session: u64) {
        let mut renewals = JoinSet::new();
        let mut was_valid = false;
        let mut next_at = Instant::now();
        while self.session.get() == Some(session) {
            if Instant::now() >= next_at {
                if renewals.len() < PENDING_RENEWALS_MAX {
                    renewals.spawn_local(self.clone().renew(session));
                }
                next_at = Instant::now() + self.settings.lease.renew_interval.as_duration();
            }
            let answered = tokio::select! {
                Some(answered) = renewals.join_next() => answered.ok().flatten(),
                () = sleep_until(next_at) => None,
                () = self.renew_now.notified() => {
                    next_at = Instant::now();
                    None
                }
            };
            match answered {
                Some((sent_at, Renewal::Renewed)) => self.lease.record_renewal(sent_at, &self.settings.lease),
                Some((_, Renewal::Lagging)) => {
                    let applied = self.state().applied();
                    log_event!(self.log, Event::ConfigurationLags; "session" => session, "applied" => applied);
                }
                // A session that this daemon ended itself is not followed by another one.
                Some((_, Renewal::Ended)) if self.session.get() == Some(session) => return,
                Some((_, Renewal::Ended)) => {}
                None => {}
            }
            let is_valid = self.lease.is_valid(self.clock.now());
            if was_valid && !is_valid {
                log_event!(self.log, Event::LeaseExpired; "session" => session);
            }
            was_valid = is_valid;
            self.metrics.lease(is_valid);
        }
        std::future::pending::<()>().await;
    }

    /// Renews the session once. Returns the time of sending and the result, or `None` if there is no answer.
    async fn renew(self: Rc<Self>, session: u64) -> Option<(Ms, Renewal)> {
        let sent_at = self.clock.now();
        let renew = Renew {
            session,
            sent_at_ms: sent_at.0,
            applied: self.state().applied(),
            loads: self.load_meter.borrow_mut().report(sent_at),
            process: self.process,
        };
        let answer = self.ask_within_lease(Body::Renew(renew)).await;
        self.metrics
            .time(Metric::RenewalMs, &[], self.clock.now() - sent_at);
        match answer {
            Ok(Body::RenewAnswer(answer)) if answer.sent_at_ms == sent_at.0 && answer.session == session => {
                let held = self.state().revision().index;
                let mut freshness = self.freshness.borrow_mut();
                freshness.record_answer(sent_at, answer.revision, held, self.clock.now());
                let renewal = match (answer.renewed, answer.lagging) {
                    (true, _) => Renewal::Renewed,
                    (false, true) => Renewal::Lagging,
                    (false, false) => Renewal::Ended,
                };
                Some((sent_at, renewal))
            }
            Ok(_) | Err(_) => None,
        }
    }

    /// Voids the lease and renews the session at once whenever this process was suspended or paused for longer than
    /// the allowed clock drift.
    pub async fn watch_clock(self: Rc<Self>) {
        let mut detector = SleepDetector::new(CLOCK_CHECK_INTERVAL, self.settings.lease.drift);
        loop {
            sleep(CLOCK_CHECK_INTERVAL.as_duration()).await;
            let (kind, span) = match detector.observe(self.clock.now(), self.clock.monotonic()) {
                ClockVerdict::Steady => continue,
                ClockVerdict::Suspended(span) => ("suspended", span),
                ClockVerdict::Paused(span) => ("paused", span),
            };
            self.lease.void(self.clock.now());
            log_event!(self.log, Event::LeaseVoided; "cause" => kind, "ms" => span.0);
            self.renew_now.notify_one();
        }
    }

    /// Publishes the list of local servers to the replicated state whenever it changes.
    pub async fn publish_servers(self: Rc<Self>) {
        let mut published = None;
        let mut adopted = None;
        loop {
            if self.fetches_grants && adopted != self.session.get() {
                adopted = self.adopt_servers().await;
                continue;
            }
            let wanted = (self.session.get(), self.announced_servers(), self.ended_servers());
            let awaits_listing = self.servers.borrow().iter().any(|s| s.awaits_listing());
            if published.as_ref() != Some(&wanted) || awaits_listing {
                let (Some(session), servers, ended) = wanted.clone() else {
                    self.servers_changed.notified().await;
                    continue;
                };
                let number = self.take_list_number();
                let set = SetServers {
                    session,
                    servers,
                    ended,
                    number,
                    process: self.process,
                };
                let answer = self.propose(change::Body::SetServers(set)).await;
                if let Some(answer) = &answer {
                    log_event!(
                        self.log, Event::ServersListed;
                        "session" => session, "number" => number, "index" => answer.index,
                        "servers" => wanted.1.len(), "ended" => wanted.2.len()
                    );
                    self.forget_unlisted_servers(&wanted.1, &wanted.2);
                }
                published = answer.is_some().then_some(wanted);
            }
            if published.is_some() && self.lost_servers.borrow().is_empty() {
                self.servers_changed.notified().await;
            } else {
                let _ = timeout(PUBLISH_RETRY_DELAY, self.servers_changed.notified()).await;
            }
        }
    }

    /// Takes the number of the next list of servers. The servers that this list is the first to name remember it.
    fn take_list_number(&self) -> u64 {
        let number = self.last_list.get() + 1;
        self.last_list.set(number);
        for server in self.servers.borrow().iter().filter(|s| s.awaits_listing()) {
            server.listed_in.set(Some(number));
        }
        number
    }

    /// Returns [`LocalServer::listed_in`] of a server that is added now. Only lists of this process can be on their way
    /// without it, since lists of earlier processes have no effect after this one has opened or taken over the session.
    pub(super) fn listed_in_of_new_server(&self) -> Option<u64> {
        (self.last_list.get() == 0).then_some(0)
    }

    /// Forgets the lost servers that are no longer in the replicated state, after `servers` and `ended` were committed.
    fn forget_unlisted_servers(&self, servers: &[Server], ended: &[String]) {
        self.lost_servers.borrow_mut().retain(|lost| {
            let incarnation = lost.incarnation();
            let listed = servers.iter().any(|s| s.incarnation == incarnation);
            listed || lost.has_ended() && !ended.iter().any(|e| e == incarnation)
        });
    }
}

/// Result of a renewal.
enum Renewal {
    Renewed,
    /// The session was not renewed because this daemon's configuration lags too far behind.
    Lagging,
    Ended,
}
