use {
    super::daemon_cx::DaemonCx,
    crate::{
        call::{Call, CallResult, Reason, RetryBudget},
        clock::Ms,
        event::Event,
        log_event,
        route::EntryThrottle,
    },
    std::cell::RefCell,
};

/// Retries that each call by a route adds to the retry budget of its entry daemon. The ratio is below the share of
/// retries that all daemons together may reach, because a call that runs again repeats the calls that it makes itself.
const ROUTE_RETRY_RATIO: f64 = 0.15;
/// Limit of the unspent retries of a service, summed over all daemons.
const ROUTE_RETRIES_SAVED_MAX: f64 = 40.0;

/// The limits that an entry daemon sets to calls by routes: the retry budgets of the services, and the throttles.
impl DaemonCx {
    /// Asks the throttle whether a call may be sent. `to` is the daemon of the key's owner, or the service if any of
    /// its servers may take the call.
    ///
    /// # Errors
    /// Returns the delay after which a call that must not be sent now may be retried.
    pub(super) fn throttle_send(
        &self,
        throttle: &RefCell<EntryThrottle>,
        call: &Call,
        to: &str,
    ) -> Result<(), Ms> {
        let (mut throttle, mut rng) = (throttle.borrow_mut(), self.rng.borrow_mut());
        let permit = throttle.admit(to, &call.kind, self.clock.now(), &mut *rng);
        if permit.is_err() {
            log_event!(
                self.log, Event::CallThrottled;
                "request_id" => &call.request_id, "service" => &call.service, "to" => to
            );
        }
        permit
    }

    /// Reports to the throttle how the call ended.
    pub(super) fn update_throttle(
        &self,
        throttle: &RefCell<EntryThrottle>,
        call: &Call,
        to: &str,
        result: &CallResult,
    ) {
        let now = self.clock.now();
        let mut throttle = throttle.borrow_mut();
        match result.reason {
            Some(Reason::Overloaded) => throttle.record_refused(to, &call.kind, result.retry_after, now),
            Some(Reason::ServerLate | Reason::DeadlineTooShort) => throttle.record_late(to, &call.kind, now),
            Some(_) | None => throttle.record_accepted(to, &call.kind, now),
        }
    }

    /// Returns this daemon's share of the unspent retries that all daemons together may save for a service.
    pub(super) fn saved_retries_max(&self) -> f64 {
        let sessions = self.state().sessions().len().max(1) as f64;
        (ROUTE_RETRIES_SAVED_MAX / sessions).max(1.0)
    }

    /// Calls `f` with the retry budget of the service, which is created on first use. Its limit is this daemon's share
    /// of the limit of all daemons.
    pub(super) fn with_route_budget<T>(&self, service: &str, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let saved_max = self.saved_retries_max();
        let mut budgets = self.route_budgets.borrow_mut();
        let found = budgets.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let i = found.unwrap_or_else(|i| {
            let budget = RetryBudget::new(ROUTE_RETRY_RATIO, saved_max);
            budgets.insert(i, (service.to_owned(), budget));
            i
        });
        budgets[i].1.set_capacity(saved_max);
        f(&mut budgets[i].1)
    }
}
