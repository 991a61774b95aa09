use {
    super::daemon_cx::DaemonCx,
    crate::wire::peer::{frame::Body, InForceRequest},
    std::rc::Rc,
    tokio::time::sleep,
};

impl DaemonCx {
    /// Asks the leader which configuration is the newest while this daemon has no session. With a session, the answers to
    /// its renewals tell it.
    pub async fn confirm_configuration(self: Rc<Self>) {
        loop {
            if self.session.get().is_none() {
                self.ask_for_newest().await;
            }
            sleep(self.settings.lease.renew_interval.as_duration()).await;
        }
    }

    async fn ask_for_newest(&self) {
        let sent_at = self.clock.now();
        let request = Body::InForce(InForceRequest { index: 0 });
        let Ok(Body::InForceAnswer(answer)) = self.ask_control(request).await else {
            return;
        };
        if let Some(newest) = answer.revision {
            let held = self.state().revision().index;
            let mut freshness = self.freshness.borrow_mut();
            freshness.record_answer(sent_at, newest, held, self.clock.now());
        }
    }
}
