//! The report of a comparison: a CSV file and a self-contained HTML page with plots.

use std::collections::BTreeSet;
use std::path::Path;

use bench::ReportError;

use crate::metrics::Row;

/// Writes `engines.csv` and `engines.html` into a directory, which is created if it is missing.
///
/// # Errors
///
/// [`ReportError`] if a file cannot be written or a plot cannot be drawn.
pub fn write_report(dir: &Path, rows: &[Row]) -> Result<(), ReportError> {
    bench::save(dir, "engines", rows, &page(rows)?)
}

fn page(rows: &[Row]) -> Result<String, ReportError> {
    let mut plots = String::new();
    let span = 0.0..rows.iter().map(|row| row.load).fold(1.0, f64::max);
    let kind = |row: &Row| (row.workload.clone(), row.disturbance.clone());
    let kinds: BTreeSet<_> = rows.iter().map(kind).collect();
    for (workload, disturbance) in kinds {
        let selected: Vec<_> = rows
            .iter()
            .filter(|row| row.workload == workload && row.disturbance == disturbance)
            .collect();
        let points = |value: fn(&Row) -> f64| {
            let rows = selected.iter();
            rows.map(move |row| (row.policy.as_str(), row.load, value(row)))
        };
        let title = format!("{workload}, {disturbance}: share in aim");
        plots += &bench::plot(&title, points(|row| row.on_time), span.clone(), 1.0)?;
        let highest = selected
            .iter()
            .map(|row| row.recomputed_rate)
            .fold(1.0, f64::max);
        let title = format!("{workload}, {disturbance}: thousand tokens read again a second");
        plots += &bench::plot(
            &title,
            points(|row| row.recomputed_rate),
            span.clone(),
            highest * 1.1,
        )?;
    }
    let heads = Row::HEADS.join("<th>");
    let table_row = |row: &Row| format!("<tr><td>{}", row.cells().join("<td>"));
    let table: String = rows.iter().map(table_row).collect();
    Ok(format!(
        "<!doctype html><meta charset=utf-8><title>engines</title><style>body{{font:14px sans-serif}}\
         td,th{{padding:2px 8px;text-align:right}}</style><h1>Choice among engines</h1>{plots}<table>\
         <tr><th>{heads}{table}</table>"
    ))
}
