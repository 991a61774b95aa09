use {
    crate::clock::{Clock, Ms},
    std::{cell::Cell, rc::Rc},
};

/// Records when bytes were last received on a link. Clones share the same record.
#[derive(Clone, Debug)]
pub(super) struct ReadMeter {
    received_at: Rc<Cell<Ms>>,
}

impl ReadMeter {
    /// Records that bytes were received now.
    pub fn record_read(&self) {
        self.received_at.set(Clock::System.now());
    }

    /// Returns when bytes were last received, or when the link was opened.
    pub fn received_at(&self) -> Ms {
        self.received_at.get()
    }
}

impl Default for ReadMeter {
    fn default() -> Self {
        Self {
            received_at: Rc::new(Cell::new(Clock::System.now())),
        }
    }
}
