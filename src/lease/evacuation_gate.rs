use crate::clock::Ms;

/// Time after an evacuation is known here until the last call may start. The order is in force at all entry daemons
/// within 2 s of its acknowledgement, and nothing may be sent later than 5 s after it, which leaves 500 ms to send.
const START_PERIOD: Ms = Ms(2500);
/// Time after the last confirmation of the configuration until the last call may start. The order was committed after
/// that confirmation, so this is less than 5 s after its acknowledgement also where the order arrived late.
const START_PERIOD_SINCE_CONFIRMATION: Ms = Ms(4500);

/// The last evacuation of a failure domain, as the replicated state has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LastEvacuation {
    /// Log index of its start. Zero if the failure domain never had one.
    pub since: u64,
    /// Log index of its end. Zero while it is in force.
    pub ended: u64,
}

/// How far a call has come when the gate is asked about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStage {
    /// The call arrives, and any server of its service may take it.
    Arriving,
    /// Only the owner of the call's key may take it.
    ForOwner,
    /// The call has waited for its server and is about to start.
    Queued,
}

/// A change of the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateChange {
    /// The evacuation has started. Calls that wait may still start for this time.
    Started(Ms),
    /// The evacuation has ended. It may have been so short, or this daemon cut off for so long, that no start was seen.
    Ended,
}

/// Decides whether the daemon beside a server may still send calls to it during an evacuation of its failure domain.
///
/// It is made for an operator who takes a failure domain out of use under full load: calls that wait at its servers
/// should run there or elsewhere, and none may reach a server once the time of the order is over.
#[derive(Clone, Debug, Default)]
pub struct EvacuationGate {
    last: LastEvacuation,
    /// Time from which no call starts, while the evacuation is in force.
    closes_at: Option<Ms>,
}

impl EvacuationGate {
    /// Records the evacuation that the state has at `now`. `confirmed_at` is the latest time at which the
    /// configuration held until now was confirmed to be the newest one, and `is_first` tells that this process had no
    /// state before.
    pub fn update(
        &mut self,
        evacuation: LastEvacuation,
        confirmed_at: Option<Ms>,
        is_first: bool,
        now: Ms,
    ) -> Option<GateChange> {
        let before = std::mem::replace(&mut self.last, evacuation);
        if before == evacuation {
            return None;
        }
        if evacuation.ended != 0 || evacuation.since == 0 {
            self.closes_at = None;
            return (!is_first).then_some(GateChange::Ended);
        }
        // A process that was never told which configuration is the newest cannot tell how old the order is.
        let latest = confirmed_at.map_or(now, |at| at + START_PERIOD_SINCE_CONFIRMATION);
        let closes_at = (now + START_PERIOD).min(latest).max(now);
        self.closes_at = Some(closes_at);
        Some(GateChange::Started(closes_at - now))
    }

    /// Returns whether the evacuation is in force.
    pub fn is_closing(&self) -> bool {
        self.closes_at.is_some()
    }

    /// Returns whether a call at this stage may go on at `now`.
    pub fn allows(&self, stage: CallStage, now: Ms) -> bool {
        match (self.closes_at, stage) {
            (None, _) => true,
            (Some(_), CallStage::Arriving) => false,
            (Some(closes_at), CallStage::ForOwner | CallStage::Queued) => now < closes_at,
        }
    }
}
