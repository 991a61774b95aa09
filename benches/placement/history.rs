//! Seeded histories of load, losses and operators' commands.

use {
    crate::world::{Size, World, BASE_UTILISATION, SINGLE_KEY_INTERVAL, SLOTS},
    rand::{rngs::SmallRng, seq::index, Rng, SeedableRng},
};

/// Load of a hot key, in slots.
const HOT_LOAD_SLOTS: f64 = 5.0;
/// Maximum load of one key, in slots. A key cannot use more slots than its server has.
const KEY_LOAD_MAX_SLOTS: f64 = 6.0;
/// Time between two changes of the hot keys, in s.
const HOT_CHANGE_INTERVAL_S: u64 = 300;
/// Time of the first event of a history, in s.
const FIRST_EVENT_S: u64 = 300;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum History {
    Uniform,
    Zipf,
    MovingHotKeys,
    BankBatch,
    WeddingParty,
    ServerLost,
    DomainLostAndBack,
    Restarts,
    Split,
}

impl History {
    pub const ALL: [Self; 9] = [
        Self::Uniform,
        Self::Zipf,
        Self::MovingHotKeys,
        Self::BankBatch,
        Self::WeddingParty,
        Self::ServerLost,
        Self::DomainLostAndBack,
        Self::Restarts,
        Self::Split,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Uniform => "uniform",
            Self::Zipf => "zipf",
            Self::MovingHotKeys => "moving hot keys",
            Self::BankBatch => "bank batch",
            Self::WeddingParty => "wedding party",
            Self::ServerLost => "server lost",
            Self::DomainLostAndBack => "domain lost and back",
            Self::Restarts => "restarts",
            Self::Split => "split",
        }
    }

    /// Returns the load of each atom at the start.
    pub fn base_load(self, size: Size, seed: u64) -> Vec<f64> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let total = size.servers as f64 * SLOTS * BASE_UTILISATION;
        let uniform_load = total / size.atoms as f64;
        if self == Self::Uniform {
            return vec![uniform_load; size.atoms];
        }
        // Half of the load is uniform, half follows Zipf's law over the atoms in a random order.
        let order = index::sample(&mut rng, size.atoms, size.atoms);
        let harmonic: f64 = (1..=size.atoms).map(|rank| 1.0 / rank as f64).sum();
        let mut load = vec![uniform_load / 2.0; size.atoms];
        for (rank, atom) in order.into_iter().enumerate() {
            let zipf = total / 2.0 / harmonic / (rank + 1) as f64;
            load[atom] += zipf.min(KEY_LOAD_MAX_SLOTS);
        }
        load
    }

    /// Applies the events at `second` of the history.
    pub fn step(self, second: u64, world: &mut World, base: &[f64], rng: &mut SmallRng) {
        match self {
            Self::Uniform | Self::Zipf => {}
            Self::MovingHotKeys => {
                if second % HOT_CHANGE_INTERVAL_S == 0 {
                    let hot_atoms = random_single_keys(world.size, world.size.hot_keys, rng);
                    set_hot_load(world, base, hot_atoms, HOT_LOAD_SLOTS);
                }
            }
            Self::BankBatch => bank_batch(second, world, base, rng),
            Self::WeddingParty => wedding_party(second, world, base, rng),
            Self::ServerLost => match second {
                FIRST_EVENT_S => world.lose_server(1),
                600 => world.servers[1].is_up = true,
                _ => {}
            },
            Self::DomainLostAndBack => lose_domain(second, world),
            Self::Restarts => restart(second, world, rng),
            Self::Split => world.is_splitting = second >= FIRST_EVENT_S,
        }
    }
}

fn random_single_keys(size: Size, count: usize, rng: &mut SmallRng) -> Vec<usize> {
    let single_keys = size.atoms / SINGLE_KEY_INTERVAL;
    let indices = index::sample(rng, single_keys, count.min(single_keys));
    indices
        .into_iter()
        .map(|i| i * SINGLE_KEY_INTERVAL + SINGLE_KEY_INTERVAL - 1)
        .collect()
}

fn set_hot_load(world: &mut World, base: &[f64], hot_atoms: Vec<usize>, load: f64) {
    world.load.copy_from_slice(base);
    for atom in &hot_atoms {
        world.load[*atom] = load;
    }
    world.set_hot_atoms(hot_atoms);
}

/// The load of one key grows to half of a server's slots within a minute, and stays there for 14 minutes.
fn bank_batch(second: u64, world: &mut World, base: &[f64], rng: &mut SmallRng) {
    match second {
        FIRST_EVENT_S => {
            let hot_atoms = random_single_keys(world.size, 1, rng);
            world.set_hot_atoms(hot_atoms);
        }
        301..=360 => {
            let atom = world.hot_atoms[0];
            world.load[atom] = KEY_LOAD_MAX_SLOTS * (second - FIRST_EVENT_S) as f64 / 60.0;
        }
        1200 => set_hot_load(world, base, Vec::new(), 0.0),
        _ => {}
    }
}

/// Four neighbouring keys are hot for four minutes, twice.
fn wedding_party(second: u64, world: &mut World, base: &[f64], rng: &mut SmallRng) {
    match second {
        FIRST_EVENT_S | 900 => {
            let first =
                random_single_keys(world.size, 1, rng)[0].min(world.size.atoms - 4 * SINGLE_KEY_INTERVAL);
            let hot_atoms = (0..4).map(|i| {
                first / SINGLE_KEY_INTERVAL * SINGLE_KEY_INTERVAL
                    + i * SINGLE_KEY_INTERVAL
                    + SINGLE_KEY_INTERVAL
                    - 1
            });
            set_hot_load(world, base, hot_atoms.collect(), HOT_LOAD_SLOTS / 2.0);
        }
        540 | 1140 => set_hot_load(world, base, Vec::new(), 0.0),
        _ => {}
    }
}

fn lose_domain(second: u64, world: &mut World) {
    for server in 0..world.servers.len() {
        if world.servers[server].domain != 0 {
            continue;
        }
        match second {
            FIRST_EVENT_S => world.lose_server(server),
            420 => world.servers[server].is_up = true,
            _ => {}
        }
    }
}

/// Restarts a random server at regular intervals: it drains for 10 s and is down for 20 s.
fn restart(second: u64, world: &mut World, rng: &mut SmallRng) {
    let interval_s = 3600 / world.size.restarts_per_hour as u64;
    match second % interval_s {
        60 => {
            let server = rng.random_range(0..world.servers.len());
            world.servers[server].is_draining = true;
        }
        70 => {
            for server in 0..world.servers.len() {
                if world.servers[server].is_draining {
                    world.lose_server(server);
                }
            }
        }
        90 => {
            for server in &mut world.servers {
                server.is_up = true;
                server.is_draining = false;
            }
        }
        _ => {}
    }
}
