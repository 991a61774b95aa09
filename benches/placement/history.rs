//! Seeded histories of load, losses and operators' commands.

use {
    crate::world::{Size, World, BASE_UTILISATION, SINGLE_EACH, SLOTS},
    rand::{rngs::SmallRng, seq::index, Rng, SeedableRng},
};

/// Load of a hot key, in slots.
const HOT_LOAD: f64 = 5.0;
/// Most load of one key, in slots: a key cannot have more than its server.
const KEY_LOAD_MAX: f64 = 6.0;
/// Time between two changes of the hottest keys, in s.
const HOT_EACH_S: u64 = 300;
/// First event of a history, in s.
const START_S: u64 = 300;

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
        let each = total / size.atoms as f64;
        if self == Self::Uniform {
            return vec![each; size.atoms];
        }
        // Half of the load is even, half follows Zipf's law over the atoms in a random order.
        let order = index::sample(&mut rng, size.atoms, size.atoms);
        let harmonic: f64 = (1..=size.atoms).map(|rank| 1.0 / rank as f64).sum();
        let mut load = vec![each / 2.0; size.atoms];
        for (rank, atom) in order.into_iter().enumerate() {
            let zipf = total / 2.0 / harmonic / (rank + 1) as f64;
            load[atom] += zipf.min(KEY_LOAD_MAX);
        }
        load
    }

    /// Does what happens at `second` of the history.
    pub fn step(self, second: u64, world: &mut World, base: &[f64], rng: &mut SmallRng) {
        match self {
            Self::Uniform | Self::Zipf => {}
            Self::MovingHotKeys => {
                if second % HOT_EACH_S == 0 {
                    let hot = random_keys(world.size, world.size.hot_keys, rng);
                    heat(world, base, hot, HOT_LOAD);
                }
            }
            Self::BankBatch => bank_batch(second, world, base, rng),
            Self::WeddingParty => wedding_party(second, world, base, rng),
            Self::ServerLost => match second {
                START_S => world.lose(1),
                600 => world.servers[1].is_up = true,
                _ => {}
            },
            Self::DomainLostAndBack => domain_lost(second, world),
            Self::Restarts => restart(second, world, rng),
            Self::Split => world.is_splitting = second >= START_S,
        }
    }
}

fn random_keys(size: Size, count: usize, rng: &mut SmallRng) -> Vec<usize> {
    let singles = size.atoms / SINGLE_EACH;
    let picked = index::sample(rng, singles, count.min(singles));
    picked
        .into_iter()
        .map(|i| i * SINGLE_EACH + SINGLE_EACH - 1)
        .collect()
}

fn heat(world: &mut World, base: &[f64], hot: Vec<usize>, load: f64) {
    world.load.copy_from_slice(base);
    for atom in &hot {
        world.load[*atom] = load;
    }
    world.set_hot(hot);
}

/// One key gets most of a server's slots within a minute, and keeps them for a quarter of an hour.
fn bank_batch(second: u64, world: &mut World, base: &[f64], rng: &mut SmallRng) {
    match second {
        START_S => {
            let hot = random_keys(world.size, 1, rng);
            world.set_hot(hot);
        }
        301..=360 => {
            let atom = world.hot[0];
            world.load[atom] = KEY_LOAD_MAX * (second - START_S) as f64 / 60.0;
        }
        1200 => heat(world, base, Vec::new(), 0.0),
        _ => {}
    }
}

/// Four neighbours are read by many for four minutes, twice.
fn wedding_party(second: u64, world: &mut World, base: &[f64], rng: &mut SmallRng) {
    match second {
        START_S | 900 => {
            let first = random_keys(world.size, 1, rng)[0].min(world.size.atoms - 4 * SINGLE_EACH);
            let hot = (0..4).map(|i| first / SINGLE_EACH * SINGLE_EACH + i * SINGLE_EACH + SINGLE_EACH - 1);
            heat(world, base, hot.collect(), HOT_LOAD / 2.0);
        }
        540 | 1140 => heat(world, base, Vec::new(), 0.0),
        _ => {}
    }
}

fn domain_lost(second: u64, world: &mut World) {
    for server in 0..world.servers.len() {
        if world.servers[server].domain != 0 {
            continue;
        }
        match second {
            START_S => world.lose(server),
            420 => world.servers[server].is_up = true,
            _ => {}
        }
    }
}

/// A restart is announced, drains for 10 s and takes 20 s.
fn restart(second: u64, world: &mut World, rng: &mut SmallRng) {
    let each = 3600 / world.size.restarts_per_hour as u64;
    match second % each {
        60 => {
            let server = rng.random_range(0..world.servers.len());
            world.servers[server].is_draining = true;
        }
        70 => {
            for server in 0..world.servers.len() {
                if world.servers[server].is_draining {
                    world.lose(server);
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
