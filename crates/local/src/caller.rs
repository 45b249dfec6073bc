//! A caller, as the demo and the soak need one.

use std::net::SocketAddr;
use std::time::Duration;

use edge::{
    CallError,
    ResponseReader,
    Target, //
};

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// What came back to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The `berg-run` field; empty on a regular answer.
    pub run: String,
    /// The body, as far as it came.
    pub body: String,
    /// In how many pieces it came.
    pub pieces: usize,
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
) -> Result<Answer, CallError> {
    let fields: Vec<_> = fields
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect();
    let request = edge::build_request(entry, "POST", path, &fields, body.into_bytes())?;
    let target = Target {
        address: entry,
        connect_timeout: PATIENCE,
        head_timeout: PATIENCE,
    };
    let mut link = ResponseReader::open(target, request)?;
    let run = link
        .headers
        .get("berg-run")
        .and_then(|value| value.to_str().ok());
    let run = run.unwrap_or_default().to_owned();
    let status = link.status;
    let (mut body, mut pieces) = (Vec::new(), 0);
    let complete = loop {
        match link.chunk() {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break true,
            Err(_) => break false,
        }
        pieces += 1;
    };
    Ok(Answer {
        status,
        run,
        body: String::from_utf8_lossy(&body).into_owned(),
        pieces,
        complete,
    })
}
