//! The caller's key: found where callers put it, and kept from everything that leaves.

use edge::Head;
use fault::Kind;
use ids::Secret;

/// Header fields in which a key may come.
const KEY_FIELDS: [&str; 3] = ["authorization", "x-api-key", "api-key"];
/// Query parameters in which a key may come.
const KEY_PARAMETERS: [&str; 3] = ["api_key", "api-key", "key"];
/// Header fields that may hold credentials and are never passed on.
const DROPPED_FIELDS: [&str; 6] = [
    "authorization",
    "x-api-key",
    "api-key",
    "cookie",
    "proxy-authorization",
    "set-cookie",
];

/// Finds the caller's key. Header fields go before the query.
///
/// # Errors
///
/// [`Kind::KeyInvalid`] if something stands where a key belongs and is none.
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

/// The header fields that may be passed on.
///
/// # Errors
///
/// [`Kind::KeyInBody`] if a key's text stands in one of them.
pub(crate) fn pass_headers(head: &Head) -> Result<Vec<(String, String)>, Kind> {
    let mut passed = Vec::new();
    for (name, value) in &head.headers {
        let hop = edge::HOP_BY_HOP_HEADERS.contains(&name.as_str());
        let own = name.as_str().starts_with("berg-");
        if hop || own || DROPPED_FIELDS.contains(&name.as_str()) {
            continue;
        }
        refuse_key(value.as_bytes())?;
        let Ok(value) = value.to_str() else {
            return Err(Kind::BodyInvalid);
        };
        passed.push((name.as_str().to_owned(), value.to_owned()));
    }
    Ok(passed)
}

/// Path and query without the parameters in which a key may come.
///
/// # Errors
///
/// [`Kind::KeyInBody`] if a key's text stands elsewhere in them.
pub(crate) fn pass_target(head: &Head) -> Result<String, Kind> {
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
    refuse_key(target.as_bytes())?;
    refuse_key(&percent_decoded(&target))?;
    Ok(target)
}

/// Refuses bytes that hold a key's text.
///
/// # Errors
///
/// [`Kind::KeyInBody`].
pub(crate) fn refuse_key(bytes: &[u8]) -> Result<(), Kind> {
    match Secret::find(bytes) {
        Some(_) => Err(Kind::KeyInBody),
        None => Ok(()),
    }
}

fn percent_decoded(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let byte = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match byte.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    decoded
}
