//! The planner and the baselines, each of which gives ranges to servers of a world.

use {
    crate::world::{World, SINGLE_EACH, SLOTS},
    clementinefold::{
        clock::Ms,
        key::{Key, KeyRange},
        placement::{
            plan, Action, KeyLoad, LostOwner, PlannerState, RangeView, ServerView, ServiceView, Side,
            Snapshot,
        },
        schema::{LossPolicy, Weights},
    },
    rand::{rngs::SmallRng, RngCore, SeedableRng},
    std::time::Instant,
};

/// Points of each server on the ring of consistent hashing.
const RING_POINTS: usize = 64;
/// Most moves of the greedy baseline in one step, which bounds the time of the bench.
const GREEDY_MOVES: usize = 500;
/// Least load of a key that is reported as a top key, as a part of its range.
const TOP_SHARE: f64 = 0.2;
const SEED: u64 = 7;

pub enum Strategy {
    Static,
    Hashing(Vec<(u64, usize)>),
    Greedy,
    Planner(Box<Planner>),
}

pub struct Planner {
    pub name: &'static str,
    pub weights: Weights,
    pub moves_per_minute: u32,
    planner_state: PlannerState,
}

impl Strategy {
    pub fn hashing(servers: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let points = (0..servers * RING_POINTS).map(|i| (rng.next_u64(), i % servers));
        let mut ring: Vec<_> = points.collect();
        ring.sort_unstable();
        Self::Hashing(ring)
    }

    pub fn planner(name: &'static str, weights: Weights, moves_per_minute: u32) -> Self {
        Self::Planner(Box::new(Planner {
            name,
            weights,
            moves_per_minute,
            planner_state: PlannerState::default(),
        }))
    }

    pub fn name(&self) -> &'static str {
        match self {
            Self::Static => "static",
            Self::Hashing(_) => "hashing",
            Self::Greedy => "greedy",
            Self::Planner(planner) => planner.name,
        }
    }

    pub fn step(&mut self, world: &mut World) {
        let start = Instant::now();
        match self {
            Self::Static => step_static(world),
            Self::Hashing(ring) => step_hashing(ring, world),
            Self::Greedy => step_greedy(world),
            Self::Planner(planner) => planner.step(world),
        }
        let spent = start.elapsed().as_secs_f64() * 1000.0;
        if !matches!(self, Self::Planner(_)) {
            world.figures.plan_ms_max = world.figures.plan_ms_max.max(spent);
        }
    }
}

fn give_range(world: &mut World, range: usize, to: usize) {
    let (first, end) = (world.ranges[range].first, world.end_of(range));
    world.give(first, end, to);
}

/// Ranges wait for their server, and change only for a split.
fn step_static(world: &mut World) {
    for range in 0..world.ranges.len() {
        match world.ranges[range].owner {
            None => {
                let lost = world.ranges[range].lost_owner.map(|(_, server)| server);
                if let Some(back) = lost.filter(|s| world.servers[*s].is_up) {
                    give_range(world, range, back);
                }
            }
            Some(owner) => {
                let wrong =
                    world.is_splitting && world.servers[owner].is_second_half != world.is_second(range);
                if wrong {
                    let homes: Vec<usize> = (0..world.servers.len())
                        .filter(|s| world.takes(*s, range))
                        .collect();
                    give_range(world, range, homes[range % homes.len()]);
                }
            }
        }
    }
}

fn step_hashing(ring: &[(u64, usize)], world: &mut World) {
    for range in 0..world.ranges.len() {
        let hash = SmallRng::seed_from_u64(world.ranges[range].first as u64).next_u64();
        let at = ring.partition_point(|(point, _)| *point < hash);
        let mut points = ring[at..].iter().chain(&ring[..at]);
        if let Some((_, server)) = points.find(|(_, s)| world.takes(*s, range)) {
            give_range(world, range, *server);
        }
    }
}

/// Takes the move with the most gain until there is none left, in every step.
fn step_greedy(world: &mut World) {
    let count = world.servers.len();
    let loads: Vec<f64> = (0..world.ranges.len()).map(|r| world.measured_of(r)).collect();
    let mut sums = vec![0.0; count];
    let mut owned = vec![Vec::new(); count];
    for (r, range) in world.ranges.iter().enumerate() {
        if let Some(owner) = range.owner {
            sums[owner] += loads[r];
            owned[owner].push(r);
        }
    }
    let mut moves = Vec::new();
    let least = |sums: &[f64], world: &World, r: usize| {
        let homes = (0..count).filter(|s| world.takes(*s, r));
        homes.min_by(|a, b| sums[*a].total_cmp(&sums[*b]))
    };
    for (r, load) in loads.iter().enumerate() {
        let must = match world.ranges[r].owner {
            None => true,
            Some(owner) => !world.takes(owner, r),
        };
        if let Some(to) = least(&sums, world, r).filter(|_| must) {
            if let Some(owner) = world.ranges[r].owner {
                sums[owner] -= *load;
                owned[owner].retain(|p| *p != r);
            }
            sums[to] += *load;
            owned[to].push(r);
            moves.push((r, to));
        }
    }
    for _ in 0..GREEDY_MOVES {
        let Some(from) = (0..count).max_by(|a, b| sums[*a].total_cmp(&sums[*b])) else {
            break;
        };
        let Some(&any) = owned[from].first() else {
            break;
        };
        let Some(to) = least(&sums, world, any) else {
            break;
        };
        let room = sums[from] - sums[to];
        let gain = |r: &usize| loads[*r].min(room - loads[*r]);
        let suits = |r: &&usize| world.takes(to, **r) && gain(r) > 1e-9;
        let best = owned[from]
            .iter()
            .filter(suits)
            .max_by(|a, b| gain(a).total_cmp(&gain(b)));
        let Some(&r) = best else {
            break;
        };
        sums[from] -= loads[r];
        sums[to] += loads[r];
        owned[from].retain(|p| *p != r);
        owned[to].push(r);
        moves.push((r, to));
    }
    for (r, to) in moves {
        give_range(world, r, to);
    }
}

