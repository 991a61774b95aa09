use {
    super::daemon_cx::DaemonCx,
    crate::{
        call::{CallResult, Reason},
        clock::Ms,
        memory::{ReservationKind, SMALL_BYTES},
        wire::peer::{frame::Body, AnswerBody, AnswerFetch, CallAnswer},
    },
    bytes::Bytes,
    rand::RngCore,
    std::{
        cell::{Cell, RefCell},
        mem::take,
        rc::Rc,
    },
    tokio::{task::spawn_local, time::sleep},
};

/// Size of an answer body that an entry daemon always takes at once.
const INLINE_BYTES_MIN: usize = SMALL_BYTES;
/// Size of an answer body that an entry daemon takes at once while it has room, so that the answers of ordinary calls
/// need no second message. Answers of routes with `large_answers` have 90 to 540 KB.
const INLINE_BYTES_MAX: usize = 1024 * 1024;
/// Part of the budget that may be promised to answers that have not arrived. If the rest is used up meanwhile, the
/// budget is exceeded by this.
const PROMISED_FRACTION: usize = 8;

/// Answer bodies that this daemon keeps for entry daemons without room, and the room that it promises as an entry daemon.
///
/// Load: many callers that leave large answers unread, at another daemon than the server's. The daemon beside the server
/// does not know the room of the entry daemon, whose link also carries the answers to other callers. A large body is
/// therefore sent only once the entry daemon has reserved the memory for it, and counts at the server's daemon until then.
#[derive(Debug, Default)]
pub(super) struct KeptAnswers {
    /// Sorted by id.
    bodies: RefCell<Vec<(u64, Bytes)>>,
    /// Room of this daemon for the answers to calls that it has forwarded, beyond [`INLINE_BYTES_MIN`] each.
    promised_bytes: Cell<usize>,
}

impl KeptAnswers {
    /// Returns whether any body is kept.
    pub fn has_bodies(&self) -> bool {
        !self.bodies.borrow().is_empty()
    }

    fn insert(&self, id: u64, body: Bytes) {
        let mut bodies = self.bodies.borrow_mut();
        let i = bodies.partition_point(|(other, _)| *other < id);
        bodies.insert(i, (id, body));
    }

    fn remove(&self, id: u64) -> Option<Bytes> {
        let mut bodies = self.bodies.borrow_mut();
        let i = bodies.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(bodies.remove(i).1)
    }
}

/// Room for the answer body of one forwarded call.
#[derive(Debug)]
pub(super) struct AnswerRoom<'a> {
    promised_bytes: &'a Cell<usize>,
    bytes: usize,
}

impl AnswerRoom<'_> {
    /// Returns the size of the largest body that is taken at once.
    pub fn bytes(&self) -> usize {
        self.bytes.max(INLINE_BYTES_MIN)
    }
}

impl Drop for AnswerRoom<'_> {
    fn drop(&mut self) {
        self.promised_bytes.set(self.promised_bytes.get() - self.bytes);
    }
}

/// A body that is kept at the daemon of the server. Unless it was fetched, that daemon frees it when this is dropped.
struct KeptBody {
    cx: Rc<DaemonCx>,
    peer_address: String,
    id: u64,
    is_fetched: bool,
}

impl Drop for KeptBody {
    fn drop(&mut self) {
        if self.is_fetched {
            return;
        }
        let (cx, peer_address) = (self.cx.clone(), take(&mut self.peer_address));
        let fetch = AnswerFetch {
            id: self.id,
            is_discarded: true,
        };
        spawn_local(async move { drop(cx.links.request(&peer_address, Body::AnswerFetch(fetch)).await) });
    }
}

impl DaemonCx {
    /// Returns the room for the answer to a call that is about to be forwarded, or `None` if it is not limited.
    pub(super) fn answer_room(&self) -> Option<AnswerRoom<'_>> {
        let limit = self.budget.limit()?;
        let promised_bytes = &self.kept_answers.promised_bytes;
        let promised = promised_bytes.get() + INLINE_BYTES_MAX;
        let has_room = promised <= limit / PROMISED_FRACTION && self.budget.held() + promised <= limit / 2;
        let bytes = if has_room { INLINE_BYTES_MAX } else { 0 };
        promised_bytes.set(promised_bytes.get() + bytes);
        Some(AnswerRoom {
            promised_bytes,
            bytes,
        })
    }

    /// Keeps the body of an answer if the entry daemon does not take it at once, at most until `deadline`.
    pub(super) fn keep_large_body(self: &Rc<Self>, answer: &mut CallAnswer, room: Option<u64>, deadline: Ms) {
        let bytes = answer.body.len() as u64;
        if room.is_none_or(|room| bytes <= room) {
            return;
        }
        // A random id belongs to no body of an earlier process at this address.
        let id = self.rng.borrow_mut().next_u64().max(1);
        self.kept_answers.insert(id, take(&mut answer.body));
        answer.kept_id = id;
        answer.kept_bytes = bytes;
        let cx = self.clone();
        spawn_local(async move {
            sleep((deadline - cx.clock.now()).as_duration()).await;
            cx.kept_answers.remove(id);
        });
    }

    /// Hands out a body that was kept.
    pub(super) fn serve_answer_fetch(&self, fetch: &AnswerFetch) -> AnswerBody {
        let body = self.kept_answers.remove(fetch.id);
        AnswerBody {
            body: body.filter(|_| !fetch.is_discarded),
        }
    }

    /// Returns the result of a call that was forwarded to `peer_address`. Fetches its body once the budget has room for it.
    pub(super) async fn receive_answer(
        self: &Rc<Self>,
        peer_address: &str,
        answer: CallAnswer,
    ) -> CallResult {
        let (id, bytes) = (answer.kept_id, answer.kept_bytes);
        let mut result = CallResult::from_wire(answer);
        if id == 0 {
            result.body = self.budget.keep(result.body);
            return result;
        }
        let mut kept = KeptBody {
            cx: self.clone(),
            peer_address: peer_address.to_owned(),
            id,
            is_fetched: false,
        };
        let reservation = self.budget.reservation(ReservationKind::Response, None);
        let reserved = reservation
            .reserve(usize::try_from(bytes).unwrap_or(usize::MAX))
            .await;
        if reserved.is_err() {
            return CallResult::failed(Reason::AnswerUnread);
        }
        let fetch = AnswerFetch {
            id,
            is_discarded: false,
        };
        let fetched = self.links.request(peer_address, Body::AnswerFetch(fetch)).await;
        kept.is_fetched = matches!(fetched, Ok(Body::AnswerBody(_)));
        match fetched {
            Ok(Body::AnswerBody(AnswerBody { body: Some(body) })) if body.len() as u64 == bytes => {
                result.body = reservation.keep(body);
                result
            }
            Ok(_) => CallResult::failed(Reason::ServerLate),
            Err(_) => CallResult::failed(Reason::PeerLost),
        }
    }
}
