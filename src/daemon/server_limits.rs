use {
    super::{daemon_cx::DaemonCx, local_server::LocalServer},
    crate::{clock::Ms, event::Event, log_event, metrics::Metric, schema::Warmup},
    std::rc::Rc,
    tokio::time::sleep,
};

/// Calls that a cold server may have got before this daemon learns that it is cold without a later effect. A cold server
/// must get at most 1.5 x `warmup_per_s` + 8 calls in any second; the limit itself uses up to 1.5 x `warmup_per_s` and
/// one for rounding.
const EARLY_CALLS_MAX: usize = 7;

impl DaemonCx {
    /// Applies to each local server the lower of two limits: the one that it names, and what its service allows while it
    /// is cold. Only this daemon sends calls to it, so the limit holds for the calls of all daemons.
    ///
    /// It is called whenever one of these may have changed, before further calls are sent.
    pub(super) fn update_limits(&self) {
        let servers = self.servers.borrow();
        let changed = servers.iter().filter(|server| self.update_limit(server)).count();
        if changed == 0 {
            return;
        }
        let cold = servers.iter().filter(|s| s.is_cold.get()).count();
        self.metrics.gauge(Metric::ServersCold, &[], cold as u64);
    }

    /// Applies the limit of a server. Returns whether it has become cold or warm.
    fn update_limit(&self, server: &LocalServer) -> bool {
        let now = self.clock.now();
        let declared = self.declared_warmup(server);
        let warmup = declared.filter(|_| server.warmup.get().is_cold(declared, now));
        let was_cold = server.is_cold.replace(warmup.is_some());
        let limits = [server.notice.get().limit_per_s, warmup.map(|w| w.per_s)];
        let limit = limits.into_iter().flatten().reduce(f64::min);
        let early = match warmup {
            Some(warmup) if !was_cold => server.gate.started_since(server.warmup.get().cold_since(warmup)),
            Some(_) | None => 0,
        };
        let charged = early.saturating_sub(EARLY_CALLS_MAX);
        if server.limit_per_s.replace(limit) != limit || charged > 0 {
            server.gate.set_rate(limit, charged);
        }
        if was_cold == warmup.is_some() {
            return false;
        }
        self.log_warmup(server, warmup, now);
        self.servers_changed.notify_one();
        self.warmups_changed.notify_one();
        true
    }

    fn declared_warmup(&self, server: &LocalServer) -> Option<Warmup> {
        let state = self.state.borrow();
        let service = state.schema().service(&server.announced.service)?;
        service.warmup
    }

    fn log_warmup(&self, server: &LocalServer, warmup: Option<Warmup>, now: Ms) {
        let announced = &server.announced;
        match warmup {
            Some(warmup) => {
                let left = server.warmup.get().cold_until(Some(warmup)) - now;
                log_event!(
                    self.log, Event::ServerCold;
                    "service" => &announced.service, "server" => &announced.address,
                    "left_ms" => left.0, "limit_per_s" => warmup.per_s
                );
            }
            None => log_event!(
                self.log, Event::ServerWarm;
                "service" => &announced.service, "server" => &announced.address
            ),
        }
    }

    /// Ends the limit of each cold server when its warm-up ends.
    pub async fn end_warmups(self: Rc<Self>) {
        loop {
            let next_end = self.next_warmup_end();
            tokio::select! {
                () = self.warmups_changed.notified() => {}
                () = sleep(next_end.unwrap_or_default().as_duration()), if next_end.is_some() => {}
            }
            self.update_limits();
        }
    }

    /// Returns the time until the next warm-up of a local server ends, or `None` if all are warm.
    fn next_warmup_end(&self) -> Option<Ms> {
        let now = self.clock.now();
        let servers = self.servers.borrow();
        let cold = servers.iter().filter(|s| s.is_cold.get());
        let ends = cold.map(|s| s.warmup.get().cold_until(self.declared_warmup(s)) - now);
        ends.min()
    }
}
