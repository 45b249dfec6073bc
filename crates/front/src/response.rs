//! The front's own answers.

use std::time::Duration;

use edge::HOP_BY_HOP_HEADERS;
use fault::Kind;
use hyper::body::Bytes;
use hyper::header::{
    CONNECTION,
    CONTENT_TYPE,
    HeaderValue,
    RETRY_AFTER, //
};
use hyper::{
    HeaderMap,
    Response,
    StatusCode, //
};

use crate::body::Flow;

/// An answer of the front's own to a request that it refuses or that failed.
pub(crate) fn refusal(kind: Kind, wait: Duration) -> Response<Flow> {
    let row = kind.response();
    let run = row.execution.as_str();
    let body = format!(
        "{{\"error\":{{\"code\":\"{}\",\"message\":\"{}\",\"run\":\"{run}\"}}}}",
        row.code, row.text
    );
    let mut response = whole(row.status, HeaderMap::new(), body.into());
    let fields = response.headers_mut();
    fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    fields.insert("berg-run", HeaderValue::from_static(run));
    let wait = format!("{:.3}", wait.as_secs_f64());
    if let (true, Ok(wait)) = (row.retry_after_s > 0, HeaderValue::from_str(&wait)) {
        fields.insert(RETRY_AFTER, wait);
    }
    response
}

/// An answer with a whole body.
pub(crate) fn whole(status: u16, headers: HeaderMap, body: Bytes) -> Response<Flow> {
    with_body(status, headers, Flow::Full(Some(body)))
}

/// An answer with any body.
pub(crate) fn with_body(status: u16, headers: HeaderMap, body: Flow) -> Response<Flow> {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = headers;
    response
}

/// An endpoint's header fields as they are passed on: without those of its connection.
pub(crate) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut fields = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        fields.remove(name);
    }
    fields
}

/// Asks the caller to open a new connection for its next request.
pub(crate) fn close_after(response: &mut Response<Flow>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}
