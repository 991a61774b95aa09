//! Load numbers of one service: keys, ranges and servers, without machines or messages.

use {
    clementinefold::clock::Ms,
    rand::{rngs::SmallRng, Rng, SeedableRng},
};

/// Change of a measurement that is no noise: a part of the load, and slots.
const JUMP: f64 = 0.5;
const JUMP_MIN: f64 = 0.2;
/// Length of a step, in ms.
pub const STEP_MS: u64 = 1000;
/// Time for which the keys of a planned move are not served, in ms.
const MOVE_GAP_MS: f64 = 15.0;
/// Time until a loss is seen and the range served elsewhere, in ms.
const LOSS_GAP_MS: f64 = 700.0;
/// Most by which one measurement differs from the true load, as a part of it.
const NOISE: f64 = 0.1;
/// Part of the newest measurement in the smoothed load.
const SMOOTHING: f64 = 0.2;

/// How large a deployment is.
#[derive(Clone, Copy)]
pub struct Size {
    pub name: &'static str,
    pub servers: usize,
    pub domains: usize,
    pub keys: u64,
    /// Smallest parts of the key space that have a load of their own.
    pub atoms: usize,
    pub ranges: usize,
    pub hot_keys: usize,
    pub restarts_per_hour: usize,
    pub seconds: u64,
}

/// Slots of each server.
pub const SLOTS: f64 = 12.0;
/// Mean part of the slots that are busy without hot keys.
pub const BASE_UTILISATION: f64 = 0.4;
/// Each atom at such a position is a single key, the others are many.
pub const SINGLE_EACH: usize = 4;

#[derive(Clone)]
pub struct WorldServer {
    pub domain: usize,
    pub is_up: bool,
    pub is_draining: bool,
    pub is_second_half: bool,
}

#[derive(Clone)]
pub struct WorldRange {
    /// First atom; the range ends where the next one starts.
    pub first: usize,
    pub owner: Option<usize>,
    pub moved_at: Option<Ms>,
    /// When and by which server it was lost.
    pub lost_owner: Option<(Ms, usize)>,
}

/// Sums over a whole run.
#[derive(Clone, Copy, Default)]
pub struct Figures {
    pub steps: f64,
    pub max_over_mean: f64,
    pub variation: f64,
    pub keys_moved: f64,
    pub weight_moved: f64,
    /// Mean over the load, in ms: moves and losses.
    pub gap_ms: f64,
    /// The part of it until losses were seen, which no plan can change.
    pub loss_ms: f64,
    /// Mean over the load, in ms: load above the slots of its server.
    pub overload_ms: f64,
    pub plan_ms_max: f64,
    /// Longest time until all hot keys were on a server without excess, in s.
    pub hot_handled_s: f64,
}

pub struct World {
    pub size: Size,
    pub now: Ms,
    pub servers: Vec<WorldServer>,
    pub ranges: Vec<WorldRange>,
    /// True load of each atom, in slots.
    pub load: Vec<f64>,
    /// Smoothed measurements of it.
    pub measured: Vec<f64>,
    pub hot: Vec<usize>,
    pub is_splitting: bool,
    pub figures: Figures,
    hot_since: Option<Ms>,
    noise: SmallRng,
    /// Load of all keys at the last step.
    total: f64,
}

impl World {
    pub fn new(size: Size, load: Vec<f64>, seed: u64) -> Self {
        let servers = (0..size.servers).map(|i| WorldServer {
            domain: i % size.domains,
            is_up: true,
            is_draining: false,
            is_second_half: i % size.domains >= size.domains.div_ceil(2),
        });
        let ranges = (0..size.ranges).map(|i| WorldRange {
            first: i * size.atoms / size.ranges,
            owner: Some(i % size.servers),
            moved_at: None,
            lost_owner: None,
        });
        Self {
            size,
            now: Ms(STEP_MS),
            servers: servers.collect(),
            ranges: ranges.collect(),
            measured: load.clone(),
            total: load.iter().sum(),
            load,
            hot: Vec::new(),
            is_splitting: false,
            figures: Figures::default(),
            hot_since: None,
            noise: SmallRng::seed_from_u64(seed),
        }
    }

    /// Keys of an atom.
    pub fn keys_of(&self, atom: usize) -> u64 {
        if atom % SINGLE_EACH == SINGLE_EACH - 1 {
            return 1;
        }
        self.size.keys * SINGLE_EACH as u64 / (self.size.atoms as u64 * (SINGLE_EACH as u64 - 1))
    }

    pub fn end_of(&self, range: usize) -> usize {
        self.ranges.get(range + 1).map_or(self.size.atoms, |r| r.first)
    }

    pub fn measured_of(&self, range: usize) -> f64 {
        self.measured[self.ranges[range].first..self.end_of(range)]
            .iter()
            .sum()
    }

    /// Tells if a range belongs to the second half.
    pub fn is_second(&self, range: usize) -> bool {
        let seconds = self.servers.iter().filter(|s| s.is_second_half).count();
        self.ranges[range].first >= self.size.atoms * (self.servers.len() - seconds) / self.servers.len()
    }

    pub fn takes(&self, server: usize, range: usize) -> bool {
        let s = &self.servers[server];
        s.is_up && !s.is_draining && (!self.is_splitting || s.is_second_half == self.is_second(range))
    }

