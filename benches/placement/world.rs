//! Simulated keys, ranges and servers of one service, without hosts or messages.

use {
    clementinefold::clock::Ms,
    rand::{rngs::SmallRng, Rng, SeedableRng},
};

/// A change of more than this share of the load plus [`JUMP_MIN_SLOTS`] is too large for noise.
const JUMP_SHARE: f64 = 0.5;
const JUMP_MIN_SLOTS: f64 = 0.2;
/// Length of a step, in ms.
pub const STEP_MS: u64 = 1000;
/// Time for which the keys of a planned move are unavailable, in ms.
const MOVE_GAP_MS: f64 = 15.0;
/// Time until a loss is detected and its ranges are served elsewhere, in ms.
const LOSS_GAP_MS: f64 = 700.0;
/// Maximum relative error of one measurement.
const NOISE_SHARE_MAX: f64 = 0.1;
/// Weight of the newest measurement in the exponential moving average of a load.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Size of a simulated deployment.
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
/// Mean utilisation of the servers without hot keys.
pub const BASE_UTILISATION: f64 = 0.4;
/// Of each group of this many atoms, the last one is a single key and the others have many keys.
pub const SINGLE_KEY_INTERVAL: usize = 4;

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
    /// When it lost its owner, and which server that was. `None` if it has an owner.
    pub lost_owner: Option<(Ms, usize)>,
}

/// Sums over a whole run.
#[derive(Clone, Copy, Default)]
pub struct Figures {
    pub steps: f64,
    pub max_over_mean: f64,
    pub variation: f64,
    pub keys_moved: f64,
    pub load_moved: f64,
    /// Unavailable time by moves and losses, as a mean over the load, in ms.
    pub gap_ms: f64,
    /// Part of `gap_ms` until losses were detected, which no plan can change.
    pub loss_ms: f64,
    /// Time of load above the slots of its server, as a mean over the load, in ms.
    pub overload_ms: f64,
    pub plan_ms_max: f64,
    /// Longest time until all hot keys were on a server without excess, in s.
    pub hot_handled_s: f64,
}

/// State of the simulated service, with the sums of its figures.
pub struct World {
    pub size: Size,
    pub now: Ms,
    pub servers: Vec<WorldServer>,
    pub ranges: Vec<WorldRange>,
    /// True load of each atom, in slots.
    pub load: Vec<f64>,
    /// Smoothed measurement of the load of each atom, in slots.
    pub measured: Vec<f64>,
    pub hot_atoms: Vec<usize>,
    pub is_splitting: bool,
    pub figures: Figures,
    hot_since: Option<Ms>,
    noise_rng: SmallRng,
    /// Load of all keys at the last step, in slots.
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
            hot_atoms: Vec::new(),
            is_splitting: false,
            figures: Figures::default(),
            hot_since: None,
            noise_rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the number of keys of an atom.
    pub fn key_count(&self, atom: usize) -> u64 {
        if atom % SINGLE_KEY_INTERVAL == SINGLE_KEY_INTERVAL - 1 {
            return 1;
        }
        self.size.keys * SINGLE_KEY_INTERVAL as u64
            / (self.size.atoms as u64 * (SINGLE_KEY_INTERVAL as u64 - 1))
    }

    pub fn range_end(&self, range: usize) -> usize {
        self.ranges.get(range + 1).map_or(self.size.atoms, |r| r.first)
    }

    pub fn measured_load(&self, range: usize) -> f64 {
        self.measured[self.ranges[range].first..self.range_end(range)]
            .iter()
            .sum()
    }

    /// Returns whether a range belongs to the second half.
    pub fn is_range_in_second_half(&self, range: usize) -> bool {
        let second_half_servers = self.servers.iter().filter(|s| s.is_second_half).count();
        self.ranges[range].first
            >= self.size.atoms * (self.servers.len() - second_half_servers) / self.servers.len()
    }

    pub fn can_take(&self, server: usize, range: usize) -> bool {
        let s = &self.servers[server];
        s.is_up
            && !s.is_draining
            && (!self.is_splitting || s.is_second_half == self.is_range_in_second_half(range))
    }

    /// Sets the hot keys and starts to measure how long they are not handled.
    pub fn set_hot_atoms(&mut self, hot_atoms: Vec<usize>) {
        self.hot_atoms = hot_atoms;
        self.hot_since = Some(self.now);
    }

    pub fn lose_server(&mut self, server: usize) {
        self.servers[server].is_up = false;
        let now = self.now;
        let total = self.total;
        for i in 0..self.ranges.len() {
            if self.ranges[i].owner == Some(server) {
                self.ranges[i].owner = None;
                self.ranges[i].lost_owner = Some((now, server));
                let gap = self.true_load(i) / total * LOSS_GAP_MS;
                self.figures.gap_ms += gap;
                self.figures.loss_ms += gap;
            }
        }
    }

