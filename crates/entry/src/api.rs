//! The callers' interface: the model calls in the widely used JSON form, and plain services.

use std::collections::hash_map::DefaultHasher;
use std::hash::{
    Hash,
    Hasher, //
};

use conf::Method;
use edge::Exchange;
use fault::Kind;
use ids::{
    ClassName,
    ModelName,
    Tokens, //
};
use ledger::{
    Fingerprint,
    RequestKey, //
};
use route::RequestTarget;
use serde_json::{
    Map,
    Value, //
};
use wire::Call;

use crate::credential;

/// Bytes of text that are taken for one token when a prompt is sized up.
const BYTES_PER_TOKEN: u64 = 4;
/// How much of a prompt's beginning decides where its cache is likely to be, in bytes.
const PREFIX_BYTES: usize = 1024;
/// Body fields in which a key may come.
const KEY_FIELDS: [&str; 3] = ["api_key", "api-key", "key"];

/// What a caller wants.
#[derive(Debug)]
pub(crate) enum Wanted {
    /// The list of models.
    Models,
    /// Whether this host takes requests.
    Ready,
    /// A request to be routed.
    Request(Box<Ask>),
}

/// A request to be routed, free of the caller's key.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) asked: RequestTarget,
    pub(crate) class: Option<ClassName>,
    pub(crate) request: Option<RequestKey>,
    pub(crate) input: Tokens,
    pub(crate) prefix: Option<u64>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) stream: bool,
    pub(crate) call: Call,
}

impl TryFrom<&Exchange> for Wanted {
    type Error = Kind;

    fn try_from(exchange: &Exchange) -> Result<Self, Kind> {
        let path = exchange.head.uri.path();
        let method = exchange.head.method.as_str();
        let method: Method = method.parse().map_err(|_| Kind::MethodUnsupported)?;
        match (method, path) {
            (Method::Get, "/ready") => Ok(Self::Ready),
            (Method::Get, "/v1/models") => Ok(Self::Models),
            (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
                model_ask(exchange).map(|ask| Self::Request(Box::new(ask)))
            }
            (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models") => {
                Err(Kind::MethodUnsupported)
            }
            _ => service_ask(exchange, method).map(|ask| Self::Request(Box::new(ask))),
        }
    }
}

/// The body of a model call, free of the fields in which a key may come.
pub(crate) struct ModelBody {
    model: ModelName,
    prompt: String,
    stream: bool,
    text: Vec<u8>,
}

/// Reads the body of a model call.
///
/// # Errors
///
/// [`Kind::BodyInvalid`], or [`Kind::RouteUnknown`] for a model that cannot be.
pub(crate) fn read_model_body(bytes: &[u8]) -> Result<ModelBody, Kind> {
    let mut body: Map<String, Value> =
        serde_json::from_slice(bytes).map_err(|_| Kind::BodyInvalid)?;
    KEY_FIELDS.iter().for_each(|name| {
        body.remove(*name);
    });
    let model = body
        .get("model")
        .and_then(Value::as_str)
        .ok_or(Kind::BodyInvalid)?;
    let model = ModelName::try_from(model).map_err(|_| Kind::RouteUnknown)?;
    let prompt = body
        .get("messages")
        .or(body.get("prompt"))
        .ok_or(Kind::BodyInvalid)?;
    let prompt = prompt.to_string();
    let stream = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let text = serde_json::to_vec(&body).map_err(|_| Kind::BodyInvalid)?;
    credential::refuse_key(&text)?;
    refuse_escaped_key(&text)?;
    Ok(ModelBody {
        model,
        prompt,
        stream,
        text,
    })
}

fn model_ask(exchange: &Exchange) -> Result<Ask, Kind> {
    let ModelBody {
        model,
        prompt,
        stream,
        text,
    } = read_model_body(&exchange.body)?;
    let call = call(exchange, Method::Post, text)?;
    Ok(Ask {
        asked: RequestTarget::Model(model),
        class: wish(exchange)?,
        request: None,
        input: Tokens(prompt.len() as u64 / BYTES_PER_TOKEN + 1),
        prefix: Some(prefix_hash(&prompt)),
        fingerprint: fingerprint(&call),
        stream,
        call,
    })
}

fn service_ask(exchange: &Exchange, method: Method) -> Result<Ask, Kind> {
    let request = exchange
        .head
        .header("idempotency-key")
        .map(str::parse::<RequestKey>);
    let call = call(exchange, method, exchange.body.clone())?;
    Ok(Ask {
        asked: RequestTarget::Path(method, exchange.head.uri.path().to_owned()),
        class: wish(exchange)?,
        request: request.transpose().map_err(|_| Kind::BodyInvalid)?,
        input: Tokens(0),
        prefix: None,
        fingerprint: fingerprint(&call),
        stream: false,
        call,
    })
}

fn call(exchange: &Exchange, method: Method, body: Vec<u8>) -> Result<Call, Kind> {
    credential::refuse_key(&body)?;
    refuse_escaped_key(&body)?;
    Ok(Call {
        method,
        target: credential::pass_target(&exchange.head)?,
        headers: credential::pass_headers(&exchange.head)?,
        body,
    })
}

/// Refuses a JSON body in which a key's text is hidden by escapes.
fn refuse_escaped_key(body: &[u8]) -> Result<(), Kind> {
    if !body.windows(2).any(|pair| pair == br"\u") {
        return Ok(());
    }
    match serde_json::from_slice::<Value>(body) {
        Ok(value) => credential::refuse_key(value.to_string().as_bytes()),
        Err(_) => Ok(()),
    }
}

fn wish(exchange: &Exchange) -> Result<Option<ClassName>, Kind> {
    let wish = exchange.head.header("berg-class").map(ClassName::try_from);
    wish.transpose().map_err(|_| Kind::BodyInvalid)
}

fn prefix_hash(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    let end = prompt.len().min(PREFIX_BYTES);
    prompt.as_bytes()[..end].hash(&mut hasher);
    hasher.finish()
}

fn fingerprint(call: &Call) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [
        call.method.as_str().as_bytes(),
        call.target.as_bytes(),
        &call.body,
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Fingerprint(*hasher.finalize().as_bytes())
}
