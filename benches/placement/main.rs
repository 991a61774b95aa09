//! Compares the planner with baseline strategies over seeded histories of load.
//!
//! `cargo bench --bench placement -- [today|full] [HISTORY...] [SVG]` prints tables with the figures of all
//! strategies and their ratios in one run, and draws charts if an SVG file is given.

mod history;
mod plot;
mod strategy;
mod world;

use {
    clementinefold::schema::Weights,
    history::History,
    rand::{rngs::SmallRng, SeedableRng},
    strategy::Strategy,
    world::{Figures, Size, World},
};

const SEED: u64 = 42;
const AGENCY_WEIGHTS: Weights = Weights {
    imbalance: 1,
    churn: 8,
    unavailable: 1,
};
const TAILORS_WEIGHTS: Weights = Weights {
    imbalance: 2,
    churn: 1,
    unavailable: 8,
};
const AGENCY_TODAY: Size = Size {
    name: "agency today",
    servers: 5,
    domains: 3,
    keys: 1_000_000,
    atoms: 800,
    ranges: 80,
    hot_keys: 3,
    restarts_per_hour: 5,
    seconds: 1800,
};
const TAILORS_TODAY: Size = Size {
    name: "tailors today",
    servers: 3,
    domains: 3,
    keys: 100_000,
    atoms: 480,
    ranges: 48,
    hot_keys: 2,
    restarts_per_hour: 3,
    seconds: 1800,
};
const FULL: Size = Size {
    name: "full",
    servers: 4400,
    domains: 14,
    keys: 4_700_000_000,
    atoms: 422_400,
    ranges: 105_600,
    hot_keys: 120,
    restarts_per_hour: 20,
    seconds: 480,
};

/// Figures of one strategy for one history.
pub struct Row {
    pub history: &'static str,
    pub strategy: &'static str,
    pub figures: Figures,
}

fn main() {
    let args: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with("--"))
        .collect();
    let is_size_wanted = |name: &str| args.is_empty() || args.iter().any(|a| a == name);
    let is_named = |h: &History| args.iter().any(|a| a.replace('-', " ") == h.name());
    let mut histories: Vec<History> = History::ALL.into_iter().filter(|h| is_named(h)).collect();
    if histories.is_empty() {
        histories = History::ALL.to_vec();
    }
    let mut sizes = Vec::new();
    if is_size_wanted("today") {
        sizes.push((AGENCY_TODAY, [6, 30]));
        sizes.push((TAILORS_TODAY, [6, 30]));
    }
    if is_size_wanted("full") {
        sizes.push((FULL, [600, 600]));
    }
    for (size, moves_per_minute) in sizes {
        let rows = run_size(size, moves_per_minute, &histories);
        print_totals(size, &rows);
        if let Some(path) = args.iter().find(|a| a.ends_with(".svg")) {
            let path = path.replace(".svg", &format!("-{}.svg", size.name.replace(' ', "-")));
            if let Err(e) = plot::draw(&path, size.name, &rows) {
                eprintln!("cannot draw {path}: {e}");
            }
        }
    }
}

fn run_size(size: Size, moves_per_minute: [u32; 2], histories: &[History]) -> Vec<Row> {
    print_header(size);
    let mut rows = Vec::new();
    for history in histories.iter().copied() {
        let strategies = [
            Strategy::Static,
            Strategy::hashing(size.servers),
            Strategy::Greedy,
            Strategy::planner("agency weights", AGENCY_WEIGHTS, moves_per_minute[0]),
            Strategy::planner("tailors weights", TAILORS_WEIGHTS, moves_per_minute[1]),
        ];
        for strategy in strategies {
            let row = run(size, history, strategy);
            print_row(&row);
            rows.push(row);
        }
    }
    rows
}

