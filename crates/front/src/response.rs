//! Builds responses to callers.

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

use crate::body::ResponseBody;

/// The front's own error response to a request that it rejects or that failed.
pub(crate) fn error_response(kind: Kind, retry_after: Duration) -> Response<ResponseBody> {
    let row = kind.response();
    let execution = row.execution.as_str();
    let body = format!(
        "{{\"error\":{{\"code\":\"{}\",\"message\":\"{}\",\"run\":\"{execution}\"}}}}",
        row.code, row.text
    );
    let mut response = complete_response(row.status, HeaderMap::new(), body.into());
    let fields = response.headers_mut();
    fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    fields.insert("berg-run", HeaderValue::from_static(execution));
    let retry_after = format!("{:.3}", retry_after.as_secs_f64());
    if let (true, Ok(value)) = (row.retry_after > 0, HeaderValue::from_str(&retry_after)) {
        fields.insert(RETRY_AFTER, value);
    }
    response
}

/// A response with a complete body.
pub(crate) fn complete_response(
    status: u16,
    headers: HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    with_body(status, headers, ResponseBody::Full(Some(body)))
}

/// A response with any body.
pub(crate) fn with_body(
    status: u16,
    headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = headers;
    response
}

/// An endpoint's header fields without the hop-by-hop fields, as they are forwarded to the caller.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut fields = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        fields.remove(name);
    }
    fields
}

/// Tells the caller to open a new connection for its next request.
pub(crate) fn close_after(response: &mut Response<ResponseBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}
