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

/// A request to the control duty, with the way back.
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
    /// Asks which daemons lack a configuration.
    InForce(InForceRequest, oneshot::Sender<InForceAnswer>),
    /// Asks for the members of the cell, or changes one.
    Members(MembersRequest, oneshot::Sender<MembersAnswer>),
    /// A message of another control host.
    Message(Envelope),
    /// All writes up to this number are synced.
    Written(u64),
    /// The disk failed.
    DiskFailed(String),
    /// Ends the duty.
    Stop,
}

/// The near end of the ring to the control duty.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    ring: Sender<ControlInput>,
}

impl ControlHandle {
    /// Returns a handle that feeds `ring`.
    pub fn new(ring: Sender<ControlInput>) -> Self {
        Self { ring }
    }

    /// Passes a request on. False: the ring is full or the duty has ended; the request is dropped.
    pub fn send(&self, input: ControlInput) -> bool {
        match self.ring.try_send(input) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}
