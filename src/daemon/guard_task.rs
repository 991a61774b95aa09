use {
    super::{
        daemon_cx::DaemonCx,
        guard_holder::{gap_end, PART_ENTRIES_MAX},
    },
    crate::{
        call::{Guard, GuardChange, GuardEntry, GuardLimits, Role, Tenure},
        clock::Ms,
        control::{GuardSpan, GuardTable, Session, State},
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

/// Longest time between two comparisons of the guards with the state.
const GUARD_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for the transfer of one part of a guard.
const PART_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to fetch a part of a guard from one daemon while its session is open.
const FETCH_ATTEMPTS_MAX: u32 = 5;
/// Delay before a failed step is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A guard that this daemon has to hold, because it owns the span.
#[derive(Clone, Debug, PartialEq)]
struct RequiredGuard {
    service: String,
    span: KeyRange,
    epoch: u64,
}

impl DaemonCx {
    /// Establishes the guards of the spans that this daemon owns, and their copies, and removes what has expired.
    pub(super) async fn maintain_guards(self: Rc<Self>) {
        let mut shard = 0;
        loop {
            self.drop_old_tenures();
            for required in self.missing_guards() {
                if !self
                    .pending_guards
                    .borrow()
                    .contains(&(required.epoch, required.span.start.clone()))
                {
                    self.spawn_establish(required);
                }
            }
            let now = self.clock.now();
            for tenure in self.tenures.borrow_mut().iter_mut() {
                tenure.guard.expire(shard, now);
            }
            shard += 1;
            let changed = async {
                tokio::select! {
                    () = self.state_changed.notified() => {}
                    () = self.guard_copy_failed.notified() => {}
                }
            };
            let _ = timeout(GUARD_CHECK_INTERVAL, changed).await;
        }
    }

    /// Returns the guards of owned spans that are not ready here, or whose copy is not on a suitable daemon.
    fn missing_guards(&self) -> Vec<RequiredGuard> {
        let state = self.state();
        let Some(session) = self.session.get() else {
            return Vec::new();
        };
        let mut required = Vec::new();
        for table in state.range_tables() {
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
                let is_in_place = match tenure.map(|t| &t.role) {
                    Some(Role::Owner {
                        holder,
                        holder_process,
                        ready,
                    }) => *ready && self.is_suitable_holder(&state, holder, *holder_process),
                    Some(Role::Copy { .. }) | None => false,
                };
                if !is_in_place && range.release.is_none() {
                    required.push(RequiredGuard {
                        service: table.service.clone(),
                        span: table.span(position),
                        epoch: owner.epoch,
                    });
                }
            }
        }
        required
    }

    /// Returns whether the process at `holder` is suitable for a copy: a live daemon of another failure domain, if there
    /// is one.
    fn is_suitable_holder(&self, state: &State, holder: &str, process: u64) -> bool {
        let candidates = self.holder_candidates(state);
        if holder.is_empty() {
            return candidates.is_empty();
        }
        candidates
            .iter()
            .any(|(address, other)| address == holder && *other == process)
    }

    /// Returns the peer addresses and the processes of the daemons that may keep copies of this daemon's guards. Daemons
    /// of the same failure domain are candidates only if there are no others.
    fn holder_candidates(&self, state: &State) -> Vec<(String, u64)> {
        let others = || {
            state
                .sessions()
                .iter()
                .filter(|s| s.open.host != self.settings.host)
        };
        let candidate = |s: &Session| (s.open.peer_address.clone(), s.open.process);
        let elsewhere: Vec<(String, u64)> = others()
            .filter(|s| s.open.failure_domain != self.settings.failure_domain)
            .map(candidate)
            .collect();
        if elsewhere.is_empty() {
            others().map(candidate).collect()
        } else {
            elsewhere
        }
    }

    /// Establishes a guard in its own task, and marks it in the meantime so that the work is not started twice.
    fn spawn_establish(self: &Rc<Self>, required: RequiredGuard) {
        let id = (required.epoch, required.span.start.clone());
        self.pending_guards.borrow_mut().push(id.clone());
        let cx = self.clone();
        spawn_local(async move {
            cx.establish(required).await;
            cx.pending_guards.borrow_mut().retain(|other| *other != id);
        });
    }

    /// Collects the guard of a span, places its copy, and records both in the replicated state. Only then are calls
    /// admitted.
    async fn establish(self: &Rc<Self>, required: RequiredGuard) {
        let is_owner = {
            let mut tenures = self.tenures.borrow_mut();
            let tenure = tenures.get(&required.service, &required.span.start, required.epoch);
            tenure.is_some_and(|t| matches!(t.role, Role::Owner { .. }))
        };
        if !is_owner {
            let guard = self.collect_guard(&required).await;
            self.tenures.borrow_mut().put(Tenure {
                service: required.service.clone(),
                span: required.span.clone(),
                epoch: required.epoch,
                role: Role::Owner {
                    holder: String::new(),
                    holder_process: 0,
                    ready: false,
                },
                sealed: Vec::new(),
                guard,
            });
        }
        let Some(holder) = self.place_copy(&required).await else {
            sleep(RETRY_DELAY).await;
            return;
        };
        let ready = GuardReady {
            service: required.service.clone(),
            start: required.span.start.to_bytes(),
            end: required.span.end.as_ref().map(Key::to_bytes),
            epoch: required.epoch,
            owner_address: self.settings.peer_address.to_string(),
            holder_address: holder.clone(),
        };
        let Some(answer) = self.propose(change::Body::GuardReady(ready)).await else {
            sleep(RETRY_DELAY).await;
            return;
        };
        self.await_applied(answer.index).await;
        self.mark_ready(&required, &holder);
    }

    /// Allows calls to be admitted if the replicated state has this guard and its copy.
    fn mark_ready(&self, required: &RequiredGuard, holder_address: &str) {
        let state = self.state();
        let Some(guards) = state.guard_table(&required.service) else {
            return;
        };
        let own = self.settings.peer_address.to_string();
        let is_recorded = guards.parts(&required.span).iter().all(|(_, record)| {
            record.epoch == required.epoch
                && record.owner_address == own
                && record.holder_address == holder_address
        });
        let mut tenures = self.tenures.borrow_mut();
        let tenure = tenures.get(&required.service, &required.span.start, required.epoch);
        if let Some(Role::Owner { holder, ready, .. }) = tenure.map(|t| &mut t.role) {
            *ready = is_recorded && holder == holder_address;
            log_event!(
                self.log, Event::GuardReady;
                "service" => &required.service, "range" => required.span.to_string(), "epoch" => required.epoch,
                "copy" => holder_address, "ready" => *ready
            );
        }
        self.ownership_changed.notify_waiters();
    }

    /// Places a whole copy on another daemon and returns its address, which is empty if there is no other daemon.
    /// Returns `None` if the transfer fails.
    async fn place_copy(&self, required: &RequiredGuard) -> Option<String> {
        let candidates = self.holder_candidates(&self.state());
        let (holder, holder_process) = match candidates.len() {
            0 => Default::default(),
            count => candidates[self.rng.borrow_mut().random_range(0..count)].clone(),
        };
        let (span, entries, hole_ms) = {
            let mut tenures = self.tenures.borrow_mut();
            let tenure = tenures.get(&required.service, &required.span.start, required.epoch)?;
            // The results of calls that end from now on are copied to the new holder.
            tenure.role = Role::Owner {
                holder: holder.clone(),
                holder_process,
                ready: false,
            };
            let now = self.clock.now();
            let span = tenure.span.clone();
            let entries = tenure.guard.entries_of(&span);
            (span, entries, (tenure.guard.gap_until() - now).0)
        };
        if holder.is_empty() {
            return Some(holder);
        }
        let parts: Vec<&[GuardEntry]> = match entries.len() {
            0 => vec![&[]],
            _ => entries.chunks(PART_ENTRIES_MAX).collect(),
        };
        let last = parts.len() - 1;
        for (number, part) in parts.into_iter().enumerate() {
            let now = self.clock.now();
            let images = part.iter().map(|e| GuardChange::Put(e.clone()).to_wire(now));
            let copy = GuardCopy {
                service: required.service.clone(),
                epoch: required.epoch,
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
                        "service" => &required.service, "range" => required.span.to_string(), "copy" => &holder
                    );
                    return None;
                }
            }
        }
        Some(holder)
    }

    /// Collects the entries of earlier owners. A part that no daemon has any more leaves a gap: for as long as its
    /// answers would have been kept, a call with an unknown request id may have run.
    async fn collect_guard(&self, required: &RequiredGuard) -> Guard {
        let mut guard = Guard::new(GuardLimits::default());
        let state = self.state();
        let Some(guards) = state.guard_table(&required.service) else {
            return guard;
        };
        for (span, record) in guards.parts(&required.span) {
            // No call was admitted before the first guard was ready.
            if record.epoch == 0 {
                continue;
            }
            match self.fetch_part(&required.service, &span, record).await {
                Some((entries, gap_end)) => {
                    entries.into_iter().for_each(|entry| guard.adopt(entry));
                    guard.record_gap(gap_end);
                }
                None => {
                    let kept = state
                        .schema()
                        .service(&required.service)
                        .map(|s| s.longest_answer_kept());
                    guard.record_gap(self.clock.now() + kept.unwrap_or_default());
                    log_event!(
                        self.log, Event::GuardLost;
                        "service" => &required.service, "range" => span.to_string(), "epoch" => record.epoch
                    );
                }
            }
        }
        guard
    }

    /// Fetches a part of a guard from the daemon that owned it, or from the one with the copy. Returns the entries and
    /// the end of the gap, or `None` if neither daemon has the part.
    async fn fetch_part(
        &self,
        service: &str,
        span: &KeyRange,
        record: &GuardSpan,
    ) -> Option<(Vec<GuardEntry>, Ms)> {
        let own = self.settings.peer_address.to_string();
        for address in [&record.owner_address, &record.holder_address] {
            if address.is_empty() {
                continue;
            }
            for _ in 0..FETCH_ATTEMPTS_MAX {
                let fetched = self
                    .fetch_from(address, *address == own, service, span, record.epoch)
                    .await;
                match fetched {
                    FetchOutcome::Complete(entries, gap_end) => return Some((entries, gap_end)),
                    FetchOutcome::NotHeld => break,
                    FetchOutcome::Unreachable => {}
                }
                let is_live = |s: &Session| s.open.peer_address == *address;
                if !self.state().sessions().iter().any(is_live) {
                    break;
                }
                sleep(RETRY_DELAY).await;
            }
        }
        None
    }

    /// Fetches a part of a guard from one daemon, which may be this one.
    async fn fetch_from(
        &self,
        address: &str,
        is_own: bool,
        service: &str,
        span: &KeyRange,
        epoch: u64,
    ) -> FetchOutcome {
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
                    Ok(_) | Err(_) => return FetchOutcome::Unreachable,
                }
            };
            if !answer.known {
                return FetchOutcome::NotHeld;
            }
            let now = self.clock.now();
            for image in answer.entries {
                if let Some(GuardChange::Put(entry)) = GuardChange::from_wire(image, now) {
                    entries.push(entry);
                }
            }
            if entries.len() as u64 >= answer.total {
                return FetchOutcome::Complete(entries, gap_end(answer.hole_ms, now));
            }
        }
    }

    /// Removes the guards that later owners have taken over.
    fn drop_old_tenures(&self) {
        let state = self.state();
        self.tenures.borrow_mut().retain(|tenure| {
            let is_current = |guards: &GuardTable| {
                let parts = guards.parts(&tenure.span);
                parts.iter().any(|(_, record)| record.epoch <= tenure.epoch)
            };
            state.applied() == 0 || state.known_guard_tables(&tenure.service).any(is_current)
        });
    }
}

/// Result of a fetch from a daemon that may have a guard.
enum FetchOutcome {
    /// The entries of the whole part, and the end of its gap.
    Complete(Vec<GuardEntry>, Ms),
    /// The daemon does not have it.
    NotHeld,
    /// The daemon could not be reached or did not answer in time.
    Unreachable,
}