    pub fn set_hot(&mut self, hot: Vec<usize>) {
        self.hot = hot;
        self.hot_since = Some(self.now);
    }

    pub fn lose(&mut self, server: usize) {
        self.servers[server].is_up = false;
        let now = self.now;
        let total = self.total;
        for i in 0..self.ranges.len() {
            if self.ranges[i].owner == Some(server) {
                self.ranges[i].owner = None;
                self.ranges[i].lost_owner = Some((now, server));
                let gap = self.load_of(i) / total * LOSS_GAP_MS;
                self.figures.gap_ms += gap;
                self.figures.loss_ms += gap;
            }
        }
    }

    /// Moves or assigns atoms `first..end`, which lie within one range. True: they changed owner.
    pub fn give(&mut self, first: usize, end: usize, to: usize) {
        let range = self.carve(first, end);
        let before = self.ranges[range].owner;
        let back = self.ranges[range]
            .lost_owner
            .as_ref()
            .is_some_and(|(_, s)| *s == to);
        if before == Some(to) {
            return;
        }
        let share = self.load_of(range) / self.total;
        if before.is_some() {
            self.figures.gap_ms += share * MOVE_GAP_MS;
        }
        if before.is_some() || !back {
            let keys: u64 = (first..end).map(|a| self.keys_of(a)).sum();
            self.figures.keys_moved += keys as f64 / self.size.keys as f64;
            self.figures.weight_moved += share;
        }
        let now = self.now;
        let range = &mut self.ranges[range];
        range.owner = Some(to);
        range.lost_owner = None;
        range.moved_at = Some(now);
    }

    /// Joins two neighbours with the same owner.
    pub fn merge(&mut self, first: usize, end: usize) {
        let at = self.ranges.partition_point(|r| r.first < first);
        let upper = at + 1;
        if upper < self.ranges.len()
            && self.ranges[at].owner == self.ranges[upper].owner
            && self.end_of(upper) == end
        {
            self.ranges.remove(upper);
        }
    }

    /// Ends a step: new measurements, and the figures of the step.
    pub fn end_step(&mut self) {
        let loads = self.server_loads();
        let total: f64 = self.load.iter().sum();
        self.total = total;
        let up: Vec<f64> = (0..loads.len())
            .filter(|i| self.servers[*i].is_up)
            .map(|i| loads[i])
            .collect();
        let mean = up.iter().sum::<f64>() / up.len().max(1) as f64;
        let max = up.iter().copied().fold(0.0, f64::max);
        let variance = up.iter().map(|l| (l - mean).powi(2)).sum::<f64>() / up.len().max(1) as f64;
        self.figures.steps += 1.0;
        self.figures.max_over_mean += max / mean;
        self.figures.variation += variance.sqrt() / mean;
        let over: f64 = up.iter().map(|l| (l - SLOTS).max(0.0)).sum();
        self.figures.overload_ms += over / total * STEP_MS as f64;
        let unowned = (0..self.ranges.len()).filter(|i| self.ranges[*i].owner.is_none());
        let waiting: f64 = unowned.map(|i| self.load_of(i)).sum();
        self.figures.gap_ms += waiting / total * STEP_MS as f64;
        self.note_hot(&loads, mean);
        for (measured, load) in self.measured.iter_mut().zip(&self.load) {
            let seen = load * self.noise.random_range(1.0 - NOISE..1.0 + NOISE);
            let change = seen - *measured;
            // A change that noise does not explain is taken at once.
            let is_jump = change.abs() > *measured * JUMP + JUMP_MIN;
            *measured += if is_jump { change } else { change * SMOOTHING };
        }
        self.now += Ms(STEP_MS);
    }

    /// A hot key is handled when its server has little excess, or has it alone.
    fn note_hot(&mut self, loads: &[f64], mean: f64) {
        let Some(since) = self.hot_since else {
            return;
        };
        let is_handled = |atom: &usize| {
            let range = self.ranges.partition_point(|r| r.first <= *atom) - 1;
            let owner = self.ranges[range].owner;
            owner.is_some_and(|o| loads[o] <= (mean * 1.25).max(self.load[*atom] * 1.05))
        };
        let spent = (self.now - since).0 as f64 / 1000.0;
        if self.hot.iter().all(is_handled) {
            self.hot_since = None;
        }
        self.figures.hot_handled_s = self.figures.hot_handled_s.max(spent);
    }

    fn server_loads(&self) -> Vec<f64> {
        let mut loads = vec![0.0; self.servers.len()];
        for (i, range) in self.ranges.iter().enumerate() {
            if let Some(owner) = range.owner {
                loads[owner] += self.load_of(i);
            }
        }
        loads
    }

    fn load_of(&self, range: usize) -> f64 {
        self.load[self.ranges[range].first..self.end_of(range)]
            .iter()
            .sum()
    }

    fn carve(&mut self, first: usize, end: usize) -> usize {
        self.split_at(end);
        self.split_at(first)
    }

    fn split_at(&mut self, atom: usize) -> usize {
        match self.ranges.binary_search_by(|r| r.first.cmp(&atom)) {
            Ok(i) => i,
            Err(i) if atom >= self.size.atoms => i,
            Err(i) => {
                let mut upper = self.ranges[i - 1].clone();
                upper.first = atom;
                self.ranges.insert(i, upper);
                i
            }
        }
    }
}
