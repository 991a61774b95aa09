use {
    super::{
        daemon_cx::DaemonCx,
        guard_holder::{hole_end, PART_ENTRIES},
    },
    crate::{
        call::{Guard, GuardChange, GuardEntry, GuardLimits, Role, Tenure},
        clock::Ms,
        control::{GuardSpan, State},
        event::Event,
        key::{Key, KeyRange},
        log_event,
        wire::{
            control::{change, GuardReady},
            peer::{frame::Body, GuardCopy, GuardFetch},
        },
    },
    rand::Rng,
    std::{rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Longest time until the guards are compared with the state again.
const CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for one part of a guard to be handed over.
const PART_TIMEOUT: Duration = Duration::from_millis(500);
/// Tries to reach a daemon that has a guard, while its session lives.
const FETCH_TRIES: u32 = 5;
/// Pause between two tries.
const FETCH_PAUSE: Duration = Duration::from_millis(50);

/// A span whose guard this daemon has to hold.
#[derive(Clone, Debug, PartialEq)]
struct Wanted {
    service: String,
    span: KeyRange,
    epoch: u64,
}

impl DaemonCx {
    /// Keeps the guards of the spans that this daemon owns, and their copies, in place.
    pub(super) async fn maintain_guards(self: Rc<Self>) {
        let mut part = 0;
        loop {
            self.drop_old_tenures();
            for wanted in self.wanted_guards() {
                if !self
                    .establishing
                    .borrow()
                    .contains(&(wanted.epoch, wanted.span.start.clone()))
                {
                    self.establish_later(wanted);
                }
            }
            let now = self.clock.now();
            for tenure in self.tenures.borrow_mut().iter_mut() {
                tenure.guard.expire(part, now);
            }
            part += 1;
            let changed = async {
                tokio::select! {
                    () = self.state_changed.notified() => {}
                    () = self.guard_copy_failed.notified() => {}
                }
            };
            let _ = timeout(CHECK_PAUSE, changed).await;
        }
    }

    /// Returns the spans whose guard is not here, or whose copy is not in place.
    fn wanted_guards(&self) -> Vec<Wanted> {
        let state = self.state();
        let Some(session) = self.session.get() else {
            return Vec::new();
        };
        let mut wanted = Vec::new();
        for table in state.services() {
            let service = state.schema().service(&table.service);
            if service.is_none_or(|s| s.calls.iter().all(|kind| kind.idempotent)) {
                continue;
            }
            for (position, range) in table.ranges().iter().enumerate() {
                let Some(owner) = range.owner.as_ref().filter(|o| o.session == session) else {
                    continue;
                };
                let mut tenures = self.tenures.borrow_mut();
                let tenure = tenures.get(&table.service, &range.start, owner.epoch);
                let in_place = match tenure.map(|t| &t.role) {
                    Some(Role::Owner { holder, ready }) => *ready && self.is_good_holder(&state, holder),
                    Some(Role::Copy { .. }) | None => false,
                };
                if !in_place && range.release.is_none() {
                    wanted.push(Wanted {
                        service: table.service.clone(),
                        span: table.span(position),
                        epoch: owner.epoch,
                    });
                }
            }
        }
        wanted
    }

    /// A copy belongs on a live daemon of another failure domain, if there is one.
    fn is_good_holder(&self, state: &State, holder: &str) -> bool {
        let candidates = self.holder_candidates(state);
        if holder.is_empty() {
            return candidates.is_empty();
        }
        candidates.iter().any(|address| address == holder)
    }

    /// Returns the peer addresses of the daemons that may keep copies of this daemon's guards.
    fn holder_candidates(&self, state: &State) -> Vec<String> {
        let others = || {
            state
                .sessions()
                .iter()
                .filter(|s| s.open.host != self.settings.host)
        };
        let elsewhere: Vec<String> = others()
            .filter(|s| s.open.failure_domain != self.settings.failure_domain)
            .map(|s| s.open.peer_address.clone())
            .collect();
        if elsewhere.is_empty() {
            others().map(|s| s.open.peer_address.clone()).collect()
        } else {
            elsewhere
        }
    }

    fn establish_later(self: &Rc<Self>, wanted: Wanted) {
        let mark = (wanted.epoch, wanted.span.start.clone());
        self.establishing.borrow_mut().push(mark.clone());
        let cx = self.clone();
        spawn_local(async move {
            cx.establish(wanted).await;
            cx.establishing.borrow_mut().retain(|other| *other != mark);
        });
    }

    /// Brings the guard of a span here, puts its copy in place, and says so in the replicated state. Only
    /// then calls are let through.
    async fn establish(self: &Rc<Self>, wanted: Wanted) {
        let known = {
            let mut tenures = self.tenures.borrow_mut();
            let tenure = tenures.get(&wanted.service, &wanted.span.start, wanted.epoch);
            tenure.is_some_and(|t| matches!(t.role, Role::Owner { .. }))
        };
        if !known {
            let guard = self.collect(&wanted).await;
            self.tenures.borrow_mut().put(Tenure {
                service: wanted.service.clone(),
                span: wanted.span.clone(),
                epoch: wanted.epoch,
                role: Role::Owner {
                    holder: String::new(),
                    ready: false,
                },
                sealed: Vec::new(),
                guard,
            });
        }
        let Some(holder) = self.place_copy(&wanted).await else {
            sleep(FETCH_PAUSE).await;
            return;
        };
        let ready = GuardReady {
            service: wanted.service.clone(),
            start: wanted.span.start.to_bytes(),
            end: wanted.span.end.as_ref().map(Key::to_bytes),
            epoch: wanted.epoch,
            owner_address: self.settings.peer_address.to_string(),
            holder_address: holder.clone(),
        };
        let Some(answer) = self.propose(change::Body::GuardReady(ready)).await else {
            sleep(FETCH_PAUSE).await;
            return;
        };
        self.await_applied(answer.index).await;
        self.mark_ready(&wanted, &holder);
    }

    /// Lets calls through once the replicated state names this guard and its copy.
    fn mark_ready(&self, wanted: &Wanted, placed: &str) {
        let state = self.state();
        let Some(guards) = state.guard_table(&wanted.service) else {
            return;
        };
        let own = self.settings.peer_address.to_string();
        let named = guards.parts(&wanted.span).iter().all(|(_, at)| {
            at.epoch == wanted.epoch && at.owner_address == own && at.holder_address == placed
        });
        let mut tenures = self.tenures.borrow_mut();
        let tenure = tenures.get(&wanted.service, &wanted.span.start, wanted.epoch);
        if let Some(Role::Owner { holder, ready }) = tenure.map(|t| &mut t.role) {
            *ready = named && holder == placed;
            log_event!(
                self.log, Event::GuardReady;
                "service" => &wanted.service, "range" => wanted.span.to_string(), "epoch" => wanted.epoch,
                "copy" => placed, "ready" => *ready
            );
        }
        self.ownership_changed.notify_waiters();
    }

    /// Puts a whole copy on another daemon. Returns its address, empty if there is no other daemon.
    async fn place_copy(&self, wanted: &Wanted) -> Option<String> {
        let candidates = self.holder_candidates(&self.state());
        let holder = match candidates.len() {
            0 => String::new(),
            count => candidates[self.rng.borrow_mut().random_range(0..count)].clone(),
        };
        let (span, entries, hole_ms) = {
            let mut tenures = self.tenures.borrow_mut();
            let tenure = tenures.get(&wanted.service, &wanted.span.start, wanted.epoch)?;
            // Calls that end from here on are copied to the new holder.
            tenure.role = Role::Owner {
                holder: holder.clone(),
                ready: false,
            };
            let now = self.clock.now();
            let span = tenure.span.clone();
            let entries = tenure.guard.entries_of(&span);
            (span, entries, (tenure.guard.hole_until() - now).0)
        };
        if holder.is_empty() {
            return Some(holder);
        }
        let parts: Vec<&[GuardEntry]> = match entries.len() {
            0 => vec![&[]],
            _ => entries.chunks(PART_ENTRIES).collect(),
        };
        let last = parts.len() - 1;
        for (number, part) in parts.into_iter().enumerate() {
            let now = self.clock.now();
            let images = part.iter().map(|e| GuardChange::Put(e.clone()).to_wire(now));
            let copy = GuardCopy {
                service: wanted.service.clone(),
                epoch: wanted.epoch,
                start: span.start.to_bytes(),
                end: span.end.as_ref().map(Key::to_bytes),
                first: number == 0,
                last: number == last,
                whole: true,
                entries: images.collect(),
                hole_ms,
            };
            let request = self.links.request(&holder, Body::GuardCopy(copy));
            match timeout(PART_TIMEOUT, request).await {
                Ok(Ok(Body::GuardCopyAnswer(answer))) if answer.kept => {}
                Ok(_) | Err(_) => {
                    log_event!(
                        self.log, Event::GuardCopyFailed;
                        "service" => &wanted.service, "range" => wanted.span.to_string(), "copy" => &holder
                    );
                    return None;
                }
            }
        }
        Some(holder)
    }

    /// Collects what earlier owners let through. Parts that nobody has any more leave a hole.
    async fn collect(&self, wanted: &Wanted) -> Guard {
        let mut guard = Guard::new(GuardLimits::default());
        let state = self.state();
        let Some(guards) = state.guard_table(&wanted.service) else {
            return guard;
        };
        for (span, at) in guards.parts(&wanted.span) {
            // No call was let through before the first guard was ready.
            if at.epoch == 0 {
                continue;
            }
            match self.fetch_part(&wanted.service, &span, at).await {
                Some((entries, hole_until)) => {
                    entries.into_iter().for_each(|entry| guard.adopt(entry));
                    guard.note_hole(hole_until);
                }
                None => {
                    let kept = state.schema().service(&wanted.service).map(|s| s.longest_kept());
                    guard.note_hole(self.clock.now() + kept.unwrap_or_default());
                    log_event!(
                        self.log, Event::GuardLost;
                        "service" => &wanted.service, "range" => span.to_string(), "epoch" => at.epoch
                    );
                }
            }
        }
        guard
    }

    /// Fetches a part of a guard from the daemon that owned it, or from the one with the copy.
    async fn fetch_part(
        &self,
        service: &str,
        span: &KeyRange,
        at: &GuardSpan,
    ) -> Option<(Vec<GuardEntry>, Ms)> {
        let own = self.settings.peer_address.to_string();
        for address in [&at.owner_address, &at.holder_address] {
            if address.is_empty() {
                continue;
            }
            for _ in 0..FETCH_TRIES {
                let fetched = self
                    .fetch_from(address, *address == own, service, span, at.epoch)
                    .await;
                match fetched {
                    Fetched::Whole(entries, hole_until) => return Some((entries, hole_until)),
                    Fetched::Unknown => break,
                    Fetched::Unreachable => {}
                }
                let lives = |s: &crate::control::Session| s.open.peer_address == *address;
                if !self.state().sessions().iter().any(lives) {
                    break;
                }
                sleep(FETCH_PAUSE).await;
            }
        }
        None
    }

    async fn fetch_from(
        &self,
        address: &str,
        is_own: bool,
        service: &str,
        span: &KeyRange,
        epoch: u64,
    ) -> Fetched {
        let mut entries = Vec::new();
        loop {
            let fetch = GuardFetch {
                service: service.to_owned(),
                epoch,
                start: span.start.to_bytes(),
                end: span.end.as_ref().map(Key::to_bytes),
                offset: entries.len() as u64,
            };
            let answer = if is_own {
                self.serve_guard_fetch(&fetch)
            } else {
                let request = self.links.request(address, Body::GuardFetch(fetch));
                match timeout(PART_TIMEOUT, request).await {
                    Ok(Ok(Body::GuardFetchAnswer(answer))) => answer,
                    Ok(_) | Err(_) => return Fetched::Unreachable,
                }
            };
            if !answer.known {
                return Fetched::Unknown;
            }
            let now = self.clock.now();
            for image in answer.entries {
                if let Some(GuardChange::Put(entry)) = GuardChange::from_wire(image, now) {
                    entries.push(entry);
                }
            }
            if entries.len() as u64 >= answer.total {
                return Fetched::Whole(entries, hole_end(answer.hole_ms, now));
            }
        }
    }

    /// Forgets guards that a later owner has taken over.
    fn drop_old_tenures(&self) {
        let state = self.state();
        self.tenures.borrow_mut().retain(|tenure| {
            let Some(guards) = state.guard_table(&tenure.service) else {
                return state.applied() == 0;
            };
            let parts = guards.parts(&tenure.span);
            parts.iter().any(|(_, at)| at.epoch <= tenure.epoch)
        });
    }
}

/// Answer of a daemon that may have a guard.
enum Fetched {
    /// The whole part, and the end of its hole.
    Whole(Vec<GuardEntry>, Ms),
    /// It does not have it.
    Unknown,
    /// It did not answer.
    Unreachable,
}
