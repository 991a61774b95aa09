use {
    super::{Applied, State},
    crate::wire::{
        control::{change, Change},
        peer::{OpenSessionAnswer, ProposeAnswer},
    },
    std::collections::VecDeque,
    tokio::sync::oneshot,
};

/// The request that waits until a change is committed.
pub(super) enum Waiter {
    OpenSession(oneshot::Sender<OpenSessionAnswer>),
    Propose(oneshot::Sender<ProposeAnswer>),
    /// The leader itself made the change, and no request waits for it.
    None,
}

impl Waiter {
    /// Answers that the change was not proposed. `leader` is the address of the leader, or empty if it is unknown.
    pub fn decline(self, leader: &str) {
        match self {
            Self::OpenSession(tx) => drop(tx.send(OpenSessionAnswer {
                leader: leader.to_owned(),
                declined: true,
                ..OpenSessionAnswer::default()
            })),
            Self::Propose(tx) => drop(tx.send(ProposeAnswer {
                leader: leader.to_owned(),
                declined: true,
                ..ProposeAnswer::default()
            })),
            Self::None => {}
        }
    }

    /// Answers that it is unknown whether the change was committed.
    fn answer_unknown(self) {
        match self {
            Self::OpenSession(tx) => drop(tx.send(OpenSessionAnswer::default())),
            Self::Propose(tx) => drop(tx.send(ProposeAnswer::default())),
            Self::None => {}
        }
    }

    /// Answers with the effect of the committed change.
    fn answer(self, index: u64, change: &Change, applied: &Applied, state: &State) {
        match self {
            Self::OpenSession(tx) => {
                let answer = match applied {
                    Applied::SessionOpened(session) => OpenSessionAnswer {
                        session: *session,
                        index,
                        ..OpenSessionAnswer::default()
                    },
                    _ => OpenSessionAnswer {
                        holder: holder(state, change),
                        ..OpenSessionAnswer::default()
                    },
                };
                drop(tx.send(answer));
            }
            Self::Propose(tx) => {
                let command = match applied {
                    Applied::Command(command) => Some(command.clone()),
                    _ => None,
                };
                drop(tx.send(ProposeAnswer {
                    index,
                    command,
                    ..ProposeAnswer::default()
                }));
            }
            Self::None => {}
        }
    }
}

/// Changes that this leader proposed and that are not yet committed, sorted by index.
#[derive(Default)]
pub(super) struct Proposals {
    /// Index, term and waiter of each change.
    waiting: VecDeque<(u64, u64, Waiter)>,
}

impl Proposals {
    /// Adds the waiter for the entry at `index` of `term`.
    pub fn add(&mut self, index: u64, term: u64, waiter: Waiter) {
        self.waiting.push_back((index, term, waiter));
    }

    /// Answers the waiters up to `index`, at which an entry of `term` was committed. The outcome is unknown for
    /// waiters of earlier entries and for one whose entry was replaced by an entry of another term.
    pub fn answer_committed(
        &mut self,
        index: u64,
        term: u64,
        change: &Change,
        applied: &Applied,
        state: &State,
    ) {
        while self
            .waiting
            .front()
            .is_some_and(|(proposed_index, ..)| *proposed_index <= index)
        {
            let Some((proposed_index, proposed_term, waiter)) = self.waiting.pop_front() else {
                return;
            };
            if (proposed_index, proposed_term) == (index, term) {
                waiter.answer(index, change, applied, state);
            } else {
                waiter.answer_unknown();
            }
        }
    }

    /// Answers all waiters that the outcome is unknown.
    pub fn abandon_all(&mut self) {
        for (_, _, waiter) in self.waiting.drain(..) {
            waiter.answer_unknown();
        }
    }
}

/// Returns the peer address of the process that holds the session that `change` tried to open, or an empty string
/// if no process holds it.
fn holder(state: &State, change: &Change) -> String {
    let Some(change::Body::OpenSession(open)) = &change.body else {
        return String::new();
    };
    let session = state.session_of_host(&open.host);
    session.map(|s| s.open.peer_address.clone()).unwrap_or_default()
}
