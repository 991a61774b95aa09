//! The planner and the baseline strategies, which assign the ranges of a world to its servers.

use {
    crate::world::{World, SINGLE_KEY_INTERVAL, SLOTS},
    clementinefold::{
        clock::Ms,
        key::{Key, KeyRange},
        placement::{
            plan, Action, DomainUse, KeyLoad, LostOwner, PlannerState, RangeView, ServerView, ServiceView,
            Side, Snapshot,
        },
        schema::{LossPolicy, Weights},
    },
    rand::{rngs::SmallRng, RngCore, SeedableRng},
    std::time::Instant,
};

/// Points of each server on the hash ring of consistent hashing.
const RING_POINTS_PER_SERVER: usize = 64;
/// Maximum number of moves of the greedy baseline in one step, which bounds the run time of the bench.
const GREEDY_MOVES_MAX: usize = 500;
/// Minimum share of the load of its range at which a key is reported as a top key.
const TOP_KEY_SHARE_MIN: f64 = 0.2;
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
        let points = (0..servers * RING_POINTS_PER_SERVER).map(|i| (rng.next_u64(), i % servers));
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
        let elapsed_ms = start.elapsed().as_secs_f64() * 1000.0;
        if !matches!(self, Self::Planner(_)) {
            world.figures.plan_ms_max = world.figures.plan_ms_max.max(elapsed_ms);
        }
    }
}

fn assign_range(world: &mut World, range: usize, to: usize) {
    let (first, end) = (world.ranges[range].first, world.range_end(range));
    world.assign(first, end, to);
}

/// A range without an owner waits for its last server. Ranges change servers only for a split.
fn step_static(world: &mut World) {
    for range in 0..world.ranges.len() {
        match world.ranges[range].owner {
            None => {
                let lost = world.ranges[range].lost_owner.map(|(_, server)| server);
                if let Some(previous_owner) = lost.filter(|s| world.servers[*s].is_up) {
                    assign_range(world, range, previous_owner);
                }
            }
            Some(owner) => {
                let is_on_wrong_side = world.is_splitting
                    && world.servers[owner].is_second_half != world.is_range_in_second_half(range);
                if is_on_wrong_side {
                    let eligible: Vec<usize> = (0..world.servers.len())
                        .filter(|s| world.can_take(*s, range))
                        .collect();
                    assign_range(world, range, eligible[range % eligible.len()]);
                }
            }
        }
    }
}

fn step_hashing(ring: &[(u64, usize)], world: &mut World) {
    for range in 0..world.ranges.len() {
        let hash = SmallRng::seed_from_u64(world.ranges[range].first as u64).next_u64();
        let point_index = ring.partition_point(|(point, _)| *point < hash);
        let mut points = ring[point_index..].iter().chain(&ring[..point_index]);
        if let Some((_, server)) = points.find(|(_, s)| world.can_take(*s, range)) {
            assign_range(world, range, *server);
        }
    }
}

