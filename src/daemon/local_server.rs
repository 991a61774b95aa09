use {
    super::{dispatch::LostCall, slot_gate::SlotGate},
    crate::{
        call::WarmupState,
        clock::Ms,
        control::Server,
        edge::{Order, OrderError, ServerClient, ServerNotice, ServerOrders},
        event::RateLimit,
        grant::{GrantTable, GrantTarget, HoldTable},
        key::{Key, KeyRange},
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::sync::Mutex,
};

/// A call that was sent to the server and has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RunningCall {
    pub id: String,
    pub key: Key,
}

/// How grants are delivered to a server.
#[derive(Clone, Debug)]
pub(super) enum GrantDelivery {
    /// The daemon sends orders over a separate connection.
    Ordered(Rc<ServerOrders>),
    /// The server fetches them with its heartbeats.
    Fetched(Rc<RefCell<HoldTable>>),
}

impl GrantDelivery {
    /// Returns the latest end of the leases that were given to the server.
    pub fn leases_end_at(&self) -> Ms {
        match self {
            Self::Ordered(orders) => orders.leases_end_at(),
            Self::Fetched(holds) => holds.borrow().ends_at(),
        }
    }

    /// Takes into account a lease until `ends_at` that was not given through this delivery.
    pub fn record_lease_end(&self, ends_at: Ms) {
        match self {
            Self::Ordered(orders) => orders.record_lease_end(ends_at),
            Self::Fetched(holds) => holds.borrow_mut().record_hold_end(ends_at),
        }
    }

    /// Stops giving leases.
    pub fn close(&self) {
        match self {
            Self::Ordered(orders) => orders.close(),
            // The daemon no longer answers the heartbeats of a server that it has removed.
            Self::Fetched(_) => {}
        }
    }

    /// Gives an order. A server that fetches its grants takes no orders: the answer to its next heartbeat has the
    /// changes, and a call is cancelled by closing its connection.
    ///
    /// # Errors
    /// The server is gone, refused the order, or did not answer in time.
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
    /// The previous process at the same address, until the grants taken over from it are revoked and its calls have
    /// ended.
    pub predecessor: RefCell<Option<Rc<LocalServer>>>,
    pub client: ServerClient,
    pub gate: Rc<SlotGate>,
    /// Calls that were lost since the last crash.
    pub lost_calls: RefCell<Vec<LostCall>>,
    /// Locked while a crash is being reported.
    pub crash_report: Mutex<()>,
    /// False while the crash of the previous process is being counted. No call is sent in that time.
    pub is_crash_counted: Cell<bool>,
    /// Shared with the predecessor, so that orders to it precede those to this process.
    pub orders: GrantDelivery,
    /// Number of the first list of servers that names this server, see [`GrantTarget::listed_in`].
    pub listed_in: Cell<Option<u64>>,
    pub last_announce: Cell<Ms>,
    /// Start of the process in ms since the Unix epoch, and number of its last heartbeat. Both are zero if unknown.
    pub last_heartbeat: Cell<(u64, u64)>,
    /// What the server said of itself in its last answer.
    pub notice: Cell<ServerNotice>,
    /// Limits the log lines about changes of `notice`.
    pub notice_log_limit: RefCell<RateLimit>,
    pub warmup: Cell<WarmupState>,
    /// Whether the server counted as cold when its limit was last decided.
    pub is_cold: Cell<bool>,
    /// Limit of calls a second that its gate applies.
    pub limit_per_s: Cell<Option<f64>>,
    /// Number of slots that the server reported last, if it did.
    pub reported_slots: Cell<Option<u32>>,
    /// Limits the log lines about changes of `reported_slots`.
    pub slots_log_limit: RefCell<RateLimit>,
    /// Limits the log lines about a reported load that makes no sense.
    pub bad_load_log_limit: RefCell<RateLimit>,
    pub is_leaving: Cell<bool>,
    /// Time from which no call is sent, because the server leaves.
    pub closes_at: Cell<Ms>,
    pub grants: RefCell<GrantTable>,
    /// True once the server has failed to confirm an order to revoke.
    pub has_failed_revoke: Cell<bool>,
    pub running: RefCell<Vec<RunningCall>>,
    /// True while an order to extend the grants is in progress.
    pub is_lease_order_pending: Cell<bool>,
}

