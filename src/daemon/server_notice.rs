use {
    super::{daemon_cx::DaemonCx, local_server::LocalServer},
    crate::{edge::ServerNotice, event::Event, log_event},
};

impl DaemonCx {
    /// Takes note of what a server says of itself in an answer.
    pub(super) fn record_notice(&self, server: &LocalServer, notice: ServerNotice) {
        let before = server.notice.replace(notice);
        if before == notice {
            return;
        }
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
