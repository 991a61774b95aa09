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
    /// The process before this one at its address, until nothing of it is granted to this one.
    pub predecessor: RefCell<Option<Rc<LocalServer>>>,
    pub client: ServerClient,
    pub gate: Rc<SlotGate>,
    /// Calls that were lost since the last crash.
    pub lost: RefCell<Vec<LostCall>>,
    /// Shared with the predecessor, so that its orders come before those to this process.
    pub orders: Rc<ServerOrders>,
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
        let over =
            !self.grants.borrow().has_dropped() && self.predecessor.borrow().as_ref().is_some_and(is_over);
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
#[derive(Clone, Debug)]
pub(super) struct LostServer {
    pub announced: Server,
    /// What the replicated state has of it.
    pub published: Server,
    /// True: its process has certainly ended.
    pub ended: bool,
    /// They know the end of the last lease that it was given. Its ranges stay with it until then.
    pub orders: Rc<ServerOrders>,
}
