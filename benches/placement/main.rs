//! Decisions of the planner against baselines, over seeded histories of load.
//!
//! `cargo bench --bench placement -- [today|full] [HISTORY...] [SVG]` prints tables with ratios in one run.

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
const AGENCY: Weights = Weights {
    imbalance: 1,
    churn: 8,
    unavailable: 1,
};
const TAILORS: Weights = Weights {
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

/// Figures of one strategy over one history.
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
    let wants = |name: &str| args.is_empty() || args.iter().any(|a| a == name);
    let named = |h: &History| args.iter().any(|a| a.replace('-', " ") == h.name());
    let mut histories: Vec<History> = History::ALL.into_iter().filter(|h| named(h)).collect();
    if histories.is_empty() {
        histories = History::ALL.to_vec();
    }
    let mut sizes = Vec::new();
    if wants("today") {
        sizes.push((AGENCY_TODAY, [6, 30]));
        sizes.push((TAILORS_TODAY, [6, 30]));
    }
    if wants("full") {
        sizes.push((FULL, [600, 600]));
    }
    for (size, budgets) in sizes {
        let rows = run_size(size, budgets, &histories);
        print_totals(size, &rows);
        if let Some(path) = args.iter().find(|a| a.ends_with(".svg")) {
            let path = path.replace(".svg", &format!("-{}.svg", size.name.replace(' ', "-")));
            if let Err(e) = plot::draw(&path, size.name, &rows) {
                eprintln!("cannot draw {path}: {e}");
            }
        }
    }
}

fn run_size(size: Size, budgets: [u32; 2], histories: &[History]) -> Vec<Row> {
    print_head(size);
    let mut rows = Vec::new();
    for history in histories.iter().copied() {
        let strategies = [
            Strategy::Static,
            Strategy::hashing(size.servers),
            Strategy::Greedy,
            Strategy::planner("agency weights", AGENCY, budgets[0]),
            Strategy::planner("tailors weights", TAILORS, budgets[1]),
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
        // The ring is there from the start: its first placement is no churn.
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

fn print_head(size: Size) {
    println!(
        "\n## {}: {} servers, {} ranges, {} s\n",
        size.name, size.servers, size.ranges, size.seconds
    );
    println!("| history | strategy | max/mean | CoV | keys moved | load moved | gaps ms | of them losses ms | overload ms | hot handled s | plan ms |");
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
        f.weight_moved,
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
    weight: f64,
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
        weight: sum(|f| f.weight_moved),
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
    println!("| strategy | max/mean | CoV | keys moved | load moved | gaps ms | unavailable ms | agency: imbalance, keys, load | tailors: imbalance, gaps, unavailable, unavailable but losses |");
    println!("|---|---|---|---|---|---|---|---|---|");
    let (agency, tailors) = (total(rows, "agency weights"), total(rows, "tailors weights"));
    for strategy in ["static", "hashing", "greedy", "agency weights", "tailors weights"] {
        let t = total(rows, strategy);
        println!(
            "| {strategy} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} | {:.0} | {:.3}, {:.3}, {:.3} | {:.3}, {:.3}, {:.3}, {:.3} |",
            t.imbalance,
            t.variation,
            t.keys,
            t.weight,
            t.gaps,
            t.unavailable,
            agency.imbalance / t.imbalance,
            agency.keys / t.keys,
            agency.weight / t.weight,
            tailors.imbalance / t.imbalance,
            tailors.gaps / t.gaps,
            tailors.unavailable / t.unavailable,
            (tailors.unavailable - tailors.losses) / (t.unavailable - t.losses),
        );
    }
    let hot = rows.iter().map(|r| r.figures.hot_handled_s);
    let planner = rows
        .iter()
        .zip(hot)
        .filter(|(r, _)| r.strategy.ends_with("weights"));
    let slowest = planner.map(|(_, s)| s).fold(0.0, f64::max);
    println!("\nslowest hot keys of the planner: {slowest:.0} s");
}
