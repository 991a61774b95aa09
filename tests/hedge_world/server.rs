use {
    clementinefold::{
        call::{Admission, AdmissionRequest, Reason, RefusalShare, ServerQueue},
        clock::Ms,
        wire::peer::ServerLoad,
    },
    rand::Rng,
};

pub const SLOTS: usize = 6;
/// Mean work of a call: its time at a healthy server.
pub const WORK_MEAN_MS: f64 = 150.0;
/// Standard deviation of the logarithm of the work of a call.
const WORK_SIGMA: f64 = 0.35;
/// Number of servers that are slow throughout, and how much longer their calls take.
const SLOW_SERVERS: usize = 2;
const SLOW_PACE: f64 = 3.0;
/// One of this many calls at a server in grey failure never ends. The others take their usual time.
const HANGING_SHARE: u64 = 4;
/// One of this many calls stalls at a stalling server, for this time.
const STALLING_SHARE: u64 = 50;
const STALL_MS: f64 = 1_000.0;
/// Noise of servers that share their machines: for a phase of this length, one of this many servers works more slowly by
/// this factor.
const NOISE_PHASE_MS: u64 = 400;
const NOISE_SHARE: u64 = 5;
const NOISE_PACE: f64 = 3.0;
const KIND: u64 = 1;

/// What is wrong with the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Two of the ten servers are slow throughout.
    Slow,
    /// One of the ten servers is in grey failure throughout: some of its calls hang.
    Grey,
    /// At all servers, some calls stall for a while, for instance for a lock.
    Stalling,
    /// At any moment a fifth of the servers is slow, others after every phase.
    Noisy,
}

impl Fault {
    /// Returns how much longer calls take at a server at a time.
    fn pace(self, server: usize, at_ms: f64) -> f64 {
        match self {
            Self::Slow if server < SLOW_SERVERS => SLOW_PACE,
            Self::Noisy => {
                let phase = at_ms as u64 / NOISE_PHASE_MS;
                match mixed(phase << 8 | server as u64) % NOISE_SHARE {
                    0 => NOISE_PACE,
                    _ => 1.0,
                }
            }
            Self::None | Self::Slow | Self::Grey | Self::Stalling => 1.0,
        }
    }

    /// Returns the mean factor by which calls take longer at a server.
    pub fn mean_pace(self, server: usize) -> f64 {
        match self {
            // The mean speed is that of the share of time in each state.
            Self::Noisy => {
                let slow = 1.0 / NOISE_SHARE as f64;
                1.0 / (slow / NOISE_PACE + 1.0 - slow)
            }
            Self::Stalling => 1.0 + STALL_MS / STALLING_SHARE as f64 / WORK_MEAN_MS,
            Self::None | Self::Slow | Self::Grey => self.pace(server, 0.0),
        }
    }
}

/// What happens to an attempt that reaches a server.
pub enum Arrival {
    Runs,
    Waits { give_up_at: Ms, shed: Vec<usize> },
    Refused(Reason, Ms),
}

/// A server and the queue of the daemon beside it.
pub struct Server {
    number: usize,
    fault: Fault,
    queue: ServerQueue,
    refusals: RefusalShare,
    /// Waiting attempts with their tickets.
    waiting: Vec<(u64, usize)>,
    /// Running attempts with their starts.
    running: Vec<(usize, Ms)>,
}