fn run(size: Size, history: History, mut strategy: Strategy) -> Row {
    let base = history.base_load(size, SEED);
    let mut world = World::new(size, base.clone(), SEED);
    let mut rng = SmallRng::seed_from_u64(SEED);
    if matches!(strategy, Strategy::Hashing(_)) {
        // Consistent hashing starts from its own placement, so its first assignments do not count as churn.
        strategy.step(&mut world);
        world.figures = Figures::default();
    }
    for second in 1..=size.seconds {
        history.step(second, &mut world, &base, &mut rng);
        world.end_step();
        strategy.step(&mut world);
    }
    Row {
        history: history.name(),
        strategy: strategy.name(),
        figures: world.figures,
    }
}

fn print_header(size: Size) {
    println!(
        "\n## {}: {} servers, {} ranges, {} s\n",
        size.name, size.servers, size.ranges, size.seconds
    );
    println!("| history | strategy | max/mean | CoV | keys moved | load moved | gaps ms | of which losses ms | overload ms | hot handled s | plan ms |");
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
}

fn print_row(row: &Row) {
    let f = row.figures;
    println!(
        "| {} | {} | {:.3} | {:.3} | {:.4} | {:.4} | {:.1} | {:.1} | {:.0} | {:.0} | {:.1} |",
        row.history,
        row.strategy,
        f.max_over_mean / f.steps,
        f.variation / f.steps,
        f.keys_moved,
        f.load_moved,
        f.gap_ms,
        f.loss_ms,
        f.overload_ms,
        f.hot_handled_s,
        f.plan_ms_max,
    );
}

/// Figures of one strategy over all histories.
struct Total {
    imbalance: f64,
    variation: f64,
    keys: f64,
    load: f64,
    gaps: f64,
    unavailable: f64,
    losses: f64,
}

fn total(rows: &[Row], strategy: &str) -> Total {
    let rows: Vec<&Row> = rows.iter().filter(|r| r.strategy == strategy).collect();
    let sum = |f: fn(&Figures) -> f64| rows.iter().map(|r| f(&r.figures)).sum::<f64>();
    let count = rows.len() as f64;
    Total {
        imbalance: sum(|f| f.max_over_mean / f.steps) / count,
        variation: sum(|f| f.variation / f.steps) / count,
        keys: sum(|f| f.keys_moved),
        load: sum(|f| f.load_moved),
        gaps: sum(|f| f.gap_ms),
        unavailable: sum(|f| f.gap_ms + f.overload_ms),
        losses: sum(|f| f.loss_ms),
    }
}

fn print_totals(size: Size, rows: &[Row]) {
    println!(
        "\n### {}: all histories together, and ratios of the planner to each baseline",
        size.name
    );
    println!("| strategy | max/mean | CoV | keys moved | load moved | gaps ms | unavailable ms | agency: imbalance, keys, load | tailors: imbalance, gaps, unavailable, unavailable without losses |");
    println!("|---|---|---|---|---|---|---|---|---|");
    let (agency, tailors) = (total(rows, "agency weights"), total(rows, "tailors weights"));
    for strategy in ["static", "hashing", "greedy", "agency weights", "tailors weights"] {
        let t = total(rows, strategy);
        println!(
            "| {strategy} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} | {:.0} | {:.3}, {:.3}, {:.3} | {:.3}, {:.3}, {:.3}, {:.3} |",
            t.imbalance,
            t.variation,
            t.keys,
            t.load,
            t.gaps,
            t.unavailable,
            agency.imbalance / t.imbalance,
            agency.keys / t.keys,
            agency.load / t.load,
            tailors.imbalance / t.imbalance,
            tailors.gaps / t.gaps,
            tailors.unavailable / t.unavailable,
            (tailors.unavailable - tailors.losses) / (t.unavailable - t.losses),
        );
    }
    let hot_seconds = rows.iter().map(|r| r.figures.hot_handled_s);
    let planner_seconds = rows
        .iter()
        .zip(hot_seconds)
        .filter(|(r, _)| r.strategy.ends_with("weights"));
    let slowest = planner_seconds.map(|(_, s)| s).fold(0.0, f64::max);
    println!("\nslowest hot keys of the planner: {slowest:.0} s");
}
