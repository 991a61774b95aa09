use {
    crate::wire::{
        consensus::Envelope,
        peer::{
            InForceAnswer, InForceRequest, MembersAnswer, MembersRequest, OpenSessionAnswer,
            OpenSessionRequest, Propose, ProposeAnswer, Renew, RenewAnswer, StateAnswer, StateRequest, Watch,
            WatchAnswer,
        },
    },
    crossbeam_channel::{Sender, TrySendError},
    tokio::sync::oneshot,
};

/// An input of the control loop. A request carries the channel for its answer.
#[derive(Debug)]
pub enum ControlInput {
    /// Opens a session.
    OpenSession(OpenSessionRequest, oneshot::Sender<OpenSessionAnswer>),
    /// Renews a session.
    Renew(Renew, oneshot::Sender<RenewAnswer>),
    /// Proposes a change.
    Propose(Propose, oneshot::Sender<ProposeAnswer>),
    /// Waits for committed changes.
    Watch(Watch, oneshot::Sender<WatchAnswer>),
    /// Asks for a part of the state.
    State(StateRequest, oneshot::Sender<StateAnswer>),
    /// Asks which daemons have not applied a configuration.
    InForce(InForceRequest, oneshot::Sender<InForceAnswer>),
    /// Asks for the members of the cell, or changes one.
    Members(MembersRequest, oneshot::Sender<MembersAnswer>),
    /// A message from another control host.
    Message(Envelope),
    /// All writes up to this number are synced to disk.
    Written(u64),
    /// A write to disk failed with this error.
    DiskFailed(String),
    /// Ends the loop.
    Stop,
}

/// The sender of the queue to the control loop.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    queue: Sender<ControlInput>,
}

impl ControlHandle {
    /// Returns a handle that sends to `queue`.
    pub fn new(queue: Sender<ControlInput>) -> Self {
        Self { queue }
    }

    /// Sends an input to the loop. Returns false, and drops the input, if the queue is full or the loop has ended.
    pub fn send(&self, input: ControlInput) -> bool {
        match self.queue.try_send(input) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}
