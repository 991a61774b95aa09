use {
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        future::Future,
        rc::Rc,
    },
    tokio::{
        sync::Notify,
        task::{spawn_local, AbortHandle},
    },
};

/// The requests of one link that are being served.
#[derive(Default)]
pub(super) struct ServedRequests {
    /// Tasks of the calls, by correlation id.
    calls: RefCell<HashMap<u64, AbortHandle>>,
    /// Number of requests, calls included.
    running: Cell<usize>,
    ended: Notify,
}

impl ServedRequests {
    /// Serves a request in a task of its own. The task can be cancelled if the request is a call.
    pub fn spawn(
        self: &Rc<Self>,
        correlation: u64,
        is_call: bool,
        serve: impl Future<Output = ()> + 'static,
    ) {
        let running = RunningRequest::new(self.clone());
        let requests = self.clone();
        let task = spawn_local(async move {
            let _running = running;
            serve.await;
            requests.calls.borrow_mut().remove(&correlation);
        });
        if is_call {
            self.calls.borrow_mut().insert(correlation, task.abort_handle());
        }
    }

    /// Cancels a call that is still being served.
    pub fn cancel(&self, correlation: u64) {
        if let Some(call) = self.calls.borrow_mut().remove(&correlation) {
            call.abort();
        }
    }

    /// Cancels all calls.
    pub fn cancel_all(&self) {
        self.calls.borrow_mut().drain().for_each(|(_, call)| call.abort());
    }

    /// Waits until no request is being served.
    pub async fn wait_until_none(&self) {
        while self.running.get() > 0 {
            self.ended.notified().await;
        }
    }
}

/// Counts a request as running until it is dropped.
struct RunningRequest(Rc<ServedRequests>);

impl RunningRequest {
    fn new(requests: Rc<ServedRequests>) -> Self {
        requests.running.set(requests.running.get() + 1);
        Self(requests)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.ended.notify_one();
    }
}
