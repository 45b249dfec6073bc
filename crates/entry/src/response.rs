//! Responses that the entry itself generates, in the JSON form that common client libraries parse.

use edge::Exchange;
use fault::Kind;
use oxhttp::model::header::{
    CONTENT_TYPE,
    RETRY_AFTER, //
};
use oxhttp::model::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};
use serde_json::{
    Value,
    json, //
};

/// Header field of an error response that states whether the request was executed.
const EXECUTION_HEADER: HeaderName = HeaderName::from_static("berg-run");

/// Returns the JSON error object for an error kind.
pub(crate) fn error_object(kind: Kind) -> Value {
    let response = kind.response();
    json!({"error": {
        "message": response.text,
        "type": error_type(response.status),
        "param": null,
        "code": response.code,
        "run": response.execution.as_str(),
    }})
}

/// Sends an error response.
pub(crate) fn send_error(exchange: Exchange, kind: Kind) {
    let response = kind.response();
    let mut headers = json_headers();
    headers.insert(
        EXECUTION_HEADER,
        HeaderValue::from_static(response.execution.as_str()),
    );
    if response.retry_after > 0 {
        headers.insert(RETRY_AFTER, HeaderValue::from(response.retry_after));
    }
    exchange.reply(
        response.status,
        headers,
        error_object(kind).to_string().into_bytes(),
    );
}

/// Sends a response with a JSON body.
pub(crate) fn send_json(exchange: Exchange, status: u16, value: &Value) {
    exchange.reply(status, json_headers(), value.to_string().into_bytes());
}

/// Returns the header fields of an endpoint's response that are forwarded to the caller: all valid
/// ones except hop-by-hop fields.
pub(crate) fn forwarded_headers(fields: &[(String, String)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        if edge::HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let name = HeaderName::try_from(name.as_str());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value.as_str())) {
            headers.append(name, value);
        }
    }
    headers
}

/// Returns the server-sent event that ends a stream after a failure.
pub(crate) fn error_event(kind: Kind) -> Vec<u8> {
    format!("data: {}\n\n", error_object(kind)).into_bytes()
}

fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}

fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        403 => "permission_error",
        404 => "not_found_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
