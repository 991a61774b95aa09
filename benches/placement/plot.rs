//! Draws the figures as SVG charts.

use {
    crate::{world::Figures, Row},
    plotters::prelude::*,
    std::error::Error,
};

const WIDTH: u32 = 1100;
const HEIGHT: u32 = 900;
const COLOURS: [RGBColor; 5] = [
    RGBColor(120, 120, 120),
    RGBColor(60, 120, 200),
    RGBColor(210, 80, 60),
    RGBColor(40, 150, 70),
    RGBColor(230, 150, 30),
];

/// Caption of a chart and the function that returns the figure it shows.
type Chart = (&'static str, fn(&Figures) -> f64);

const CHARTS: [Chart; 3] = [
    ("imbalance, max/mean", |f| f.max_over_mean / f.steps),
    ("churn, load moved", |f| f.load_moved),
    ("unavailable, ms", |f| f.gap_ms + f.overload_ms),
];

/// Draws the charts, each with one bar for each history and strategy.
///
/// # Errors
/// The file cannot be written, or a chart cannot be drawn.
pub fn draw(path: &str, title: &str, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let root = root.titled(&format!("Placement: {title}"), ("sans-serif", 24))?;
    for (area, (caption, measure)) in root.split_evenly((CHARTS.len(), 1)).iter().zip(CHARTS) {
        let max_value = rows.iter().map(|r| measure(&r.figures)).fold(0.0, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(caption, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..rows.len() as f64, 0.0..max_value * 1.05 + 0.001)?;
        let label = |x: &f64| {
            let row = rows.get(*x as usize + 2);
            row.map_or(String::new(), |r| r.history.to_owned())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(rows.len() / COLOURS.len() + 1)
            .x_label_formatter(&label)
            .draw()?;
        for (s, colour) in COLOURS.iter().enumerate() {
            let bars = rows
                .iter()
                .enumerate()
                .skip(s)
                .step_by(COLOURS.len())
                .map(|(i, row)| {
                    let corners = [(i as f64 + 0.1, 0.0), (i as f64 + 0.9, measure(&row.figures))];
                    Rectangle::new(corners, colour.filled())
                });
            let name = rows[s].strategy;
            chart
                .draw_series(bars)?
                .label(name)
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}
