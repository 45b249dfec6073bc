//! What was measured, and its file.

use std::fs;
use std::path::Path;

use serde::Serialize;

use crate::fit::Fit;

/// One value at one size.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The size.
    pub x: f64,
    /// The value.
    pub y: f64,
}

/// Values at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// What was measured, with its unit.
    pub name: String,
    /// What the size is, with its unit.
    pub size: String,
    /// The values.
    pub samples: Vec<Sample>,
}

impl Series {
    /// An empty series.
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

    /// The line through the values.
    pub fn fit(&self) -> Fit {
        Fit::through(&self.samples)
    }
}

#[derive(Serialize)]
struct Line<'a> {
    name: &'a str,
    size: &'a str,
    x: f64,
    y: f64,
}

/// Writes series to a file, one value a line.
///
/// # Errors
///
/// A sentence naming the file.
pub fn write_csv(path: &Path, series: &[Series]) -> Result<(), String> {
    let fault = |fault: &dyn std::fmt::Display| format!("{}: {fault}", path.display());
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder).map_err(|f| fault(&f))?;
    }
    let mut writer = csv::Writer::from_path(path).map_err(|f| fault(&f))?;
    for series in series {
        for sample in &series.samples {
            let line = Line {
                name: &series.name,
                size: &series.size,
                x: sample.x,
                y: sample.y,
            };
            writer.serialize(line).map_err(|f| fault(&f))?;
        }
    }
    writer.flush().map_err(|f| fault(&f))
}
