use {
    super::takeover_waits::stretch_for_drift,
    crate::{clock::Ms, control::State, settings::LeaseSettings, wire::control::ForgetService},
};

/// Decides when the tables of a retired service are no longer needed: once calls of its last owner have ended and the
/// recorded answers have expired.
///
/// The time is measured by the leader's own clock from when it finds a service without owners. A new leader starts it
/// again.
#[derive(Clone, Debug, Default)]
pub struct RetentionWaits {
    timing: LeaseSettings,
    /// Retired services without owners, with the time at which each was first found.
    unowned: Vec<(ForgetService, Ms)>,
}

impl RetentionWaits {
    /// Creates the waits of a new leader.
    pub fn new(timing: LeaseSettings) -> Self {
        Self {
            timing,
            unowned: Vec::new(),
        }
    }

    /// Returns the changes that drop the tables which are no longer needed at `now`.
    pub fn expired(&mut self, state: &State, now: Ms) -> Vec<ForgetService> {
        let known = std::mem::take(&mut self.unowned);
        let mut expired = Vec::new();
        for retired in state.retired_services().iter().filter(|r| !r.has_owner()) {
            let forget = ForgetService {
                service: retired.ranges.service.clone(),
                divided_by_key: retired.divided_by_key,
                retired_at: retired.retired_at,
            };
            let since = known
                .iter()
                .find(|(other, _)| *other == forget)
                .map_or(now, |k| k.1);
            if since + stretch_for_drift(self.timing, retired.retention) <= now {
                expired.push(forget.clone());
            }
            self.unowned.push((forget, since));
        }
        expired
    }
}
