use {
    super::{daemon_cx::DaemonCx, routed_path::CallTerms},
    crate::{
        call::{ends_call, Call, CallResult, HedgeContext, HedgePolicy, NoHedge, Reason},
        clock::Ms,
        control::Suspicion,
        event::Event,
        log_event,
        metrics::Metric,
        route::{Candidate, Target},
        schema::CallKind,
    },
    std::{pin::pin, rc::Rc},
    tokio::{select, time::timeout},
};

/// Priority of hedged requests in the queue of a server. It is the lowest one, so that they never displace another call.
const HEDGE_PRIORITY: u8 = 0;

/// The end of one attempt, or of an attempt and its hedged request.
pub(super) struct Attempts {
    /// Result of the attempt that ended first, if both ended.
    pub earlier: Option<CallResult>,
    /// Result of the only attempt, of the one that won, or of the one that ended last.
    pub result: CallResult,
    /// The servers, if they were chosen among several.
    pub targets: Vec<Target>,
}

impl Attempts {
    /// Returns the end of an attempt that was not sent to a server chosen among several.
    pub fn one(result: CallResult) -> Self {
        Self {
            earlier: None,
            result,
            targets: Vec::new(),
        }
    }

    fn at(target: &Target, result: CallResult) -> Self {
        Self {
            targets: vec![target.clone()],
            ..Self::one(result)
        }
    }
}

/// A hedged request that is permitted, and its server.
struct Hedge<'a> {
    call: Call,
    terms: CallTerms<'a>,
    chosen: Candidate,
}

impl DaemonCx {
    /// Calls `f` with the policy of the service, which is created on first use. Returns `None` if hedged requests are
    /// disabled.
    fn with_hedge_policy<T>(&self, service: &str, f: impl FnOnce(&mut HedgePolicy) -> T) -> Option<T> {
        let percent = self.settings.balance.second_tries_percent;
        if percent == 0 {
            return None;
        }
        let saved_max = self.saved_retries_max();
        let mut policies = self.hedge_policies.borrow_mut();
        let found = policies.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let i = found.unwrap_or_else(|i| {
            policies.insert(i, (service.to_owned(), HedgePolicy::new(percent, saved_max)));
            i
        });
        policies[i].1.set_saved_max(saved_max);
        Some(f(&mut policies[i].1))
    }

    /// Adds the share of one call to what the service may spend on hedged requests.
    pub(super) fn earn_hedge(&self, service: &str) {
        self.with_hedge_policy(service, HedgePolicy::earn);
    }

    /// Sends the call to the server `first`, and to another one of `candidates` too if the first one is late and a hedged
    /// request may be sent. The first response is the result, and the other attempt is cancelled. `sent` counts the
    /// servers that the call was sent to before.
    pub(super) async fn send_with_hedge(
        self: &Rc<Self>,
        call: &Call,
        terms: &CallTerms<'_>,
        first: &Candidate,
        candidates: &[Candidate],
        sent: u32,
    ) -> Attempts {
        let (name, route) = (&call.service, &terms.route.name);
        let sent_at = self.clock.now();
        let mut sending = pin!(self.send_to(call, terms, first));
        let delay = self.with_hedge_policy(name, |policy| policy.delay(route, sent_at));
        let Some(delay) = delay.flatten().filter(|_| may_hedge(terms, sent)) else {
            let result = sending.await;
            self.learn(call, terms, &result, sent_at);
            return Attempts::at(&first.target, result);
        };
        if let Ok(result) = timeout(delay.as_duration(), &mut sending).await {
            self.learn(call, terms, &result, sent_at);
            return Attempts::at(&first.target, result);
        }
        let hedge = match self.hedge(call, terms, first, candidates, sent, sent_at) {
            Ok(hedge) => hedge,
            Err(cause) => {
                self.metrics.count(Metric::HedgesHeldBack, &[name, cause.word()]);
                let result = sending.await;
                self.learn(call, terms, &result, sent_at);
                return Attempts::at(&first.target, result);
            }
        };
        // Allocated only when needed, so that calls without a hedged request take no more memory.
        let mut hedging = Box::pin(self.send_to(&hedge.call, &hedge.terms, &hedge.chosen));
        let (is_first, earlier) = select! {
            biased;
            result = &mut sending => (true, result),
            result = &mut hedging => (false, result),
        };
        let targets = vec![first.target.clone(), hedge.chosen.target.clone()];
        if is_first {
            self.learn(call, terms, &earlier, sent_at);
        }
        if ends_call(&earlier) {
            self.record_loser(call, terms, is_first, &first.target, sent_at);
            self.log_hedge_end(call, Some(is_first), sent_at);
            return Attempts {
                earlier: None,
                result: earlier,
                targets,
            };
        }
        let result = if is_first {
            hedging.await
        } else {
            let result = sending.await;
            self.learn(call, terms, &result, sent_at);
            result
        };
        let winner = ends_call(&result).then_some(!is_first);
        self.log_hedge_end(call, winner, sent_at);
        Attempts {
            earlier: Some(earlier),
            result,
            targets,
        }
    }

