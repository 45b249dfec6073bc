//! The report of a comparison: a CSV file and a self-contained HTML page with plots.

use std::collections::BTreeSet;
use std::ops::Range;
use std::path::Path;

use crate::chart::{
    self,
    ReportError, //
};
use crate::metrics::Row;

/// The loads on the x axis of the plots, as multiples of capacity.
const LOAD_RANGE: Range<f64> = 0.5..3.1;

/// Writes `policy.csv` and `policy.html` into a directory, which is created if it is missing.
///
/// # Errors
///
/// [`ReportError`] if a file cannot be written or a plot cannot be drawn.
pub fn write_report(dir: &Path, rows: &[Row]) -> Result<(), ReportError> {
    chart::save(dir, "policy", rows, &page(rows)?)
}

fn page(rows: &[Row]) -> Result<String, ReportError> {
    let undisturbed: Vec<_> = rows
        .iter()
        .filter(|row| row.disturbance == "none")
        .collect();
    let mut plots = String::new();
    let sites: BTreeSet<_> = rows.iter().map(|row| row.site.as_str()).collect();
    for site in sites {
        let of_site: Vec<_> = undisturbed
            .iter()
            .copied()
            .filter(|row| row.site == site)
            .collect();
        let points = |value: fn(&Row) -> f64| {
            let of_site = of_site.iter();
            of_site.map(move |row| (row.policy.as_str(), row.load, value(row)))
        };
        let title = format!("{site}: attainment of the highest tier");
        plots += &chart::plot(&title, points(|row| row.tier0), LOAD_RANGE, 1.0)?;
        let highest = of_site.iter().map(|row| row.goodput).fold(1.0, f64::max);
        let title = format!("{site}: good tokens a second");
        plots += &chart::plot(&title, points(|row| row.goodput), LOAD_RANGE, highest * 1.1)?;
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
