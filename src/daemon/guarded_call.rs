use {
    super::{
        call_path::{find_kind, owner_key, ActiveCall},
        daemon_cx::DaemonCx,
        dispatch::Dispatch,
    },
    crate::{
        call::{Call, CallResult, Fingerprint, GuardChange, GuardDecision, GuardId, Outcome, Reason, Role},
        clock::Ms,
        event::Event,
        key::Key,
        log_event,
        wire::peer::{frame::Body, GuardCopy},
    },
    std::{rc::Rc, time::Duration},
    tokio::{sync::oneshot, task::spawn_local, time::timeout},
};

/// Timeout for copying an entry to the daemon that holds the guard's copy.
const COPY_TIMEOUT: Ms = Ms(500);
/// Delay before a call that did not reach a server is dispatched again.
const DISPATCH_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A call that its guard has admitted.
struct AdmittedCall {
    call: Call,
    id: GuardId,
    epoch: u64,
    deadline: Ms,
}

impl DaemonCx {
    /// Runs a non-idempotent call at most once, as the owner of its guard. A resend waits for the call to end, or gets
    /// its recorded result.
    pub(super) async fn run_guarded(self: &Rc<Self>, call: &Call, epoch: u64, deadline: Ms) -> CallResult {
        let schema = self.state().schema().clone();
        let Some((service, kind)) = find_kind(&schema, call) else {
            return CallResult::failed(Reason::UnknownKind);
        };
        let id = GuardId {
            // The entry outlives the call by far, and must not keep the request with its body.
            key: owner_key(call, service).detached(),
            request_id: call.request_id.clone(),
        };
        let digest = Fingerprint::of_request(call);
        let mut has_waited = false;
        loop {
            let finished = self.guard_finished.notified();
            let now = self.clock.now();
            if now >= deadline {
                let reason = if has_waited {
                    Reason::StillRunning
                } else {
                    Reason::DeadlineTooShort
                };
                return CallResult::failed(reason);
            }
            let decision = self.decide_resend(&service.name, &id, epoch, digest);
            let decision = decision.unwrap_or_else(|| {
                if self.refuses_calls.get() {
                    return GuardDecision::Refuse(Reason::Draining);
                }
                let key = &id.key;
                if self.is_being_released(&service.name, key) || !self.is_owned_at(&service.name, key, epoch)
                {
                    return GuardDecision::Refuse(Reason::NoOwner);
                }
                let mut tenures = self.tenures.borrow_mut();
                match tenures
                    .get(&service.name, &id.key, epoch)
                    .filter(|t| t.is_ready(&id.key))
                {
                    Some(tenure) if self.lease.is_valid(now) => {
                        tenure.guard.begin(&id, digest, now + kind.answer_kept, now)
                    }
                    Some(_) => GuardDecision::Refuse(Reason::NoLease),
                    None => GuardDecision::Refuse(Reason::GuardNotReady),
                }
            });
            match decision {
                GuardDecision::Refuse(
                    Reason::NoLease | Reason::GuardNotReady | Reason::NoOwner | Reason::Draining,
                ) if has_waited => {
                    return CallResult::failed(Reason::StillRunning);
                }
                GuardDecision::Refuse(reason) => return CallResult::failed(reason),
                GuardDecision::Replay(result) => {
                    log_event!(
                        self.log, Event::AnswerReplayed;
                        "service" => &call.service, "kind" => &call.kind, "request_id" => &call.request_id
                    );
                    return CallResult {
                        replayed: true,
                        ..result
                    };
                }
                GuardDecision::Wait => {
                    has_waited = true;
                    let _ = timeout((deadline - now).as_duration(), finished).await;
                }
                GuardDecision::Run(entry) => {
                    let admitted = AdmittedCall {
                        call: call.clone(),
                        id,
                        epoch,
                        deadline,
                    };
                    return self.run_detached(admitted, GuardChange::Put(entry)).await;
                }
            }
        }
    }

    /// Decides on a resend. This needs no valid lease, because a recorded result stays true after the lease or the
    /// ownership has ended.
    fn decide_resend(
        &self,
        service: &str,
        id: &GuardId,
        epoch: u64,
        digest: Fingerprint,
    ) -> Option<GuardDecision> {
        let mut tenures = self.tenures.borrow_mut();
        let tenure = tenures.get(service, &id.key, epoch)?;
        match tenure.role {
            Role::Owner { .. } => tenure.guard.decide_known(id, digest),
            Role::Copy { .. } => None,
        }
    }

    /// Runs an admitted call in its own task. It continues after its caller disconnects, so that a resend gets its
    /// answer.
    async fn run_detached(self: &Rc<Self>, admitted: AdmittedCall, entry: GuardChange) -> CallResult {
        let (tx, rx) = oneshot::channel();
        let cx = self.clone();
        spawn_local(async move {
            let _active_call = ActiveCall::new(&cx);
            let running_key = (admitted.call.service.clone(), admitted.id.key.clone());
            cx.admitted_calls.borrow_mut().push(running_key.clone());
            let result = cx.copy_and_run(&admitted, entry).await;
            cx.record_result(&admitted, &result);
            let mut running = cx.admitted_calls.borrow_mut();
            if let Some(i) = running.iter().position(|other| *other == running_key) {
                running.swap_remove(i);
            }
            let _ = tx.send(result);
        });
        rx.await.unwrap_or_else(|_| CallResult::failed(Reason::PeerLost))
    }

