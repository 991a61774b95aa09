use {
    super::{daemon_cx::DaemonCx, local_server::LocalServer},
    crate::{
        clock::Ms,
        control::Server,
        event::Event,
        log_event,
        wire::control::{change, ServerLeft},
    },
    std::{rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::timeout},
};

/// Time for which a server that leaves is still sent calls for its keys.
const LEAVING_GRACE: Ms = Ms(1500);
/// Longest time to wait until a departure is committed. It is shorter than servers wait for an answer.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(800);

impl DaemonCx {
    /// Processes the deregistration of a server that will end soon, which was started at `started_ms`, in ms since the Unix
    /// epoch. If it does not name its start, it is the process that this daemon has heard of last. It is still sent calls for
    /// as long as a server that drains. Returns whether its departure is known to be committed: only then may it be
    /// acknowledged, because the next process of this daemon must know of it.
    pub async fn deregister(self: &Rc<Self>, instance: &str, started_ms: Option<u64>) -> bool {
        let servers = self.servers.borrow().clone();
        let named = servers.iter().filter(|s| s.announced.instance() == instance);
        // A process that was started later goes on.
        let is_meant = |s: &&Rc<LocalServer>| started_ms.is_none_or(|at| s.announced.started_ms() <= at);
        let leaving: Vec<_> = named.filter(is_meant).collect();
        for server in &leaving {
            self.mark_leaving(server, "it deregistered");
        }
        let known_start = leaving.iter().map(|s| s.announced.started_ms()).max();
        let started_ms = match (started_ms, known_start) {
            (Some(named), Some(known)) if named == known => named,
            (Some(named), _) => self.record_left_process(instance, named),
            (None, Some(known)) => known,
            (None, None) => self.record_left_server(instance),
        };
        self.commit_departure(instance, started_ms).await
    }

    /// Records the deregistration of a process from which no heartbeat has come. Returns its start.
    fn record_left_process(&self, instance: &str, started_ms: u64) -> u64 {
        if !self.left_servers.borrow().contains(instance, started_ms) {
            self.record_left(instance, started_ms, "it deregistered before it was known");
        }
        started_ms
    }

    /// Records the deregistration of a server that is unknown or already lost, and does not name its start. Returns its
    /// start, in ms since the Unix epoch, or an upper bound of it.
    fn record_left_server(&self, instance: &str) -> u64 {
        if let Some(started_ms) = self.left_servers.borrow().started_ms(instance) {
            return started_ms;
        }
        let lost = self.lost_servers.borrow();
        let found = lost.iter().find(|l| l.published.instance() == instance);
        // A server on this host has the same clock, so a process with a later start time is another one.
        let started_ms = found.map_or_else(|| self.clock.wall().0, |l| l.published.started_ms());
        self.record_left(instance, started_ms, "it deregistered after it was lost");
        started_ms
    }

    fn record_left(&self, instance: &str, started_ms: u64, reason: &str) {
        let now = self.clock.now();
        self.left_servers.borrow_mut().record(instance, started_ms, now);
        let lost = self.lost_servers.borrow();
        let found = lost.iter().find(|l| l.published.instance() == instance);
        let published = found.map_or_else(Server::default, |l| l.published.clone());
        log_event!(
            self.log, Event::ServerLeaving;
            "service" => &published.service, "server" => &published.address, "incarnation" => instance,
            "reason" => reason, "served_ms" => 0
        );
    }

    /// Returns whether a server has told this process that it leaves, or an earlier process of this daemon.
    pub(super) fn has_left(&self, instance: &str, started_ms: u64) -> bool {
        let state = self.state();
        let committed = state.departures();
        self.left_servers.borrow().contains(instance, started_ms)
            || committed.contains(&self.settings.host, instance, started_ms)
    }

    /// Commits the departure of a server that was started at `started_ms`, or earlier, in ms since the Unix epoch. Returns
    /// whether it is known to be committed.
    pub(super) async fn commit_departure(self: &Rc<Self>, instance: &str, started_ms: u64) -> bool {
        let state = self.state();
        let is_applied = state
            .departures()
            .contains(&self.settings.host, instance, started_ms);
        if is_applied || self.left_servers.borrow().is_committed(instance, started_ms) {
            return true;
        }
        let (cx, left_instance) = (self.clone(), instance.to_owned());
        // The proposal goes on after the timeout, so that the next attempt of the server finds it committed.
        let commit = spawn_local(async move {
            let left = ServerLeft {
                host: cx.settings.host.clone(),
                instance: left_instance.clone(),
                started_ms,
            };
            let is_committed = cx.propose(change::Body::ServerLeft(left)).await.is_some();
            if is_committed {
                let mut left = cx.left_servers.borrow_mut();
                left.record_committed(&left_instance, started_ms);
            }
            is_committed
        });
        let started = self.clock.now();
        let committed = timeout(COMMIT_TIMEOUT, commit).await;
        let is_committed = committed.is_ok_and(|joined| joined.unwrap_or(false));
        if !is_committed {
            let waited = self.clock.now() - started;
            log_event!(
                self.log, Event::DepartureNotCommitted; "server" => instance, "waited_ms" => waited.0
            );
        }
        is_committed
    }

    /// Marks a server as leaving, so that its keys move away and it is sent no calls after a grace period.
    pub(super) fn mark_leaving(&self, server: &Rc<LocalServer>, reason: &str) {
        if server.is_leaving.replace(true) {
            return;
        }
        let now = self.clock.now();
        let incarnation = &server.announced.incarnation;
        let started_ms = server.announced.started_ms();
        let mut left = self.left_servers.borrow_mut();
        left.record(server.announced.instance(), started_ms, now);
        drop(left);
        let schema = self.state().schema().clone();
        let service = schema.service(&server.announced.service);
        let is_divided = service.is_some_and(|s| s.divided_by_key);
        let grace = if is_divided { LEAVING_GRACE } else { Ms::ZERO };
        server.closes_at.set(now + grace);
        log_event!(
            self.log, Event::ServerLeaving;
            "service" => &server.announced.service, "server" => &server.announced.address,
            "incarnation" => incarnation, "reason" => reason, "served_ms" => grace.0
        );
        self.servers_changed.notify_one();
    }

    /// Marks a server as leaving that told an earlier process of this daemon so. It may go on to send heartbeats as if it
    /// stayed, and it holds its keys until it releases them, but it is sent no more calls: its grace period may be over.
    pub(super) fn resume_leaving(&self, server: &Rc<LocalServer>) {
        self.mark_leaving(server, "it had left before the restart");
        server.closes_at.set(self.clock.now());
    }
}
