//! A caller, as the demo and the soak need one.

use std::net::SocketAddr;
use std::time::Duration;

use edge::{
    CallError,
    Link,
    Target, //
};

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// What came back to a call.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The `berg-run` field; empty on a regular answer.
    pub execution: String,
    /// The body, as far as it came.
    pub body: String,
    /// In how many pieces it came.
    pub chunks: usize,
    /// Whether the body came to its regular end.
    pub complete: bool,
}

/// Posts to an entry and reads the answer.
///
/// # Errors
///
/// [`CallError`], if no answer begins.
pub fn post(
    entry: SocketAddr,
    path: &str,
    fields: &[(&str, &str)],
    body: String,
) -> Result<Response, CallError> {
    let fields: Vec<_> = fields
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect();
    let request = edge::request(entry, "POST", path, &fields, body.into_bytes())?;
    let target = Target {
        address: entry,
        connect: PATIENCE,
        first: PATIENCE,
    };
    let mut link = Link::open(target, request)?;
    let execution = link
        .headers
        .get("berg-run")
        .and_then(|value| value.to_str().ok());
    let execution = execution.unwrap_or_default().to_owned();
    let status = link.status;
    let (mut body, mut chunks) = (Vec::new(), 0);
    let complete = loop {
        match link.piece() {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break true,
            Err(_) => break false,
        }
        chunks += 1;
    };
    Ok(Response {
        status,
        execution,
        body: String::from_utf8_lossy(&body).into_owned(),
        chunks,
        complete,
    })
}
