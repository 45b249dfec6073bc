//! Prints the timeline of one request from log files.

use std::fs;
use std::io::{
    self,
    Read, //
};
use std::path::{
    Path,
    PathBuf, //
};

use ops::{
    Timeline,
    explain, //
};
use serde_json::json;

use crate::flags::Explain;

/// Why no timeline can be printed.
#[derive(Debug)]
pub(crate) enum ExplainError {
    /// A log file cannot be read.
    File(PathBuf, io::Error),
    /// No log line is about the request.
    UnknownRequest(String),
}

impl std::fmt::Display for ExplainError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::File(path, error) => write!(f, "{}: cannot be read: {error}", path.display()),
            Self::UnknownRequest(request) => write!(f, "no log line is about request {request:?}"),
        }
    }
}

impl std::error::Error for ExplainError {}

/// Reads the log files, or standard input if no file is given, and prints the timeline.
pub(crate) fn run(args: &Explain, as_json: bool) -> Result<(), ExplainError> {
    let mut text = String::new();
    if args.log.is_empty() {
        let stdin = io::stdin().read_to_string(&mut text);
        stdin.map_err(|error| ExplainError::File(PathBuf::from("standard input"), error))?;
    }
    for path in &args.log {
        text.push_str(&read(path)?);
        text.push('\n');
    }
    let timeline = explain(text.lines(), &args.request);
    if timeline.lines.is_empty() {
        return Err(ExplainError::UnknownRequest(args.request.clone()));
    }
    print(&timeline, as_json);
    Ok(())
}

fn read(path: &Path) -> Result<String, ExplainError> {
    fs::read_to_string(path).map_err(|error| ExplainError::File(path.to_owned(), error))
}

fn print(timeline: &Timeline, as_json: bool) {
    for line in &timeline.lines {
        let fields = line.fields.join(" ");
        if as_json {
            let object = json!({
                "time": line.time, "host": line.host, "event": line.event, "text": line.text,
                "fields": line.fields, "own": line.about_request,
            });
            println!("{object}");
        } else {
            let mark = if line.about_request { '>' } else { ' ' };
            println!(
                "{mark} {} {} {} {} {fields}",
                line.time, line.host, line.event, line.text
            );
        }
    }
    if timeline.skipped > 0 {
        eprintln!(
            "berg: skipped {} lines without a JSON object",
            timeline.skipped
        );
    }
}
