//! The report: CSV beside a self-contained HTML page with plots.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::path::Path;

use bench::ReportError;

use crate::score::Row;

/// Writes `engines.csv` and `engines.html` into a folder.
///
/// # Errors
///
/// [`ReportError`], with the file.
pub fn write_report(folder: &Path, rows: &[Row]) -> Result<(), ReportError> {
    bench::save(folder, "engines", rows, &page(rows)?)
}

fn page(rows: &[Row]) -> Result<String, ReportError> {
    let mut plots = String::new();
    let troubles: BTreeSet<_> = rows.iter().map(|row| row.trouble.as_str()).collect();
    for trouble in troubles {
        let of: Vec<_> = rows.iter().filter(|row| row.trouble == trouble).collect();
        plots += &plot(&format!("{trouble}: share in aim"), &of, 1.0, |row| {
            row.in_aim
        })?;
        let most = of.iter().map(|row| row.again_k_s).fold(1.0, f64::max);
        let title = format!("{trouble}: thousand tokens read again a second");
        plots += &plot(&title, &of, most * 1.1, |row| row.again_k_s)?;
    }
    let cells = |row: &Row| {
        format!(
            "<tr><td>{}<td>{}<td>{}<td>{:.3}<td>{:.3}<td>{:.3}<td>{:.3}<td>{:.0}<td>{:.0}<td>{:.1}\
             <td>{:.2}",
            row.load,
            row.trouble,
            row.policy,
            row.in_aim,
            row.late,
            row.refused,
            row.failed,
            row.p50_ms,
            row.p99_ms,
            row.again_k_s,
            row.between_mb_s
        )
    };
    let table: String = rows.iter().map(cells).collect();
    Ok(format!(
        "<!doctype html><meta charset=utf-8><title>engines</title><style>body{{font:14px sans-serif}}\
         td,th{{padding:2px 8px;text-align:right}}</style><h1>Choice among engines</h1>{plots}<table>\
         <tr><th>load<th>trouble<th>policy<th>in aim<th>late<th>refused<th>failed<th>p50 ms\
         <th>p99 ms<th>read again, k/s<th>between zones, MB/s{table}</table>"
    ))
}

fn plot(
    title: &str,
    rows: &[&Row],
    top: f64,
    value: impl Fn(&Row) -> f64,
) -> Result<String, ReportError> {
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows {
        let line = lines.entry(&row.policy).or_default();
        line.push((row.load, value(row)));
    }
    let most = rows.iter().map(|row| row.load).fold(1.0, f64::max);
    bench::plot(title, lines, 0.0..most, top)
}
