use crate::wire::peer::GoAway;

/// Decides which requests of a link are taken, and records up to which one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestIntake {
    last_taken: u64,
    is_closed: bool,
}

impl RequestIntake {
    /// Returns whether the request with this correlation id is taken. Messages without an answer have the id zero.
    pub fn take(&mut self, correlation: u64) -> bool {
        if !self.is_closed {
            self.last_taken = self.last_taken.max(correlation);
        }
        !self.is_closed
    }

    /// Takes no more requests. Returns the message that tells the peer.
    pub fn close(&mut self) -> GoAway {
        self.is_closed = true;
        GoAway {
            last_taken: self.last_taken,
        }
    }

    /// Returns whether no more requests are taken.
    pub const fn is_closed(&self) -> bool {
        self.is_closed
    }
}
