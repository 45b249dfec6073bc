//! Plots and files of a report.

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
            Self::File(path, fault) => write!(f, "{}: {fault}", path.display()),
            Self::Plot(fault) => write!(f, "plot: {fault}"),
        }
    }
}

impl std::error::Error for ReportError {}

/// Size of one plot, in pixels.
const PLOT: (u32, u32) = (560, 320);

/// Writes `name.csv` with the rows and `name.html` with the page into a folder.
///
/// # Errors
///
/// [`ReportError::File`].
pub fn save<R: Serialize>(
    folder: &Path,
    name: &str,
    rows: &[R],
    page: &str,
) -> Result<(), ReportError> {
    let path = folder.join(name).with_extension("csv");
    let fault = |fault: &dyn fmt::Display| ReportError::File(path.clone(), fault.to_string());
    fs::create_dir_all(folder).map_err(|f| fault(&f))?;
    let mut writer = csv::Writer::from_path(&path).map_err(|f| fault(&f))?;
    rows.iter()
        .try_for_each(|row| writer.serialize(row))
        .map_err(|f| fault(&f))?;
    writer.flush().map_err(|f| fault(&f))?;
    let path = folder.join(name).with_extension("html");
    fs::write(&path, page).map_err(|f| ReportError::File(path.clone(), f.to_string()))
}

/// One plot as SVG: a line for each name, from points of a name, a place and a value.
///
/// # Errors
///
/// [`ReportError::Plot`].
pub fn plot<'a>(
    title: &str,
    points: impl Iterator<Item = (&'a str, f64, f64)>,
    span: Range<f64>,
    top: f64,
) -> Result<String, ReportError> {
    let fault = |fault: &dyn fmt::Display| ReportError::Plot(fault.to_string());
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for (name, x, y) in points {
        lines.entry(name).or_default().push((x, y));
    }
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT).into_drawing_area();
        area.fill(&WHITE).map_err(|f| fault(&f))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(span, 0.0..top)
            .map_err(|f| fault(&f))?;
        chart.configure_mesh().draw().map_err(|f| fault(&f))?;
        for (n, (name, points)) in lines.into_iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let series = LineSeries::new(points, colour.stroke_width(2)).point_size(3);
            let drawn = chart.draw_series(series).map_err(|f| fault(&f))?;
            drawn.label(name).legend(move |(x, y)| {
                PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2))
            });
        }
        let mut labels = chart.configure_series_labels();
        labels.border_style(BLACK).draw().map_err(|f| fault(&f))?;
        area.present().map_err(|f| fault(&f))?;
    }
    Ok(svg)
}
