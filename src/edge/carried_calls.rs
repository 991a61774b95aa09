use crate::clock::Ms;

/// Time after the deadline of a call for which it may still be sent again: the deadline of a later try counts from its
/// arrival, which a saturated link may delay.
const RESEND_MARGIN: Ms = Ms(6000);
/// Limit on the calls that are remembered. A connection with more is not reused.
const CALLS_MAX: usize = 64;

/// The calls that one connection has carried and that may be sent again.
///
/// A server may send its answer a second time, in place of the next one. Where two tries of a call share the id that
/// answers name, only the connection tells a copy of the first answer from the second one.
#[derive(Debug, Default)]
pub(super) struct CarriedCalls {
    calls: Vec<CarriedCall>,
}

#[derive(Debug)]
struct CarriedCall {
    id: String,
    /// Until when the call may be sent again.
    until: Ms,
}

impl CarriedCalls {
    /// Records a call with this deadline whose answer is not final. `id` is what answers name.
    pub fn record(&mut self, id: &str, deadline: Ms, now: Ms) {
        self.calls.retain(|call| now < call.until);
        self.calls.push(CarriedCall {
            id: id.to_owned(),
            until: deadline + RESEND_MARGIN,
        });
    }

    /// Returns whether the connection has carried the call.
    pub fn contains(&self, id: &str) -> bool {
        self.calls.iter().any(|call| call.id == id)
    }

    /// Returns whether all calls could be remembered.
    pub fn is_complete(&self) -> bool {
        self.calls.len() <= CALLS_MAX
    }
}
