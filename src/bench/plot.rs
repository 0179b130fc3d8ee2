//! SVG plots of reports that compare the policies of a run.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::load::BenchError;
use super::report::{Quantiles, RunReport};

const WIDTH: u32 = 900;
const HEIGHT: u32 = 520;
const FONT: (&str, u32) = ("sans-serif", 16);
/// Lower bound on plotted times; the logarithmic axis has no zero.
const MIN_PLOTTED_MS: f64 = 0.01;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Writes three plots for each combination of mix and load into a folder. Returns their number.
pub fn write_plots(folder: &Path, runs: &[RunReport]) -> Result<usize, BenchError> {
    let mut groups: BTreeMap<String, Vec<&RunReport>> = BTreeMap::new();
    for run in runs {
        let name = format!("{}-{:.0}", run.mix, run.load * 100.0);
        groups.entry(name).or_default().push(run);
    }
    std::fs::create_dir_all(folder).map_err(|error| write_error(folder, &error))?;
    for (name, runs) in &groups {
        let path = folder.join(format!("{name}-between-tokens.svg"));
        draw_quantile_curves(&path, "time between tokens", runs, |run| {
            &run.between_tokens
        })
        .map_err(|error| write_error(&path, &*error))?;
        let path = folder.join(format!("{name}-small-calls.svg"));
        draw_quantile_curves(&path, "small-call latency", runs, |run| &run.small_calls)
            .map_err(|error| write_error(&path, &*error))?;
        let path = folder.join(format!("{name}-memory.svg"));
        draw_memory(&path, runs).map_err(|error| write_error(&path, &*error))?;
    }
    Ok(groups.len() * 3)
}

fn write_error(path: &Path, error: &dyn std::error::Error) -> BenchError {
    BenchError(format!("cannot write {}: {error}", path.display()))
}

/// Draws times over quantiles. The x axis is the negative logarithm of the fraction of values above
/// a time, so that each further nine of the quantile takes the same width.
fn draw_quantile_curves(
    path: &Path,
    title: &str,
    runs: &[&RunReport],
    quantiles_of: impl Fn(&RunReport) -> &Quantiles,
) -> DrawResult {
    let root = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let points = runs.iter().flat_map(|run| &quantiles_of(run).curve);
    let max_ms = points.map(|(_, ms)| *ms).fold(1.0, f64::max);
    let min_ms = runs
        .iter()
        .flat_map(|run| &quantiles_of(run).curve)
        .map(|(_, ms)| ms.max(MIN_PLOTTED_MS))
        .fold(max_ms, f64::min);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, FONT)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..4.0, (min_ms * 0.9..max_ms * 1.2).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("quantile")
        .y_desc("ms")
        .x_labels(5)
        .x_label_formatter(&|nines| format!("{:.4}", 1.0 - 10f64.powf(-nines)))
        .draw()?;
    for (index, run) in runs.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = quantiles_of(run)
            .curve
            .iter()
            .map(|(tail, ms)| (-tail.log10(), ms.max(MIN_PLOTTED_MS)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(&run.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Draws the memory in use on each engine over time, with one panel for each policy.
fn draw_memory(path: &Path, runs: &[&RunReport]) -> DrawResult {
    let root = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, run) in root.split_evenly((1, runs.len())).iter().zip(runs) {
        draw_memory_panel(area, run)?;
    }
    root.present()?;
    Ok(())
}

#[allow(clippy::cast_precision_loss)]
fn draw_memory_panel(area: &Area<'_>, run: &RunReport) -> DrawResult {
    let end_s = run.memory.iter().map(|sample| sample.at_ms).max();
    let end_s = end_s.unwrap_or(1_000) as f64 / 1e3;
    let mut chart = ChartBuilder::on(area)
        .caption(format!("memory, {}", run.policy), FONT)
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end_s, 0.0..105.0)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("% of engine memory")
        .x_labels(5)
        .draw()?;
    let mut engines: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
    for sample in &run.memory {
        let used_percent = 100.0 * sample.used_tokens as f64 / sample.capacity_tokens.max(1) as f64;
        let points = engines.entry(sample.engine).or_default();
        points.push((sample.at_ms as f64 / 1e3, used_percent));
    }
    for (engine, points) in engines {
        chart.draw_series(LineSeries::new(points, Palette99::pick(engine)))?;
    }
    Ok(())
}
