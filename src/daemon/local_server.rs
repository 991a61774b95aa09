use {
    super::{dispatch::LostCall, slot_gate::SlotGate},
    crate::{
        clock::Ms,
        control::Server,
        edge::{ServerClient, ServerOrders},
        grant::GrantBook,
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

/// A backend server behind this daemon.
#[derive(Debug)]
pub(super) struct LocalServer {
    pub announced: Server,
    pub client: ServerClient,
    pub gate: Rc<SlotGate>,
    /// Calls that were lost since the last crash.
    pub lost: RefCell<Vec<LostCall>>,
    pub orders: ServerOrders,
    pub last_announce: Cell<Ms>,
    pub leaving: Cell<bool>,
    pub grants: RefCell<GrantBook>,
    /// True once an order to revoke was not confirmed.
    pub revoke_failed: Cell<bool>,
    pub running: RefCell<Vec<RunningCall>>,
    /// True while an order to extend the grants waits.
    pub lease_order_waits: Cell<bool>,
}

impl LocalServer {
    /// Tells if the server confirmed to own `key` at `epoch`, and is not giving it up.
    pub fn is_granted(&self, key: &Key, epoch: u64) -> bool {
        self.grants.borrow().is_held(key, epoch)
    }

    /// Tells if a call with a key of `span` is on its way or runs.
    pub fn is_busy_in(&self, span: &KeyRange) -> bool {
        self.running.borrow().iter().any(|call| span.contains(&call.key))
    }
}

/// A server that is gone from this daemon, but not yet from the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LostServer {
    pub announced: Server,
    /// True: its process has certainly ended.
    pub ended: bool,
    /// End of the last lease that it was given, by the clock of the host. Its ranges stay with it until then.
    pub leases_end_at: Ms,
}