    /// Moves or assigns the atoms `first..end`, which lie within one range.
    pub fn assign(&mut self, first: usize, end: usize, to: usize) {
        let range = self.split_out(first, end);
        let before = self.ranges[range].owner;
        let is_return = self.ranges[range]
            .lost_owner
            .as_ref()
            .is_some_and(|(_, s)| *s == to);
        if before == Some(to) {
            return;
        }
        let share = self.true_load(range) / self.total;
        if before.is_some() {
            self.figures.gap_ms += share * MOVE_GAP_MS;
        }
        if before.is_some() || !is_return {
            let keys: u64 = (first..end).map(|a| self.key_count(a)).sum();
            self.figures.keys_moved += keys as f64 / self.size.keys as f64;
            self.figures.load_moved += share;
        }
        let now = self.now;
        let range = &mut self.ranges[range];
        range.owner = Some(to);
        range.lost_owner = None;
        range.moved_at = Some(now);
    }

    /// Joins the two neighbouring ranges with the atoms `first..end` if they have the same owner.
    pub fn merge(&mut self, first: usize, end: usize) {
        let at = self.ranges.partition_point(|r| r.first < first);
        let upper = at + 1;
        if upper < self.ranges.len()
            && self.ranges[at].owner == self.ranges[upper].owner
            && self.range_end(upper) == end
        {
            self.ranges.remove(upper);
        }
    }

    /// Ends a step: adds its figures and takes new measurements.
    pub fn end_step(&mut self) {
        let loads = self.server_loads();
        let total: f64 = self.load.iter().sum();
        self.total = total;
        let up_loads: Vec<f64> = (0..loads.len())
            .filter(|i| self.servers[*i].is_up)
            .map(|i| loads[i])
            .collect();
        let mean = up_loads.iter().sum::<f64>() / up_loads.len().max(1) as f64;
        let max = up_loads.iter().copied().fold(0.0, f64::max);
        let variance =
            up_loads.iter().map(|l| (l - mean).powi(2)).sum::<f64>() / up_loads.len().max(1) as f64;
        self.figures.steps += 1.0;
        self.figures.max_over_mean += max / mean;
        self.figures.variation += variance.sqrt() / mean;
        let overload: f64 = up_loads.iter().map(|l| (l - SLOTS).max(0.0)).sum();
        self.figures.overload_ms += overload / total * STEP_MS as f64;
        let unowned = (0..self.ranges.len()).filter(|i| self.ranges[*i].owner.is_none());
        let unowned_load: f64 = unowned.map(|i| self.true_load(i)).sum();
        self.figures.gap_ms += unowned_load / total * STEP_MS as f64;
        self.record_hot_handling(&loads, mean);
        for (measured, load) in self.measured.iter_mut().zip(&self.load) {
            let sample = load
                * self
                    .noise_rng
                    .random_range(1.0 - NOISE_SHARE_MAX..1.0 + NOISE_SHARE_MAX);
            let change = sample - *measured;
            // A change that noise does not explain is taken over unsmoothed.
            let is_jump = change.abs() > *measured * JUMP_SHARE + JUMP_MIN_SLOTS;
            *measured += if is_jump {
                change
            } else {
                change * SMOOTHING_FACTOR
            };
        }
        self.now += Ms(STEP_MS);
    }

    /// Records how long the present hot keys have not been handled. A hot key is handled when its server has little
    /// excess load or hardly any load but this key.
    fn record_hot_handling(&mut self, loads: &[f64], mean: f64) {
        let Some(since) = self.hot_since else {
            return;
        };
        let is_handled = |atom: &usize| {
            let range = self.ranges.partition_point(|r| r.first <= *atom) - 1;
            let owner = self.ranges[range].owner;
            owner.is_some_and(|o| loads[o] <= (mean * 1.25).max(self.load[*atom] * 1.05))
        };
        let elapsed_s = (self.now - since).0 as f64 / 1000.0;
        if self.hot_atoms.iter().all(is_handled) {
            self.hot_since = None;
        }
        self.figures.hot_handled_s = self.figures.hot_handled_s.max(elapsed_s);
    }

    fn server_loads(&self) -> Vec<f64> {
        let mut loads = vec![0.0; self.servers.len()];
        for (i, range) in self.ranges.iter().enumerate() {
            if let Some(owner) = range.owner {
                loads[owner] += self.true_load(i);
            }
        }
        loads
    }

    fn true_load(&self, range: usize) -> f64 {
        self.load[self.ranges[range].first..self.range_end(range)]
            .iter()
            .sum()
    }

    /// Makes the atoms `first..end` a range of their own and returns its position.
    fn split_out(&mut self, first: usize, end: usize) -> usize {
        self.split_at(end);
        self.split_at(first)
    }

    /// Makes a range start at `atom` and returns its position.
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
