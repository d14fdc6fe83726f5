//! Attainment as a plot.

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::Rectangle;
use plotters::style::Color;
use plotters::style::HSLColor;
use plotters::style::WHITE;

use crate::experiment::Outcome;
use crate::experiment::Variant;

/// Attainment of every policy in every cell as bars, in SVG; none if it could
/// not be drawn.
pub fn plot(outcomes: &[Outcome]) -> Option<String> {
    let per_variant = outcomes.len() / Variant::ALL.len();
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (1_000, 400)).into_drawing_area();
        root.fill(&WHITE).ok()?;
        let width = per_variant * (Variant::ALL.len() + 1);
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(0)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..width as f64, 0.0..100.0)
            .ok()?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .y_desc("attainment %")
            .draw()
            .ok()?;
        let bars = outcomes.iter().enumerate().map(|(i, o)| {
            let (variant, cell) = (i / per_variant, i % per_variant);
            let x = (cell * (Variant::ALL.len() + 1) + variant) as f64;
            let hue = variant as f64 / Variant::ALL.len() as f64;
            Rectangle::new(
                [(x, 0.0), (x + 0.9, o.attainment)],
                HSLColor(hue, 0.6, 0.5).filled(),
            )
        });
        chart.draw_series(bars).ok()?;
        root.present().ok()?;
    }
    Some(svg)
}
