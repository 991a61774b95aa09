use {
    super::{daemon_cx::DaemonCx, local_server::LocalServer},
    crate::{
        call::{LoadError, ReportedLoad},
        edge::{LoadNotice, ServerNotice},
        event::Event,
        log_event,
        metrics::Metric,
    },
    std::rc::Rc,
    tokio::task::spawn_local,
};

impl DaemonCx {
    /// Obeys what a server says of itself in an answer. Only this daemon sends calls to it, so its limit holds for the
    /// calls of all daemons.
    pub(super) fn obey_notice(self: &Rc<Self>, server: &Rc<LocalServer>, notice: ServerNotice) {
        let before = server.notice.replace(notice);
        // The same figures in another answer are news: they state the load as it is now.
        match notice.load {
            LoadNotice::Missing => {}
            LoadNotice::Reported(load) => self.apply_load(server, load),
            LoadNotice::Bad(error) => self.log_bad_load(server, error),
        }
        if notice.is_leaving && !before.is_leaving {
            self.mark_leaving(server, "its answer says so");
            let (cx, announced) = (self.clone(), server.announced.clone());
            spawn_local(async move {
                cx.commit_departure(announced.instance(), announced.started_ms())
                    .await
            });
        }
        if before.limit_per_s == notice.limit_per_s {
            return;
        }
        self.update_limits();
        let passed = server.notice_log_limit.borrow_mut().pass(self.clock.now());
        if let Some(suppressed) = passed {
            log_event!(
                self.log, Event::ServerLimitNamed;
                "service" => &server.announced.service, "server" => &server.announced.address,
                "limit_per_s" => notice.limit_per_s, "before_per_s" => before.limit_per_s, "suppressed" => suppressed
            );
        }
    }

    fn apply_load(&self, server: &LocalServer, load: ReportedLoad) {
        server.gate.report_load(&load);
        let announced = server.announced.slots;
        let slots = load.slots.min(announced);
        if server.reported_slots.replace(Some(slots)).unwrap_or(announced) == slots {
            return;
        }
        let passed = server.slots_log_limit.borrow_mut().pass(self.clock.now());
        if let Some(suppressed) = passed {
            log_event!(
                self.log, Event::ServerSlotsReported;
                "service" => &server.announced.service, "server" => &server.announced.address,
                "slots" => load.slots, "announced" => announced, "suppressed" => suppressed
            );
        }
    }

    fn log_bad_load(&self, server: &LocalServer, error: LoadError) {
        self.metrics.count(Metric::BadLoads, &[&server.announced.service]);
        let passed = server.bad_load_log_limit.borrow_mut().pass(self.clock.now());
        if let Some(suppressed) = passed {
            log_event!(
                self.log, Event::ServerLoadIgnored;
                "service" => &server.announced.service, "server" => &server.announced.address,
                "error" => error.to_string(), "suppressed" => suppressed
            );
        }
    }
}