/// In every step, moves the best range from the most to the least loaded server until no move gains anything.
fn step_greedy(world: &mut World) {
    let count = world.servers.len();
    let loads: Vec<f64> = (0..world.ranges.len()).map(|r| world.measured_load(r)).collect();
    let mut server_loads = vec![0.0; count];
    let mut owned = vec![Vec::new(); count];
    for (r, range) in world.ranges.iter().enumerate() {
        if let Some(owner) = range.owner {
            server_loads[owner] += loads[r];
            owned[owner].push(r);
        }
    }
    let mut moves = Vec::new();
    let least_loaded = |server_loads: &[f64], world: &World, r: usize| {
        let eligible = (0..count).filter(|s| world.can_take(*s, r));
        eligible.min_by(|a, b| server_loads[*a].total_cmp(&server_loads[*b]))
    };
    for (r, load) in loads.iter().enumerate() {
        let must_move = match world.ranges[r].owner {
            None => true,
            Some(owner) => !world.can_take(owner, r),
        };
        if let Some(to) = least_loaded(&server_loads, world, r).filter(|_| must_move) {
            if let Some(owner) = world.ranges[r].owner {
                server_loads[owner] -= *load;
                owned[owner].retain(|p| *p != r);
            }
            server_loads[to] += *load;
            owned[to].push(r);
            moves.push((r, to));
        }
    }
    for _ in 0..GREEDY_MOVES_MAX {
        let Some(from) = (0..count).max_by(|a, b| server_loads[*a].total_cmp(&server_loads[*b])) else {
            break;
        };
        let Some(&first_range) = owned[from].first() else {
            break;
        };
        let Some(to) = least_loaded(&server_loads, world, first_range) else {
            break;
        };
        let load_difference = server_loads[from] - server_loads[to];
        let gain = |r: &usize| loads[*r].min(load_difference - loads[*r]);
        let is_useful = |r: &&usize| world.can_take(to, **r) && gain(r) > 1e-9;
        let best = owned[from]
            .iter()
            .filter(is_useful)
            .max_by(|a, b| gain(a).total_cmp(&gain(b)));
        let Some(&r) = best else {
            break;
        };
        server_loads[from] -= loads[r];
        server_loads[to] += loads[r];
        owned[from].retain(|p| *p != r);
        owned[to].push(r);
        moves.push((r, to));
    }
    for (r, to) in moves {
        assign_range(world, r, to);
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
        let servers_up: Vec<usize> = (0..world.servers.len())
            .filter(|i| world.servers[*i].is_up)
            .collect();
        let snapshot = self.snapshot(world, &servers_up);
        let start = Instant::now();
        let (decided, planner_state) = plan(&snapshot, &self.planner_state, SEED);
        let elapsed_ms = start.elapsed().as_secs_f64() * 1000.0;
        world.figures.plan_ms_max = world.figures.plan_ms_max.max(elapsed_ms);
        self.planner_state = planner_state;
        let end_atom = |span: &KeyRange| span.end.as_ref().map_or(world.size.atoms, atom_of);
        let mut assignments = Vec::new();
        for action in &decided.actions {
            match action {
                Action::Assign { span, to, .. } | Action::Move { span, to, .. } => {
                    assignments.push((atom_of(&span.start), end_atom(span), Some(servers_up[*to])));
                }
                Action::Merge { span, .. } => assignments.push((atom_of(&span.start), end_atom(span), None)),
            }
        }
        for (first, end, to) in assignments {
            match to {
                Some(to) => world.assign(first, end, to),
                None => world.merge(first, end),
            }
        }
    }

    fn snapshot(&self, world: &World, servers_up: &[usize]) -> Snapshot {
        let mut position = vec![None; world.servers.len()];
        for (i, server) in servers_up.iter().enumerate() {
            position[*server] = Some(i);
        }
        let side = |is_range_in_second_half: bool| {
            if is_range_in_second_half {
                Side::Second
            } else {
                Side::First
            }
        };
        let servers = servers_up.iter().map(|i| ServerView {
            session: *i as u64,
            address: String::new(),
            host: format!("h{i}"),
            failure_domain: format!("d{}", world.servers[*i].domain),
            slots: SLOTS as u32,
            cold_slots: None,
            is_draining: world.servers[*i].is_draining,
            domain_use: DomainUse::default(),
            side: Some(side(world.servers[*i].is_second_half)),
        });
        let ranges = (0..world.ranges.len()).map(|r| {
            let range = &world.ranges[r];
            let end = world.range_end(r);
            let load = world.measured_load(r);
            let single_keys =
                (range.first..end).filter(|a| a % SINGLE_KEY_INTERVAL == SINGLE_KEY_INTERVAL - 1);
            let heavy = single_keys
                .filter(|a| world.measured[*a] >= load * TOP_KEY_SHARE_MIN && end - range.first > 1);
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
                keys: (range.first..end).map(|a| world.key_count(a)).sum(),
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
                side: Some(side(world.is_range_in_second_half(r))),
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

/// Returns the key below which half of the load of the atoms `first..end` lies.
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
