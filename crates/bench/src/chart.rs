//! Plots and files of reports.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::ops::Range;
use std::path::{
    Path,
    PathBuf, //
};

use plotters::prelude::*;
use serde::Serialize;

/// Why a report cannot be written.
#[derive(Debug)]
pub enum ReportError {
    /// A file cannot be written.
    File(PathBuf, String),
    /// A plot cannot be drawn.
    Plot(String),
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Plot(error) => write!(f, "plot: {error}"),
        }
    }
}

impl std::error::Error for ReportError {}

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (560, 320);

/// Writes `name.csv` with the rows and `name.html` with the page into a directory, which is created
/// if it is missing.
///
/// # Errors
///
/// [`ReportError::File`] if a file cannot be written.
pub fn save<R: Serialize>(
    dir: &Path,
    name: &str,
    rows: &[R],
    page: &str,
) -> Result<(), ReportError> {
    let path = dir.join(name).with_extension("csv");
    let error = |cause: &dyn fmt::Display| ReportError::File(path.clone(), cause.to_string());
    fs::create_dir_all(dir).map_err(|e| error(&e))?;
    let mut writer = csv::Writer::from_path(&path).map_err(|e| error(&e))?;
    rows.iter()
        .try_for_each(|row| writer.serialize(row))
        .map_err(|e| error(&e))?;
    writer.flush().map_err(|e| error(&e))?;
    let path = dir.join(name).with_extension("html");
    fs::write(&path, page).map_err(|e| ReportError::File(path.clone(), e.to_string()))
}

/// Draws a plot as SVG, with one line for each name. A point has a name, an x and a y value.
///
/// # Errors
///
/// [`ReportError::Plot`] if the plot cannot be drawn.
pub fn plot<'a>(
    title: &str,
    points: impl Iterator<Item = (&'a str, f64, f64)>,
    x_range: Range<f64>,
    y_max: f64,
) -> Result<String, ReportError> {
    let error = |cause: &dyn fmt::Display| ReportError::Plot(cause.to_string());
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for (name, x, y) in points {
        lines.entry(name).or_default().push((x, y));
    }
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| error(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(x_range, 0.0..y_max)
            .map_err(|e| error(&e))?;
        chart.configure_mesh().draw().map_err(|e| error(&e))?;
        for (n, (name, points)) in lines.into_iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let series = LineSeries::new(points, colour.stroke_width(2)).point_size(3);
            let drawn = chart.draw_series(series).map_err(|e| error(&e))?;
            drawn.label(name).legend(move |(x, y)| {
                PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2))
            });
        }
        let mut labels = chart.configure_series_labels();
        labels.border_style(BLACK).draw().map_err(|e| error(&e))?;
        area.present().map_err(|e| error(&e))?;
    }
    Ok(svg)
}
