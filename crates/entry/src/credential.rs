//! Finds the caller's API key in a request, and keeps keys out of everything that is forwarded.

use edge::Head;
use fault::Kind;
use ids::Secret;

/// Header fields in which client libraries send an API key.
const KEY_FIELDS: [&str; 3] = ["authorization", "x-api-key", "api-key"];
/// Query parameters in which client libraries send an API key.
const KEY_PARAMETERS: [&str; 3] = ["api_key", "api-key", "key"];
/// Header fields that may contain credentials and are never forwarded.
const DROPPED_FIELDS: [&str; 6] = [
    "authorization",
    "x-api-key",
    "api-key",
    "cookie",
    "proxy-authorization",
    "set-cookie",
];

/// Finds the caller's API key. Header fields take precedence over query parameters.
///
/// # Errors
///
/// [`Kind::KeyInvalid`] if a field or parameter for an API key does not contain a valid one.
pub(crate) fn find(head: &Head) -> Result<Option<Secret>, Kind> {
    let field = KEY_FIELDS.iter().find_map(|name| head.header(name));
    let query = || {
        let pairs = head.uri.query().unwrap_or_default().split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(name, _)| KEY_PARAMETERS.contains(name))
            .map(|(_, value)| value)
    };
    let Some(text) = field.or_else(query) else {
        return Ok(None);
    };
    let text = text
        .strip_prefix("Bearer ")
        .or(text.strip_prefix("bearer "))
        .unwrap_or(text);
    text.trim().parse().map(Some).map_err(|_| Kind::KeyInvalid)
}

/// Returns the header fields to forward: all except hop-by-hop fields, credentials and this
/// router's own `berg-` fields.
///
/// # Errors
///
/// [`Kind::KeyInBody`] if a forwarded field contains an API key, [`Kind::BodyInvalid`] if its value is
/// not ASCII text.
pub(crate) fn forwarded_headers(head: &Head) -> Result<Vec<(String, String)>, Kind> {
    let mut forwarded = Vec::new();
    for (name, value) in &head.headers {
        let hop_by_hop = edge::HOP_BY_HOP_HEADERS.contains(&name.as_str());
        let internal = name.as_str().starts_with("berg-");
        if hop_by_hop || internal || DROPPED_FIELDS.contains(&name.as_str()) {
            continue;
        }
        reject_key(value.as_bytes())?;
        let Ok(value) = value.to_str() else {
            return Err(Kind::BodyInvalid);
        };
        forwarded.push((name.as_str().to_owned(), value.to_owned()));
    }
    Ok(forwarded)
}

/// Returns the path and query to forward, without the parameters in which an API key is sent.
///
/// # Errors
///
/// [`Kind::KeyInBody`] if the result contains an API key, plain or percent-encoded.
pub(crate) fn forwarded_target(head: &Head) -> Result<String, Kind> {
    let path = head.uri.path();
    let pairs = head.uri.query().unwrap_or_default().split('&');
    let kept: Vec<_> = pairs
        .filter(|pair| {
            let name = pair.split_once('=').map_or(*pair, |(name, _)| name);
            !pair.is_empty() && !KEY_PARAMETERS.contains(&name)
        })
        .collect();
    let target = if kept.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{}", kept.join("&"))
    };
    reject_key(target.as_bytes())?;
    reject_key(&percent_decoded(&target))?;
    Ok(target)
}

/// Rejects bytes that contain an API key, so that no key is forwarded to an endpoint.
///
/// # Errors
///
/// [`Kind::KeyInBody`] if the bytes contain an API key.
pub(crate) fn reject_key(bytes: &[u8]) -> Result<(), Kind> {
    match Secret::find(bytes) {
        Some(_) => Err(Kind::KeyInBody),
        None => Ok(()),
    }
}

/// Decodes percent-encoded bytes. Invalid escapes stay as they are.
fn percent_decoded(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut offset = 0;
    while offset < bytes.len() {
        let hex = bytes
            .get(offset + 1..offset + 3)
            .filter(|_| bytes[offset] == b'%');
        let byte = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match byte.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                offset += 3;
            }
            None => {
                decoded.push(bytes[offset]);
                offset += 1;
            }
        }
    }
    decoded
}
