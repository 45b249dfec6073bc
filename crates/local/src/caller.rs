//! A minimal HTTP client for the demo and the soak test.

use std::net::SocketAddr;
use std::time::Duration;

use edge::{
    CallError,
    ResponseReader,
    Target, //
};

/// Timeout of the connection and of the first byte of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A response from an entry.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The `berg-run` header, which states whether a failed request was executed; empty on success.
    pub execution: String,
    /// The part of the body that was received.
    pub body: String,
    /// Number of chunks received.
    pub chunks: usize,
    /// Whether the body was received completely.
    pub complete: bool,
}

/// Sends a POST request to an entry and reads the response.
///
/// # Errors
///
/// [`CallError`] if no response is received.
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
    let request = edge::build_request(entry, "POST", path, &fields, body.into_bytes())?;
    let target = Target {
        address: entry,
        connect_timeout: RESPONSE_TIMEOUT,
        head_timeout: RESPONSE_TIMEOUT,
    };
    let mut reader = ResponseReader::open(target, request)?;
    let execution = reader
        .headers
        .get("berg-run")
        .and_then(|value| value.to_str().ok());
    let execution = execution.unwrap_or_default().to_owned();
    let status = reader.status;
    let (mut body, mut chunks) = (Vec::new(), 0);
    let complete = loop {
        match reader.chunk() {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
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