    /// Decides whether a hedged request is sent for a late call, and to which server. Takes the tokens for it.
    fn hedge<'a>(
        &self,
        call: &Call,
        terms: &CallTerms<'a>,
        first: &Candidate,
        candidates: &[Candidate],
        sent: u32,
        sent_at: Ms,
    ) -> Result<Hedge<'a>, NoHedge> {
        let (name, route) = (&call.service, &terms.route.name);
        let now = self.clock.now();
        // A request that may have crashed a server must not reach two at the same time.
        if self.suspicion(call) != Suspicion::Clear {
            return Err(NoHedge::NotAllowed);
        }
        let context = HedgeContext {
            now,
            deadline: terms.deadline,
            idempotent: terms.route.idempotent,
            divided_by_key: terms.service.divided_by_key,
            sent: sent + 1,
            sent_max: terms.route.attempts,
        };
        let times = self.with_route_budget(name, |retries| {
            self.with_hedge_policy(name, |policy| {
                policy.check(route, context, retries)?;
                Ok((policy.time_to_win(route, now), policy.median(route, now)))
            })
        });
        let (within, median) = times.unwrap_or(Err(NoHedge::Disabled))?;
        let current = self.candidates(name);
        let others: Vec<Candidate> = candidates
            .iter()
            .filter(|c| c.target != first.target && current.contains(c))
            .cloned()
            .collect();
        let chosen = {
            let (mut balancer, mut rng) = (self.balancer.borrow_mut(), self.rng.borrow_mut());
            balancer.choose_hedge(&others, within, median, now, &mut *rng)
        };
        let chosen = chosen.map(|i| others[i].clone()).ok_or(NoHedge::NoServer)?;
        let permit = {
            let (mut throttle, mut rng) = (self.service_throttle.borrow_mut(), self.rng.borrow_mut());
            throttle.admit(name, &call.kind, now, &mut *rng)
        };
        permit.map_err(|_| NoHedge::Refusing)?;
        let has_spent = self.with_route_budget(name, |retries| {
            self.with_hedge_policy(name, |policy| policy.spend(retries))
        });
        if has_spent != Some(true) {
            return Err(NoHedge::BudgetSpent);
        }
        self.metrics.count(Metric::Hedges, &[name]);
        log_event!(
            self.log, Event::CallHedged;
            "request_id" => &call.request_id, "service" => name, "first" => &first.target.server,
            "server" => &chosen.target.server, "session" => chosen.target.session, "waited_ms" => (now - sent_at).0,
            "left_ms" => (terms.deadline - now).0
        );
        let mut hedged_call = Call {
            server: chosen.target.server.clone(),
            ..call.clone()
        };
        if let Some(route) = &mut hedged_call.route {
            route.priority = HEDGE_PRIORITY.into();
            route.objective_ms = u32::try_from((terms.objective - now).0).unwrap_or(u32::MAX);
        }
        let kind = CallKind {
            priority: HEDGE_PRIORITY,
            ..terms.kind.clone()
        };
        Ok(Hedge {
            call: hedged_call,
            terms: CallTerms {
                kind,
                ..terms.clone()
            },
            chosen,
        })
    }

    /// Records the response time of a first attempt. An attempt that ended at its deadline counts with the time until
    /// then.
    fn learn(&self, call: &Call, terms: &CallTerms<'_>, result: &CallResult, sent_at: Ms) {
        if !ends_call(result) && !result.reason.is_some_and(Reason::is_late) {
            return;
        }
        let now = self.clock.now();
        self.with_hedge_policy(&call.service, |policy| {
            policy.record_time(&terms.route.name, now - sent_at, now);
        });
    }

    /// Records whether the server of an attempt refused it for lack of room.
    pub(super) fn record_refusal(&self, service: &str, result: &CallResult) {
        let refused = matches!(result.reason, Some(Reason::Overloaded | Reason::ServerFull));
        self.with_hedge_policy(service, |policy| policy.record_attempt(refused));
    }

    /// Records that an attempt is cancelled because the other one was answered first: the first attempt, which was sent to
    /// `first` at `sent_at`, unless it won. A hedged request that loses reveals nothing about its server, since it had less
    /// time. To the throttle, the cancelled attempt counts as accepted, since its server had not refused it.
    fn record_loser(
        &self,
        call: &Call,
        terms: &CallTerms<'_>,
        has_first_won: bool,
        first: &Target,
        sent_at: Ms,
    ) {
        let now = self.clock.now();
        if !has_first_won {
            let took = now - sent_at;
            self.with_hedge_policy(&call.service, |policy| {
                policy.record_cancelled(&terms.route.name, took, now);
            });
            self.balancer.borrow_mut().record_cancelled(first, took, now);
        }
        let mut throttle = self.service_throttle.borrow_mut();
        throttle.record_accepted(&call.service, &call.kind, now);
    }

    /// Logs which attempt of a call won, and counts it. `is_first` is `None` if both failed.
    fn log_hedge_end(&self, call: &Call, is_first: Option<bool>, sent_at: Ms) {
        if is_first == Some(false) {
            self.metrics.count(Metric::HedgesWon, &[&call.service]);
        }
        let winner = match is_first {
            Some(true) => "first",
            Some(false) => "hedge",
            None => "none",
        };
        log_event!(
            self.log, Event::HedgeEnded;
            "request_id" => &call.request_id, "service" => &call.service, "winner" => winner,
            "took_ms" => (self.clock.now() - sent_at).0
        );
    }
}

/// Returns whether calls with these terms may have hedged requests at all. Large answers are excluded because they are
/// mostly late on full links, which a second copy would fill further.
fn may_hedge(terms: &CallTerms<'_>, sent: u32) -> bool {
    terms.route.idempotent
        && !terms.service.divided_by_key
        && !terms.route.large_answers
        && sent + 1 < terms.route.attempts
}