impl LocalServer {
    /// Returns whether the server has confirmed to own `key` at `epoch` and is not releasing it.
    pub fn is_granted(&self, key: &Key, epoch: u64, now: Ms) -> bool {
        match &self.orders {
            GrantDelivery::Ordered(_) => self.grants.borrow().is_held(key, epoch),
            GrantDelivery::Fetched(holds) => holds.borrow().can_serve(key, epoch, now),
        }
    }

    /// Returns what decisions on the grants of this server need. `session` is the one of the daemon.
    pub fn grant_target(&self, session: Option<u64>) -> GrantTarget<'_> {
        GrantTarget {
            session,
            server: &self.announced,
            listed_in: self.listed_in.get(),
        }
    }

    /// Returns whether the next list of servers has to be sent for this server to be named. While there is a predecessor, that
    /// one is named in its place.
    pub fn awaits_listing(&self) -> bool {
        self.listed_in.get().is_none() && self.predecessor.borrow().is_none()
    }

    /// Returns whether the server fetches its grants with its heartbeats.
    pub fn fetches_grants(&self) -> bool {
        matches!(self.orders, GrantDelivery::Fetched(_))
    }

    /// Returns the number of spans that the server holds.
    pub fn held_spans(&self) -> usize {
        match &self.orders {
            GrantDelivery::Ordered(_) => self.grants.borrow().held_count(),
            GrantDelivery::Fetched(holds) => holds.borrow().held_count(),
        }
    }

    /// Returns the entry that the replicated state is to have for this server. While there is a predecessor, it is the
    /// predecessor's, marked as leaving.
    pub fn published(&self) -> Server {
        match self.predecessor.borrow().as_ref() {
            Some(predecessor) => Server {
                leaving: true,
                ..predecessor.published()
            },
            None => Server {
                leaving: self.is_leaving.get(),
                cold: self.is_cold.get(),
                ..self.announced.clone()
            },
        }
    }

    /// Drops the predecessor once the grants taken over from it are revoked and its calls have ended. Returns whether
    /// it was dropped now.
    pub fn drop_ended_predecessor(&self) -> bool {
        let has_finished = |old: &Rc<Self>| {
            old.drop_ended_predecessor();
            old.predecessor.borrow().is_none() && old.running.borrow().is_empty()
        };
        let has_ended = !self.grants.borrow().has_spans_to_drop()
            && self.predecessor.borrow().as_ref().is_some_and(has_finished);
        if has_ended {
            self.predecessor.take();
        }
        has_ended
    }

    /// Returns whether a call with a key of `span` was sent to the server and has not ended.
    pub fn has_call_in(&self, span: &KeyRange) -> bool {
        self.running.borrow().iter().any(|call| span.contains(&call.key))
    }
}

/// A server that this daemon has removed, but that is still in the replicated state.
#[derive(Clone)]
pub(super) struct LostServer {
    pub server: Rc<LocalServer>,
    /// Its entry in the replicated state.
    pub published: Server,
    /// True if nothing listens at its address, or another process does.
    pub is_gone: bool,
}

impl LostServer {
    /// Returns whether its process has certainly ended and none of its calls is in progress.
    pub fn has_ended(&self) -> bool {
        self.is_gone && self.server.running.borrow().is_empty() && self.server.predecessor.borrow().is_none()
    }

    /// Returns whether its ranges stay assigned to it at `now`, because it may still hold them.
    pub fn may_hold_ranges(&self, now: Ms) -> bool {
        !self.has_ended() && now < self.server.orders.leases_end_at()
    }

    /// Returns the incarnation of the process.
    pub fn incarnation(&self) -> &str {
        &self.server.announced.incarnation
    }
}
