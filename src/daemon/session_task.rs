use {
    super::node::Node,
    crate::{
        clock::Ms,
        event::Event,
        log_event,
        wire::{
            control::{change, OpenSession, SetServers},
            peer::{frame::Body, OpenSessionRequest, Renew},
        },
    },
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Pause after a failed try to open a session.
const OPEN_PAUSE: Duration = Duration::from_millis(50);
/// Longest time until the list of servers is sent again after a failure.
const SERVERS_PAUSE: Duration = Duration::from_millis(200);

impl Node {
    /// Holds a session open: opens it, renews it, and opens the next one after its end.
    pub async fn hold_session(self: Rc<Self>) {
        loop {
            let Some(session) = self.open_session().await else {
                sleep(OPEN_PAUSE).await;
                continue;
            };
            log_event!(self.log, Event::SessionOpened; "session" => session);
            self.session.set(Some(session));
            self.servers_changed.notify_one();
            self.renew_until_end(session).await;
            self.session.set(None);
            self.lease.void();
            self.metrics.lease(false);
            log_event!(self.log, Event::SessionEnded; "session" => session);
            self.forget_grants();
        }
    }

    async fn open_session(&self) -> Option<u64> {
        let open = OpenSession {
            host: self.settings.host.clone(),
            process: self.process,
            peer_address: self.settings.peer_address.to_string(),
            failure_domain: self.settings.failure_domain.clone(),
            region: self.settings.region.clone(),
        };
        match self
            .ask_control(Body::OpenSession(OpenSessionRequest { open: Some(open) }))
            .await
        {
            Ok(Body::OpenSessionAnswer(answer)) => {
                self.follow_leader(&answer.leader);
                (answer.session != 0).then_some(answer.session)
            }
            Ok(_) | Err(_) => None,
        }
    }

    /// Renews the session until control says that it has ended.
    async fn renew_until_end(&self, session: u64) {
        let mut held = false;
        while !self.stopping.get() || self.running.get() > 0 {
            let sent_at = self.clock.now();
            match self.renew(session, sent_at).await {
                Some(true) => self.lease.renewed(sent_at, &self.settings.lease),
                Some(false) => return,
                None => {}
            }
            let holds = self.lease.is_valid(self.clock.now());
            if held && !holds {
                log_event!(self.log, Event::LeaseExpired; "session" => session);
            }
            held = holds;
            self.metrics.lease(holds);
            let spent = self.clock.now() - sent_at;
            sleep((self.settings.lease.renew - spent).as_duration()).await;
        }
        std::future::pending::<()>().await;
    }

    /// Renews the session once. `None`: no answer.
    async fn renew(&self, session: u64, sent_at: Ms) -> Option<bool> {
        let renew = Renew {
            session,
            sent_at_ms: sent_at.0,
            applied: self.state().applied(),
            loads: Vec::new(),
        };
        match self.ask_control(Body::Renew(renew)).await {
            Ok(Body::RenewAnswer(answer)) if answer.sent_at_ms == sent_at.0 && answer.session == session => {
                self.follow_leader(&answer.leader);
                Some(answer.renewed)
            }
            Ok(_) | Err(_) => None,
        }
    }

    /// Keeps the list of servers in the replicated state up to date.
    pub async fn publish_servers(self: Rc<Self>) {
        let mut published = None;
        loop {
            let wanted = (self.session.get(), self.announced());
            if published.as_ref() != Some(&wanted) {
                let (Some(session), servers) = wanted.clone() else {
                    self.servers_changed.notified().await;
                    continue;
                };
                let set = SetServers { session, servers };
                let committed = self.propose(change::Body::SetServers(set)).await.is_some();
                published = committed.then_some(wanted);
            }
            if published.is_some() {
                self.servers_changed.notified().await;
            } else {
                let _ = timeout(SERVERS_PAUSE, self.servers_changed.notified()).await;
            }
        }
    }
}
