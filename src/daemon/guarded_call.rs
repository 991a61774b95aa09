use {
    super::{
        call_path::{find_kind, owner_key, ActiveCall},
        daemon_cx::DaemonCx,
        dispatch::Dispatch,
    },
    crate::{
        call::{Call, CallResult, Fingerprint, GuardChange, GuardId, GuardVerdict, Outcome, Reason, Role},
        clock::Ms,
        event::Event,
        key::Key,
        log_event,
        wire::peer::{frame::Body, GuardCopy},
    },
    std::{rc::Rc, time::Duration},
    tokio::{sync::oneshot, task::spawn_local, time::timeout},
};

/// Longest time for the copy of an entry.
const COPY_TIMEOUT: Ms = Ms(500);
/// Pause before a call that no server took is tried again.
const DISPATCH_PAUSE: Duration = Duration::from_millis(10);

/// A call that its guard let through.
struct LetThrough {
    call: Call,
    id: GuardId,
    epoch: u64,
    deadline: Ms,
}

impl DaemonCx {
    /// Runs a non-idempotent call as the owner of its guard, at most once.
    pub(super) async fn run_guarded(self: &Rc<Self>, call: &Call, epoch: u64, deadline: Ms) -> CallResult {
        let schema = self.state().schema().clone();
        let Some((service, kind)) = find_kind(&schema, call) else {
            return CallResult::failed(Reason::UnknownKind);
        };
        let id = GuardId {
            key: owner_key(call, service),
            request_id: call.request_id.clone(),
        };
        let digest = Fingerprint::of_request(call);
        let mut waited = false;
        loop {
            let finished = self.guard_finished.notified();
            let now = self.clock.now();
            if now >= deadline {
                let late = if waited {
                    Reason::StillRunning
                } else {
                    Reason::DeadlineTooShort
                };
                return CallResult::failed(late);
            }
            let verdict = self.decide_known(&service.name, &id, epoch, digest);
            let verdict = verdict.unwrap_or_else(|| {
                if self.refusing.get() {
                    return GuardVerdict::Refuse(Reason::Draining);
                }
                let key = &id.key;
                if self.is_being_released(&service.name, key) || !self.is_owned_at(&service.name, key, epoch)
                {
                    return GuardVerdict::Refuse(Reason::NoOwner);
                }
                let mut tenures = self.tenures.borrow_mut();
                match tenures
                    .get(&service.name, &id.key, epoch)
                    .filter(|t| t.is_ready(&id.key))
                {
                    Some(tenure) if self.lease.is_valid(now) => {
                        tenure.guard.begin(&id, digest, now + kind.answer_kept, now)
                    }
                    Some(_) => GuardVerdict::Refuse(Reason::NoLease),
                    None => GuardVerdict::Refuse(Reason::GuardNotReady),
                }
            });
            match verdict {
                GuardVerdict::Refuse(
                    Reason::NoLease | Reason::GuardNotReady | Reason::NoOwner | Reason::Draining,
                ) if waited => {
                    return CallResult::failed(Reason::StillRunning);
                }
                GuardVerdict::Refuse(reason) => return CallResult::failed(reason),
                GuardVerdict::Replay(result) => {
                    log_event!(
                        self.log, Event::AnswerReplayed;
                        "service" => &call.service, "kind" => &call.kind, "request_id" => &call.request_id
                    );
                    return CallResult {
                        replayed: true,
                        ..result
                    };
                }
                GuardVerdict::Wait => {
                    waited = true;
                    let _ = timeout((deadline - now).as_duration(), finished).await;
                }
                GuardVerdict::Run(entry) => {
                    let let_through = LetThrough {
                        call: call.clone(),
                        id,
                        epoch,
                        deadline,
                    };
                    return self.run_to_end(let_through, GuardChange::Put(entry)).await;
                }
            }
        }
    }

    /// Decides on a resend. What this owner knows of a call stays true when its lease or its range ends.
    fn decide_known(
        &self,
        service: &str,
        id: &GuardId,
        epoch: u64,
        digest: Fingerprint,
    ) -> Option<GuardVerdict> {
        let mut tenures = self.tenures.borrow_mut();
        let tenure = tenures.get(service, &id.key, epoch)?;
        match tenure.role {
            Role::Owner { .. } => tenure.guard.decide_known(id, digest),
            Role::Copy { .. } => None,
        }
    }

    /// Runs a call that was let through. It goes on when its caller goes away, so that a resend gets its answer.
    async fn run_to_end(self: &Rc<Self>, let_through: LetThrough, entry: GuardChange) -> CallResult {
        let (tx, rx) = oneshot::channel();
        let cx = self.clone();
        spawn_local(async move {
            let _active_call = ActiveCall::new(&cx);
            let mark = (let_through.call.service.clone(), let_through.id.key.clone());
            cx.let_through.borrow_mut().push(mark.clone());
            let result = cx.copy_and_run(&let_through, entry).await;
            cx.record(&let_through, &result);
            let mut running = cx.let_through.borrow_mut();
            if let Some(i) = running.iter().position(|other| *other == mark) {
                running.swap_remove(i);
            }
            let _ = tx.send(result);
        });
        rx.await.unwrap_or_else(|_| CallResult::failed(Reason::PeerLost))
    }

