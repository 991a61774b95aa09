use {
    super::{daemon_cx::DaemonCx, local_server::LocalServer},
    crate::{edge::ServerNotice, event::Event, log_event},
    std::rc::Rc,
    tokio::task::spawn_local,
};

impl DaemonCx {
    /// Obeys what a server says of itself in an answer. Only this daemon sends calls to it, so its limit holds for the
    /// calls of all daemons.
    pub(super) fn obey_notice(self: &Rc<Self>, server: &Rc<LocalServer>, notice: ServerNotice) {
        let before = server.notice.replace(notice);
        if before == notice {
            return;
        }
        if notice.is_leaving {
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
}
