//! The report: CSV beside a self-contained HTML page with plots.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::{
    Path,
    PathBuf, //
};

use plotters::prelude::*;

use crate::score::Row;

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

/// Writes `policy.csv` and `policy.html` into a folder.
///
/// # Errors
///
/// [`ReportError`], with the file.
pub fn write_report(folder: &Path, rows: &[Row]) -> Result<(), ReportError> {
    let csv_path = folder.join("policy.csv");
    let fault = |fault: &dyn fmt::Display| ReportError::File(csv_path.clone(), fault.to_string());
    fs::create_dir_all(folder).map_err(|f| fault(&f))?;
    let mut writer = csv::Writer::from_path(&csv_path).map_err(|f| fault(&f))?;
    rows.iter()
        .try_for_each(|row| writer.serialize(row))
        .map_err(|f| fault(&f))?;
    writer.flush().map_err(|f| fault(&f))?;
    let page = page(rows)?;
    let path = folder.join("policy.html");
    fs::write(&path, page).map_err(|f| ReportError::File(path.clone(), f.to_string()))
}

fn page(rows: &[Row]) -> Result<String, ReportError> {
    let calm: Vec<_> = rows
        .iter()
        .filter(|row| row.disturbance == "none")
        .collect();
    let mut plots = String::new();
    let sites: std::collections::BTreeSet<_> = rows.iter().map(|row| row.site.as_str()).collect();
    for site in sites {
        let of_site: Vec<_> = calm
            .iter()
            .copied()
            .filter(|row| row.site == site)
            .collect();
        let title = format!("{site}: attainment of the highest tier");
        plots += &plot(&title, &of_site, 1.0, |row| row.tier0)?;
        let most = of_site.iter().map(|row| row.goodput).fold(1.0, f64::max);
        let title = format!("{site}: good tokens a second");
        plots += &plot(&title, &of_site, most * 1.1, |row| row.goodput)?;
    }
    let mut table = String::new();
    for row in rows {
        table += &format!(
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{:.3}<td>{:.3}<td>{:.3}<td>{:.3}<td>{:.3}<td>{:.0}\
             <td>{:.4}<td>{:.2}<td>{}<td>{:.2}<td>{}",
            row.site,
            row.load,
            row.disturbance,
            row.policy,
            row.tier0,
            row.tier1,
            row.tier2,
            row.tier3,
            row.served3,
            row.goodput,
            row.wasted,
            row.worst,
            row.broken,
            row.cost,
            row.violations
        );
    }
    Ok(format!(
        "<!doctype html><meta charset=utf-8><title>policy</title><style>body{{font:14px sans-serif}}\
         td,th{{padding:2px 8px;text-align:right}}</style><h1>Policy under load</h1>{plots}<table>\
         <tr><th>site<th>load<th>disturbance<th>policy<th>tier 0<th>tier 1<th>tier 2<th>tier 3\
         <th>tier 3 served<th>goodput<th>wasted<th>worst account<th>broken<th>cost<th>violations\
         {table}</table>"
    ))
}

fn plot(
    title: &str,
    rows: &[&Row],
    top: f64,
    value: impl Fn(&Row) -> f64,
) -> Result<String, ReportError> {
    let fault = |fault: &dyn fmt::Display| ReportError::Plot(fault.to_string());
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows {
        lines
            .entry(&row.policy)
            .or_default()
            .push((row.load, value(row)));
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
            .build_cartesian_2d(0.5..3.1, 0.0..top)
            .map_err(|f| fault(&f))?;
        chart.configure_mesh().draw().map_err(|f| fault(&f))?;
        for (n, (policy, points)) in lines.into_iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let series = LineSeries::new(points, colour.stroke_width(2)).point_size(3);
            let drawn = chart.draw_series(series).map_err(|f| fault(&f))?;
            drawn.label(policy).legend(move |(x, y)| {
                PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2))
            });
        }
        let mut labels = chart.configure_series_labels();
        labels.border_style(BLACK).draw().map_err(|f| fault(&f))?;
        area.present().map_err(|f| fault(&f))?;
    }
    Ok(svg)
}