    async fn copy_and_run(self: &Rc<Self>, let_through: &LetThrough, entry: GuardChange) -> CallResult {
        if !self.copy_entry(let_through, entry).await {
            return CallResult::failed(Reason::GuardNotReady);
        }
        let service = &let_through.call.service;
        loop {
            // A later owner may have read the guard meanwhile.
            let ready = {
                let mut tenures = self.tenures.borrow_mut();
                let tenure = tenures.get(service, &let_through.id.key, let_through.epoch);
                tenure.is_some_and(|t| !t.is_sealed(&let_through.id.key))
            };
            if !ready {
                return CallResult::failed(Reason::GuardNotReady);
            }
            let result = self.dispatch_let_through(let_through).await;
            let elsewhere = matches!(
                result.reason,
                Some(
                    Reason::NoServer
                        | Reason::PeerUnreachable
                        | Reason::ServerUnreachable
                        | Reason::ServerDraining
                        | Reason::Overloaded
                )
            );
            let now = self.clock.now();
            let any_server = {
                let state = self.state();
                state.schema().service(service).is_some_and(|s| !s.divided_by_key)
            };
            let again =
                any_server && elsewhere && result.outcome == Outcome::NotRun && now < let_through.deadline;
            if !again || !self.retry_budget.borrow_mut().spend() {
                return result;
            }
            tokio::time::sleep(DISPATCH_PAUSE).await;
        }
    }

    async fn dispatch_let_through(self: &Rc<Self>, let_through: &LetThrough) -> CallResult {
        let schema = self.state().schema().clone();
        let Some((service, kind)) = find_kind(&schema, &let_through.call) else {
            return CallResult::failed(Reason::UnknownKind);
        };
        let deadline = let_through.deadline;
        if !service.divided_by_key {
            let call = Call {
                let_through: true,
                ..let_through.call.clone()
            };
            return self.call_any_server(&call, service, kind, deadline).await;
        }
        let state = self.state();
        let owner = state.table(&service.name);
        let owner = owner.and_then(|t| t.range_of(&let_through.id.key).owner.clone());
        drop(state);
        let Some(owner) = owner.filter(|o| o.epoch == let_through.epoch) else {
            return CallResult::failed(Reason::NoOwner);
        };
        let dispatch = Dispatch {
            call: &let_through.call,
            service,
            kind,
            epoch: let_through.epoch,
            objective: deadline,
            deadline,
        };
        self.call_server(&owner.server, dispatch).await
    }

    /// Copies the entry of a call to the other failure domain before the call is sent.
    async fn copy_entry(&self, let_through: &LetThrough, entry: GuardChange) -> bool {
        let left = (let_through.deadline - self.clock.now()).min(COPY_TIMEOUT);
        let Some((address, copy)) = self.copy_of(let_through, entry) else {
            return false;
        };
        if address.is_empty() {
            return true;
        }
        let request = self.links.request(&address, Body::GuardCopy(copy));
        match timeout(left.as_duration(), request).await {
            Ok(Ok(Body::GuardCopyAnswer(answer))) => answer.kept,
            Ok(Ok(_) | Err(_)) | Err(_) => {
                self.guard_copy_failed.notify_one();
                false
            }
        }
    }

    /// Records how a call ended, here and in the copy, and wakes its resends.
    fn record(self: &Rc<Self>, let_through: &LetThrough, result: &CallResult) {
        let change = {
            let mut tenures = self.tenures.borrow_mut();
            let service = &let_through.call.service;
            let Some(tenure) = tenures.get(service, &let_through.id.key, let_through.epoch) else {
                return;
            };
            if result.outcome == Outcome::NotRun {
                let sequence = tenure.guard.forget(&let_through.id);
                Some(GuardChange::Removed(let_through.id.clone(), sequence))
            } else {
                tenure.guard.finish(&let_through.id, result).map(GuardChange::Put)
            }
        };
        self.guard_finished.notify_waiters();
        let Some((address, copy)) = change.and_then(|change| self.copy_of(let_through, change)) else {
            return;
        };
        if !address.is_empty() {
            let cx = self.clone();
            spawn_local(async move { drop(cx.links.request(&address, Body::GuardCopy(copy)).await) });
        }
    }

    /// Returns the message that copies a change, and where it goes.
    fn copy_of(&self, let_through: &LetThrough, change: GuardChange) -> Option<(String, GuardCopy)> {
        let mut tenures = self.tenures.borrow_mut();
        let key: &Key = &let_through.id.key;
        let tenure = tenures.get(&let_through.call.service, key, let_through.epoch)?;
        let Role::Owner { holder, .. } = &tenure.role else {
            return None;
        };
        let copy = GuardCopy {
            service: tenure.service.clone(),
            epoch: tenure.epoch,
            start: tenure.span.start.to_bytes(),
            end: tenure.span.end.as_ref().map(Key::to_bytes),
            entries: vec![change.to_wire(self.clock.now())],
            ..GuardCopy::default()
        };
        Some((holder.clone(), copy))
    }
}
