use {
    super::daemon_cx::DaemonCx,
    crate::{
        call::{CallResult, Reason},
        clock::Ms,
        control::ControlInput,
        memory::Refused,
        wire::{consensus::Envelope, peer::frame::Body},
    },
    prost::Message,
    std::rc::Rc,
    tokio::sync::oneshot,
};

impl DaemonCx {
    /// Serves a request of another daemon, or ends a call whose body was refused as not run. Returns `None` if there is no
    /// answer to it.
    pub async fn serve_peer(self: Rc<Self>, request: Result<Body, Refused>) -> Option<Body> {
        let Ok(body) = request else {
            let result = CallResult::failed(Reason::NoMemory);
            return Some(Body::CallAnswer(result.into_wire(self.state().applied())));
        };
        match body {
            Body::CallRequest(call) => {
                let started = self.clock.now();
                let (room, deadline) = (call.answer_room, started + Ms::from(call.deadline_ms));
                let mut result = self.run_forwarded(call).await;
                result.held = self.clock.now() - started;
                let mut answer = result.into_wire(self.state().applied());
                self.keep_large_body(&mut answer, room, deadline);
                Some(Body::CallAnswer(answer))
            }
            Body::AnswerFetch(fetch) => Some(Body::AnswerBody(self.serve_answer_fetch(&fetch))),
            Body::GuardCopy(copy) => Some(Body::GuardCopyAnswer(self.store_guard_copy(copy))),
            Body::GuardFetch(fetch) => Some(Body::GuardFetchAnswer(self.serve_guard_fetch(&fetch))),
            Body::OpenSession(req) => self
                .pass_to_control(|tx| ControlInput::OpenSession(req, tx))
                .await
                .map(Body::OpenSessionAnswer),
            Body::Renew(req) => self
                .pass_to_control(|tx| ControlInput::Renew(req, tx))
                .await
                .map(Body::RenewAnswer),
            Body::Propose(req) => self
                .pass_to_control(|tx| ControlInput::Propose(req, tx))
                .await
                .map(Body::ProposeAnswer),
            Body::Watch(req) => self
                .pass_to_control(|tx| ControlInput::Watch(req, tx))
                .await
                .map(Body::WatchAnswer),
            Body::StateRequest(req) => self
                .pass_to_control(|tx| ControlInput::State(req, tx))
                .await
                .map(Body::StateAnswer),
            Body::InForce(req) => self
                .pass_to_control(|tx| ControlInput::InForce(req, tx))
                .await
                .map(Body::InForceAnswer),
            Body::MembersRequest(req) => self
                .pass_to_control(|tx| ControlInput::Members(req, tx))
                .await
                .map(Body::MembersAnswer),
            Body::Control(bytes) => {
                if let (Some(control), Ok(envelope)) = (&self.control, Envelope::decode(bytes)) {
                    control.send(ControlInput::Message(envelope));
                }
                None
            }
            _ => None,
        }
    }

    /// Passes a request to the control loop of this process and waits for the answer. Returns `None` if there is no
    /// control loop or it has stopped.
    async fn pass_to_control<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> ControlInput) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        if !self.control.as_ref()?.send(input(tx)) {
            return None;
        }
        rx.await.ok()
    }
}
