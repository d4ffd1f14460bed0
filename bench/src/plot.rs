//! Plots of latency by quantile.

use std::path::Path;

use plotters::prelude::*;

use crate::Error;
use crate::report::{Curve, Report};

/// Width and height of the plot of one experiment, in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Lowest latency on the plot, in milliseconds; lower ones are drawn here because the
/// axis is logarithmic.
const MIN_LATENCY_MS: f64 = 0.01;

/// Draws one plot per experiment, one below the other, into an SVG file. Writes no file
/// when there are no curves.
pub(crate) fn draw(report: &Report, path: &Path) -> Result<(), Error> {
    let drawn: Vec<_> = report
        .experiments
        .iter()
        .filter(|experiment| !experiment.curves.is_empty())
        .collect();
    if drawn.is_empty() {
        return Ok(());
    }
    let parts = drawn.len();
    let height = SIZE.1 * u32::try_from(parts)?;
    let root = SVGBackend::new(path, (SIZE.0, height)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, experiment) in root.split_evenly((parts, 1)).iter().zip(drawn) {
        draw_curves(area, &experiment.name, &experiment.curves)?;
    }
    root.present()?;
    Ok(())
}

fn draw_curves(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    curves: &[Curve],
) -> Result<(), Error> {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let max_ms = points().map(|(_, ms)| *ms).fold(1.0, f64::max);
    let min_ms = points()
        .map(|(_, ms)| ms.max(MIN_LATENCY_MS))
        .fold(max_ms, f64::min);
    let nines = |share: f64| -(1.0 - share).log10();
    let max_nines = points().map(|(share, _)| nines(*share)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_nines, (min_ms * 0.8..max_ms * 1.2).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("share of calls, in nines")
        .y_desc("latency in milliseconds")
        .draw()?;
    for (number, curve) in curves.iter().enumerate() {
        let colour = Palette99::pick(number).mix(0.9);
        let line = curve
            .points
            .iter()
            .map(|(share, ms)| (nines(*share), ms.max(MIN_LATENCY_MS)));
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))?
            .label(curve.name.clone())
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