    /// Copies the entry of an admitted call and dispatches the call. A call of an undivided service is dispatched again
    /// while it has not run and the retry budget allows it.
    async fn copy_and_run(self: &Rc<Self>, admitted: &AdmittedCall, entry: GuardChange) -> CallResult {
        if !self.copy_entry(admitted, entry).await {
            return CallResult::failed(Reason::GuardNotReady);
        }
        let service = &admitted.call.service;
        loop {
            // A later owner may have read the guard in the meantime. The call must not run then.
            let can_run = {
                let mut tenures = self.tenures.borrow_mut();
                let tenure = tenures.get(service, &admitted.id.key, admitted.epoch);
                tenure.is_some_and(|t| !t.is_sealed(&admitted.id.key))
            };
            if !can_run {
                return CallResult::failed(Reason::GuardNotReady);
            }
            let result = self.dispatch_admitted(admitted).await;
            let may_run_elsewhere = matches!(
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
            let is_undivided = {
                let state = self.state();
                state.schema().service(service).is_some_and(|s| !s.divided_by_key)
            };
            let can_retry = is_undivided
                && may_run_elsewhere
                && result.outcome == Outcome::NotRun
                && now < admitted.deadline;
            if !can_retry || !self.retry_budget.borrow_mut().spend() {
                return result;
            }
            tokio::time::sleep(DISPATCH_RETRY_DELAY).await;
        }
    }

    /// Dispatches an admitted call once, to the owner of its key or to any server of an undivided service.
    async fn dispatch_admitted(self: &Rc<Self>, admitted: &AdmittedCall) -> CallResult {
        let schema = self.state().schema().clone();
        let Some((service, kind)) = find_kind(&schema, &admitted.call) else {
            return CallResult::failed(Reason::UnknownKind);
        };
        let deadline = admitted.deadline;
        if !service.divided_by_key {
            let call = Call {
                let_through: true,
                ..admitted.call.clone()
            };
            return self.call_any_server(&call, service, kind, deadline).await;
        }
        let state = self.state();
        let owner = state.table(&service.name);
        let owner = owner.and_then(|t| t.range_of(&admitted.id.key).owner.clone());
        drop(state);
        let Some(owner) = owner.filter(|o| o.epoch == admitted.epoch) else {
            return CallResult::failed(Reason::NoOwner);
        };
        let dispatch = Dispatch {
            call: &admitted.call,
            service,
            kind,
            epoch: admitted.epoch,
            objective: deadline,
            deadline,
        };
        self.call_server(&owner.server, dispatch).await
    }

    /// Copies the entry of a call to the guard's copy in the other failure domain, before the call is sent. Returns
    /// whether the call may be sent.
    async fn copy_entry(&self, admitted: &AdmittedCall, entry: GuardChange) -> bool {
        let time_left = (admitted.deadline - self.clock.now()).min(COPY_TIMEOUT);
        let Some((address, copy)) = self.copy_message(admitted, entry) else {
            return false;
        };
        if address.is_empty() {
            return true;
        }
        let request = self.links.request(&address, Body::GuardCopy(copy));
        match timeout(time_left.as_duration(), request).await {
            Ok(Ok(Body::GuardCopyAnswer(answer))) if answer.kept => true,
            Ok(Ok(Body::GuardCopyAnswer(_))) => {
                self.mark_copy_lost(admitted, &address);
                false
            }
            Ok(Ok(_) | Err(_)) | Err(_) => {
                self.guard_copy_failed.notify_one();
                false
            }
        }
    }

    /// Records that the daemon at `address` does not keep the copy of the guard, so that a new one is placed. It may have
    /// been restarted, which this daemon does not know yet.
    fn mark_copy_lost(&self, admitted: &AdmittedCall, address: &str) {
        let mut tenures = self.tenures.borrow_mut();
        let tenure = tenures.get(&admitted.call.service, &admitted.id.key, admitted.epoch);
        let Some(tenure) = tenure else { return };
        if let Role::Owner { holder, ready, .. } = &mut tenure.role {
            if holder == address && *ready {
                *ready = false;
                log_event!(
                    self.log, Event::GuardCopyFailed;
                    "service" => &tenure.service, "range" => tenure.span.to_string(), "copy" => address
                );
            }
        }
        self.guard_copy_failed.notify_one();
    }

    /// Records the result of a call in the guard and in its copy, or forgets a call that did not run. Wakes the resends
    /// that wait for the call.
    fn record_result(self: &Rc<Self>, admitted: &AdmittedCall, result: &CallResult) {
        let change = {
            let mut tenures = self.tenures.borrow_mut();
            let service = &admitted.call.service;
            let Some(tenure) = tenures.get(service, &admitted.id.key, admitted.epoch) else {
                return;
            };
            if result.outcome == Outcome::NotRun {
                let sequence = tenure.guard.forget(&admitted.id);
                Some(GuardChange::Removed(admitted.id.clone(), sequence))
            } else {
                let result = CallResult {
                    // The guard has its own limit of memory, and keeps answers for too long to count them in the budget.
                    body: self.budget.detach(&result.body),
                    ..result.clone()
                };
                tenure.guard.finish(&admitted.id, &result).map(GuardChange::Put)
            }
        };
        self.guard_finished.notify_waiters();
        let Some((address, copy)) = change.and_then(|change| self.copy_message(admitted, change)) else {
            return;
        };
        if !address.is_empty() {
            let cx = self.clone();
            spawn_local(async move { drop(cx.links.request(&address, Body::GuardCopy(copy)).await) });
        }
    }

    /// Returns the message that copies a change, and the address of the daemon with the guard's copy (empty if there is
    /// none). Returns `None` if this daemon no longer owns the guard.
    fn copy_message(&self, admitted: &AdmittedCall, change: GuardChange) -> Option<(String, GuardCopy)> {
        let mut tenures = self.tenures.borrow_mut();
        let key: &Key = &admitted.id.key;
        let tenure = tenures.get(&admitted.call.service, key, admitted.epoch)?;
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
