use {
    super::{dispatch::LostCall, slot_gate::SlotGate},
    crate::{
        clock::Ms,
        control::Server,
        edge::{ServerClient, ServerOrders},
        key::{Key, KeyRange},
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// A span that the server confirmed to own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Grant {
    pub span: KeyRange,
    pub epoch: u64,
}

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
    pub grants: RefCell<Vec<Grant>>,
    pub running: RefCell<Vec<RunningCall>>,
    /// Ranges that are being given up.
    pub releases: RefCell<Vec<Grant>>,
    /// True while an order to extend the grants waits.
    pub lease_order_waits: Cell<bool>,
}

impl LocalServer {
    /// Tells if the server confirmed to own `key` at `epoch`.
    pub fn is_granted(&self, key: &Key, epoch: u64) -> bool {
        self.grants
            .borrow()
            .iter()
            .any(|g| g.epoch == epoch && g.span.contains(key))
    }

    /// Tells if the server confirmed to own all of `span` at `epoch`.
    pub fn holds(&self, span: &KeyRange, epoch: u64) -> bool {
        let covers = |g: &Grant| {
            let end_covered = match (&g.span.end, &span.end) {
                (None, _) => true,
                (Some(end), Some(span_end)) => span_end <= end,
                (Some(_), None) => false,
            };
            g.epoch == epoch && g.span.start <= span.start && end_covered
        };
        self.grants.borrow().iter().any(covers)
    }

    /// Tells if a call with a key of `span` is on its way or runs.
    pub fn is_busy_in(&self, span: &KeyRange) -> bool {
        self.running.borrow().iter().any(|call| span.contains(&call.key))
    }

    /// Notes that a range is being given up. False: it already is.
    pub fn start_release(&self, span: &KeyRange, epoch: u64) -> bool {
        let release = Grant {
            span: span.clone(),
            epoch,
        };
        let mut releases = self.releases.borrow_mut();
        if releases.contains(&release) {
            return false;
        }
        releases.push(release);
        true
    }

    /// Notes that a range was given up, or that another try is needed.
    pub fn end_release(&self, span: &KeyRange, epoch: u64) {
        self.releases
            .borrow_mut()
            .retain(|r| r.span != *span || r.epoch != epoch);
    }
}
