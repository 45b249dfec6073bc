//! Answers of the entry itself, in the form that callers' libraries know.

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

/// The header field that says whether a request without a regular answer ran.
const RUN_FIELD: HeaderName = HeaderName::from_static("berg-run");

/// The error object for a kind.
pub(crate) fn error_object(kind: Kind) -> Value {
    let answer = kind.response();
    json!({"error": {
        "message": answer.text,
        "type": error_type(answer.status),
        "param": null,
        "code": answer.code,
        "run": answer.execution.as_str(),
    }})
}

/// Refuses a request.
pub(crate) fn refuse(exchange: Exchange, kind: Kind) {
    let answer = kind.response();
    let mut headers = json_headers();
    headers.insert(
        RUN_FIELD,
        HeaderValue::from_static(answer.execution.as_str()),
    );
    if answer.retry_after_s > 0 {
        headers.insert(RETRY_AFTER, HeaderValue::from(answer.retry_after_s));
    }
    exchange.reply(
        answer.status,
        headers,
        error_object(kind).to_string().into_bytes(),
    );
}

/// Answers with a JSON value.
pub(crate) fn json(exchange: Exchange, status: u16, value: &Value) {
    exchange.reply(status, json_headers(), value.to_string().into_bytes());
}

/// Header fields from an endpoint, as far as they may be passed on.
pub(crate) fn pass_back(fields: &[(String, String)]) -> HeaderMap {
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

/// The event that ends a broken stream.
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
