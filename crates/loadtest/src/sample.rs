//! Series of measured values, and their CSV file.

use std::fs;
use std::path::Path;

use serde::Serialize;

use crate::fit::Fit;

/// One measured value.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The size at which the value was measured.
    pub x: f64,
    /// The measured value.
    pub y: f64,
}

/// Measured values at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// What was measured, with its unit.
    pub name: String,
    /// What the size counts or measures, with its unit.
    pub size: String,
    /// The values.
    pub samples: Vec<Sample>,
}

impl Series {
    /// Creates an empty series.
    pub fn new(name: &str, size: &str) -> Self {
        Self {
            name: name.to_owned(),
            size: size.to_owned(),
            samples: Vec::new(),
        }
    }

    /// Adds a value.
    pub fn push(&mut self, x: f64, y: f64) {
        self.samples.push(Sample { x, y });
    }

    /// Fits a line through the values.
    pub fn fit(&self) -> Fit {
        Fit::through(&self.samples)
    }
}

/// A row of the CSV file.
#[derive(Serialize)]
struct CsvRow<'a> {
    name: &'a str,
    size: &'a str,
    x: f64,
    y: f64,
}

/// Writes series to a CSV file with one row for each value. Creates missing directories.
///
/// # Errors
///
/// A message with the path if the file cannot be written.
pub fn write_csv(path: &Path, series: &[Series]) -> Result<(), String> {
    let error = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    if let Some(dir) = path.parent() {
        fs::create_dir_all(dir).map_err(|e| error(&e))?;
    }
    let mut writer = csv::Writer::from_path(path).map_err(|e| error(&e))?;
    for series in series {
        for sample in &series.samples {
            let row = CsvRow {
                name: &series.name,
                size: &series.size,
                x: sample.x,
                y: sample.y,
            };
            writer.serialize(row).map_err(|e| error(&e))?;
        }
    }
    writer.flush().map_err(|e| error(&e))
}
