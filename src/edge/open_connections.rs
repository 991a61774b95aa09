use {
    crate::clock::Ms,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// Time for which a body may be received before its connection can be closed in favour of another one. Ordinary bodies
/// arrive within this time.
const BODY_TIME_MIN: Ms = Ms(2000);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Wait {
    /// The connection does not wait for its caller.
    #[default]
    Nothing,
    /// The rest of a head, or the first byte of one, since this time.
    Head(Ms),
    /// The rest of a body, since this time.
    Body(Ms),
}

/// The wait of a connection for a complete request. While it waits, it may be closed: no request is lost that has run.
#[derive(Debug, Default)]
pub(super) struct RequestWait {
    wait: Cell<Wait>,
    has_served: Cell<bool>,
    closed: Notify,
}

impl RequestWait {
    /// Records that nothing can be read of a head. Bytes of it that arrive later do not count: a caller could send one
    /// from time to time.
    pub fn record_head_wait(&self, now: impl FnOnce() -> Ms) {
        if !matches!(self.wait.get(), Wait::Head(_)) {
            self.wait.set(Wait::Head(now()));
        }
    }

    /// Records that nothing can be read of a body.
    pub fn record_body_wait(&self, now: impl FnOnce() -> Ms) {
        if !matches!(self.wait.get(), Wait::Body(_)) {
            self.wait.set(Wait::Body(now()));
        }
    }

    /// Records that a head is complete.
    pub fn record_head(&self) {
        self.wait.set(Wait::Nothing);
    }

    /// Records that a request is complete, or answered before it is.
    pub fn record_request(&self) {
        self.wait.set(Wait::Nothing);
        self.has_served.set(true);
    }

    /// Records that the connection ends. It keeps its place until what is still to be delivered has been.
    pub fn record_end(&self) {
        self.wait.set(Wait::Nothing);
    }

    /// Waits until the connection has to make room for another one.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Returns the order in which waiting connections are closed: first those that never had a request, then idle ones, then
    /// those with a body that takes long; among these, those that have waited longest.
    fn rank(&self, now: Ms) -> Option<(u8, Ms)> {
        match self.wait.get() {
            Wait::Head(since) if !self.has_served.get() => Some((0, since)),
            Wait::Head(since) => Some((1, since)),
            Wait::Body(since) if now - since >= BODY_TIME_MIN => Some((2, since)),
            Wait::Body(_) | Wait::Nothing => None,
        }
    }
}

/// The open connections of a listener, without those that have been told to close.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    /// Sorted by id.
    waits: RefCell<Vec<(u64, Rc<RequestWait>)>>,
    next_id: Cell<u64>,
}

impl OpenConnections {
    pub fn count(&self) -> usize {
        self.waits.borrow().len()
    }

    /// Adds a connection. Returns its id.
    pub fn add(&self, wait: Rc<RequestWait>) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.waits.borrow_mut().push((id, wait));
        id
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, id: u64) {
        let mut waits = self.waits.borrow_mut();
        if let Ok(i) = waits.binary_search_by_key(&id, |(id, _)| *id) {
            waits.remove(i);
        }
    }

    /// Closes the first connection in the order of [`RequestWait::rank`]. Returns whether there is one.
    pub fn make_room(&self, now: Ms) -> bool {
        let mut waits = self.waits.borrow_mut();
        let ranked = waits.iter().enumerate();
        let first = ranked
            .filter_map(|(i, (_, wait))| Some((wait.rank(now)?, i)))
            .min();
        let Some((_, i)) = first else { return false };
        let (_, wait) = waits.remove(i);
        wait.closed.notify_one();
        true
    }
}