impl Server {
    pub fn new(number: usize, fault: Fault) -> Self {
        Self {
            number,
            fault,
            queue: ServerQueue::new(SLOTS),
            refusals: RefusalShare::default(),
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    pub fn arrive(&mut self, attempt: usize, priority: u8, objective: Ms, deadline: Ms, now: Ms) -> Arrival {
        let request = AdmissionRequest {
            kind: KIND,
            priority,
            objective,
            deadline,
            is_exclusive: false,
        };
        let admission = self.queue.admit(now, request);
        let is_refused = matches!(admission, Admission::Refused(_));
        self.refusals.count(is_refused, now);
        match admission {
            Admission::Run => Arrival::Runs,
            Admission::Wait {
                ticket,
                give_up_at,
                shed,
            } => {
                self.waiting.push((ticket, attempt));
                let shed = shed.into_iter().filter_map(|ticket| self.take_waiting(ticket));
                Arrival::Waits {
                    give_up_at,
                    shed: shed.collect(),
                }
            }
            Admission::Refused(refusal) => Arrival::Refused(refusal.reason, refusal.retry_after),
        }
    }

    fn take_waiting(&mut self, ticket: u64) -> Option<usize> {
        let i = self.waiting.iter().position(|w| w.0 == ticket)?;
        Some(self.waiting.swap_remove(i).1)
    }

    /// Removes an attempt from the queue. Returns whether it was there.
    pub fn give_up(&mut self, attempt: usize) -> bool {
        let Some(i) = self.waiting.iter().position(|w| w.1 == attempt) else {
            return false;
        };
        let (ticket, _) = self.waiting.swap_remove(i);
        self.queue.forget(ticket);
        true
    }

    /// Starts an attempt that has a slot. Returns when it would end.
    pub fn start(&mut self, attempt: usize, now: Ms, rng: &mut impl Rng) -> Ms {
        self.running.push((attempt, now));
        if self.fault == Fault::Grey && self.number == 0 && rng.random_range(0..HANGING_SHARE) == 0 {
            return Ms(u64::MAX);
        }
        let normal = (-2.0 * rng.random::<f64>().max(1e-12).ln()).sqrt()
            * (std::f64::consts::TAU * rng.random::<f64>()).cos();
        let mut work_ms = WORK_MEAN_MS * (WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2.0).exp();
        let mut at_ms = now.0 as f64;
        if self.fault == Fault::Stalling && rng.random_range(0..STALLING_SHARE) == 0 {
            at_ms += STALL_MS;
        }
        loop {
            let phase_end = (at_ms as u64 / NOISE_PHASE_MS + 1) as f64 * NOISE_PHASE_MS as f64;
            let pace = self.fault.pace(self.number, at_ms);
            let done_ms = (phase_end - at_ms) / pace;
            if done_ms >= work_ms {
                return Ms((at_ms + work_ms * pace) as u64).max(now + Ms(1));
            }
            work_ms -= done_ms;
            at_ms = phase_end;
        }
    }

    /// Ends the run of an attempt. Returns its time, or `None` if it no longer runs.
    pub fn finish(&mut self, attempt: usize, now: Ms) -> Option<Ms> {
        let i = self.running.iter().position(|r| r.0 == attempt)?;
        let (_, since) = self.running.swap_remove(i);
        self.queue.finish(KIND, Some(now - since));
        Some(now - since)
    }

    /// Cancels an attempt that waits or runs. Returns the time that it ran.
    pub fn cancel(&mut self, attempt: usize, now: Ms) -> Ms {
        if self.give_up(attempt) {
            return Ms::ZERO;
        }
        let Some(i) = self.running.iter().position(|r| r.0 == attempt) else {
            return Ms::ZERO;
        };
        let (_, since) = self.running.swap_remove(i);
        self.queue.finish(KIND, None);
        now - since
    }

    /// Returns the attempt that takes a free slot, and those that can no longer end in time.
    pub fn next_waiting(&mut self, now: Ms) -> (Option<usize>, Vec<usize>) {
        let dequeued = self.queue.dequeue(now);
        let expired = dequeued.expired.into_iter();
        let expired = expired.filter_map(|ticket| self.take_waiting(ticket)).collect();
        let next = dequeued.next.and_then(|ticket| self.take_waiting(ticket));
        (next, expired)
    }

    pub fn load(&self, now: Ms) -> ServerLoad {
        ServerLoad {
            running: self.queue.running() as u32,
            waiting: self.queue.waiting() as u32,
            slots: SLOTS as u32,
            mean_ms: self.queue.slot_time().0 as u32,
            refused_percent: self.refusals.percent(now),
            pace_percent: 100,
        }
    }
}

/// Mixes a number into one that looks random (the finalizer of SplitMix64).
fn mixed(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}
