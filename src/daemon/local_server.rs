use {
    super::{dispatch::LostCall, slot_gate::SlotGate},
    crate::{
        clock::Ms,
        control::Server,
        edge::{Order, OrderError, ServerClient, ServerOrders},
        grant::{GrantTable, HoldTable},
        key::{Key, KeyRange},
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// A call that is on its way to the server or runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RunningCall {
    pub id: String,
    pub key: Key,
}

/// How a server gets its grants.
#[derive(Clone, Debug)]
pub(super) enum GrantPath {
    /// By orders, over a connection kept aside.
    Ordered(Rc<ServerOrders>),
    /// The server fetches them with its heartbeats.
    Fetched(Rc<RefCell<HoldTable>>),
}

impl GrantPath {
    /// Returns the end of the longest lease that was given to the server.
    pub fn leases_end_at(&self) -> Ms {
        match self {
            Self::Ordered(orders) => orders.leases_end_at(),
            Self::Fetched(book) => book.borrow().ends_at(),
        }
    }

    /// Counts a lease that was given by other means.
    pub fn count_lease(&self, ends_at: Ms) {
        match self {
            Self::Ordered(orders) => orders.count_lease(ends_at),
            Self::Fetched(book) => book.borrow_mut().record_hold_end(ends_at),
        }
    }

    /// Gives no further leases.
    pub fn close(&self) {
        match self {
            Self::Ordered(orders) => orders.close(),
            // A server that is forgotten gets no more answers with grants.
            Self::Fetched(_) => {}
        }
    }

    /// Gives an order. A server that fetches its grants takes none: it learns from its next heartbeat, and a
    /// call is cancelled with its connection.
    ///
    /// # Errors
    /// The server is gone, refused, or did not answer in time.
    pub async fn give(&self, order: Order) -> Result<(), OrderError> {
        match self {
            Self::Ordered(orders) => orders.give(order).await,
            Self::Fetched(_) => Ok(()),
        }
    }
}

/// A backend server behind this daemon.
pub(super) struct LocalServer {
    pub announced: Server,
    /// The process before this one at its address, until nothing of it is granted to this one.
    pub predecessor: RefCell<Option<Rc<LocalServer>>>,
    pub client: ServerClient,
    pub gate: Rc<SlotGate>,
    /// Calls that were lost since the last crash.
    pub lost: RefCell<Vec<LostCall>>,
    /// False while the crash of the process before this one is being counted; no call is sent until then.
    pub crash_counted: Cell<bool>,
    /// Shared with the predecessor, so that its orders come before those to this process.
    pub orders: GrantPath,
    pub last_announce: Cell<Ms>,
    /// Start of the process in ms since the Unix epoch, and number of its last heartbeat. Zeros: not told.
    pub beat: Cell<(u64, u64)>,
    pub leaving: Cell<bool>,
    /// No call is sent from then on, since the server leaves.
    pub closes_at: Cell<Ms>,
    pub grants: RefCell<GrantTable>,
    /// True once an order to revoke was not confirmed.
    pub revoke_failed: Cell<bool>,
    pub running: RefCell<Vec<RunningCall>>,
    /// True while an order to extend the grants waits.
    pub lease_order_waits: Cell<bool>,
}

impl LocalServer {
    /// Tells if the server confirmed to own `key` at `epoch`, and is not giving it up.
    pub fn is_granted(&self, key: &Key, epoch: u64, now: Ms) -> bool {
        match &self.orders {
            GrantPath::Ordered(_) => self.grants.borrow().is_held(key, epoch),
            GrantPath::Fetched(book) => book.borrow().can_serve(key, epoch, now),
        }
    }

    /// Tells if the server fetches its grants with its heartbeats.
    pub fn fetches(&self) -> bool {
        matches!(self.orders, GrantPath::Fetched(_))
    }

    /// Returns the number of spans that the server holds.
    pub fn held(&self) -> usize {
        match &self.orders {
            GrantPath::Ordered(_) => self.grants.borrow().held_count(),
            GrantPath::Fetched(book) => book.borrow().held_count(),
        }
    }

    /// Returns what the replicated state is to have of this server.
    pub fn published(&self) -> Server {
        match self.predecessor.borrow().as_ref() {
            Some(predecessor) => Server {
                leaving: true,
                ..predecessor.published()
            },
            None => Server {
                leaving: self.leaving.get(),
                ..self.announced.clone()
            },
        }
    }

    /// Ends the time in which the state is to have the predecessor: nothing of it is granted here, and none of
    /// its calls is on its way. True: it has just ended.
    pub fn end_succession(&self) -> bool {
        let is_over = |old: &Rc<Self>| {
            old.end_succession();
            old.predecessor.borrow().is_none() && old.running.borrow().is_empty()
        };
        let over = !self.grants.borrow().has_spans_to_drop()
            && self.predecessor.borrow().as_ref().is_some_and(is_over);
        if over {
            self.predecessor.take();
        }
        over
    }

    /// Tells if a call with a key of `span` is on its way or runs.
    pub fn is_busy_in(&self, span: &KeyRange) -> bool {
        self.running.borrow().iter().any(|call| span.contains(&call.key))
    }
}

/// A server that is gone from this daemon, but not yet from the replicated state.
#[derive(Clone)]
pub(super) struct LostServer {
    pub server: Rc<LocalServer>,
    /// What the replicated state has of it.
    pub published: Server,
    /// True: nothing listens at its address, or another process does.
    pub is_gone: bool,
}

impl LostServer {
    /// Tells if its process has certainly ended and none of its calls is under way.
    pub fn has_ended(&self) -> bool {
        self.is_gone && self.server.running.borrow().is_empty() && self.server.predecessor.borrow().is_none()
    }

    /// Tells if its ranges stay with it at `now`, since it may hold them still.
    pub fn is_held(&self, now: Ms) -> bool {
        !self.has_ended() && now < self.server.orders.leases_end_at()
    }

    /// Returns the incarnation of the process.
    pub fn incarnation(&self) -> &str {
        &self.server.announced.incarnation
    }
}