fn key_of(atom: usize) -> Key {
    Key::new((atom as u64).to_be_bytes().to_vec())
}

/// Returns the first atom that starts at or after `key`.
fn atom_of(key: &Key) -> usize {
    let (head, tail) = key.as_bytes().split_at(key.as_bytes().len().min(8));
    let atom = head.iter().fold(0, |sum, byte| sum << 8 | usize::from(*byte));
    atom + usize::from(!tail.is_empty())
}

impl Planner {
    fn step(&mut self, world: &mut World) {
        let up: Vec<usize> = (0..world.servers.len())
            .filter(|i| world.servers[*i].is_up)
            .collect();
        let snapshot = self.snapshot(world, &up);
        let start = Instant::now();
        let (decided, planner_state) = plan(&snapshot, &self.planner_state, SEED);
        let spent = start.elapsed().as_secs_f64() * 1000.0;
        world.figures.plan_ms_max = world.figures.plan_ms_max.max(spent);
        self.planner_state = planner_state;
        let end_atom = |span: &KeyRange| span.end.as_ref().map_or(world.size.atoms, atom_of);
        let mut gives = Vec::new();
        for action in &decided.actions {
            match action {
                Action::Assign { span, to, .. } | Action::Move { span, to, .. } => {
                    gives.push((atom_of(&span.start), end_atom(span), Some(up[*to])));
                }
                Action::Merge { span, .. } => gives.push((atom_of(&span.start), end_atom(span), None)),
            }
        }
        for (first, end, to) in gives {
            match to {
                Some(to) => world.give(first, end, to),
                None => world.merge(first, end),
            }
        }
    }

    fn snapshot(&self, world: &World, up: &[usize]) -> Snapshot {
        let mut position = vec![None; world.servers.len()];
        for (i, server) in up.iter().enumerate() {
            position[*server] = Some(i);
        }
        let side = |is_second: bool| if is_second { Side::Second } else { Side::First };
        let servers = up.iter().map(|i| ServerView {
            session: *i as u64,
            address: String::new(),
            host: format!("h{i}"),
            failure_domain: format!("d{}", world.servers[*i].domain),
            slots: SLOTS as u32,
            is_draining: world.servers[*i].is_draining,
            side: Some(side(world.servers[*i].is_second_half)),
        });
        let ranges = (0..world.ranges.len()).map(|r| {
            let range = &world.ranges[r];
            let end = world.end_of(r);
            let load = world.measured_of(r);
            let singles = (range.first..end).filter(|a| a % SINGLE_EACH == SINGLE_EACH - 1);
            let heavy = singles.filter(|a| world.measured[*a] >= load * TOP_SHARE && end - range.first > 1);
            RangeView {
                span: KeyRange {
                    start: if r == 0 {
                        Key::default()
                    } else {
                        key_of(range.first)
                    },
                    end: (end < world.size.atoms).then(|| key_of(end)),
                },
                owner: range.owner.and_then(|o| position[o]),
                epoch: u64::from(range.owner.is_some()),
                load,
                keys: (range.first..end).map(|a| world.keys_of(a)).sum(),
                top: heavy
                    .map(|a| KeyLoad {
                        key: key_of(a),
                        load: world.measured[a],
                    })
                    .collect(),
                middle: middle(world, range.first, end, load),
                moved_at: range.moved_at,
                lost_owner: range.lost_owner.map(|(at, server)| LostOwner {
                    at,
                    host: format!("h{server}"),
                    failure_domain: format!("d{}", world.servers[server].domain),
                }),
                side: Some(side(world.is_second(r))),
                ..RangeView::default()
            }
        });
        let view = ServiceView {
            name: "keys".into(),
            weights: self.weights,
            moves_per_minute: self.moves_per_minute,
            settle: Ms(60_000),
            loss: LossPolicy::default(),
            is_splitting: world.is_splitting,
            servers: servers.collect(),
            ranges: ranges.collect(),
            ..ServiceView::default()
        };
        Snapshot {
            now: Ms(world.now.0),
            services: vec![view],
        }
    }
}

fn middle(world: &World, first: usize, end: usize, load: f64) -> Option<Key> {
    let mut below = 0.0;
    for atom in first..end.saturating_sub(1) {
        below += world.measured[atom];
        if below >= load / 2.0 {
            return Some(key_of(atom + 1));
        }
    }
    None
}
