use {super::ReportedLoad, crate::clock::Ms};

/// Time for which a number of slots that the server reported is in force if no other one is reported, in ms. Without an
/// end, a server that stops to report would keep a number that was false or has changed.
const REPORTED_SLOTS_TTL: Ms = Ms(60_000);
/// Time in which calls that waited inside the server stop to lower the number of calls, in ms. They wait because the
/// server is short of processor time, in phases of about this length.
const WAITING_FADE_MS: f64 = 400.0;
/// Largest share of the slots that calls that wait inside the server take away. A server that has lost more says so by
/// its number of slots, and a false figure must leave the server useful.
const WAITING_SHARE_MAX: f64 = 0.5;

/// The number of calls that a server gets at the same time, by its announcement and by its reports.
///
/// It addresses servers that can run fewer calls than they announced. Further calls would wait inside the server, where
/// neither their order nor their refusal can be decided.
#[derive(Clone, Copy, Debug)]
pub struct SlotLimit {
    announced: usize,
    /// Number of slots that the server reported last, and when.
    reported: Option<(usize, Ms)>,
    /// Number of slots that calls inside the server took away as of `waiting_at`.
    waiting: f64,
    waiting_at: Ms,
}

impl SlotLimit {
    /// Returns the limit of a server that announced `slots` slots.
    pub fn new(slots: usize) -> Self {
        Self {
            announced: slots.max(1),
            reported: None,
            waiting: 0.0,
            waiting_at: Ms::ZERO,
        }
    }

    /// Records the load that a server reports while it has `sent` calls of this daemon. No other daemon sends it calls,
    /// so no more than these can wait in it.
    pub fn report(&mut self, load: &ReportedLoad, sent: usize, now: Ms) {
        self.reported = Some((load.slots as usize, now));
        let waiting = (load.waiting as usize).min(sent) as f64;
        if waiting >= self.faded_waiting(now) {
            self.waiting = waiting;
            self.waiting_at = now;
        }
    }

    /// Returns the number of calls that the server may run at `now`, which is at least one.
    pub fn slots(&self, now: Ms) -> usize {
        let reported = self
            .reported
            .filter(|(_, at)| now < *at + REPORTED_SLOTS_TTL)
            .map_or(self.announced, |(slots, _)| slots.min(self.announced));
        let taken_max = (reported as f64 * WAITING_SHARE_MAX).floor();
        let taken = self.faded_waiting(now).min(taken_max).ceil() as usize;
        (reported - taken).max(1)
    }

    fn faded_waiting(&self, now: Ms) -> f64 {
        let left = 1.0 - (now - self.waiting_at).0 as f64 / WAITING_FADE_MS;
        self.waiting * left.max(0.0)
    }
}
