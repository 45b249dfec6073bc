//! Parses callers' requests: model requests in the OpenAI-compatible JSON form, and requests to plain
//! HTTP services.

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
use wire::EndpointRequest;

use crate::credential;

/// Bytes of prompt text per token, for the estimate of the input tokens.
const BYTES_PER_TOKEN: u64 = 4;
/// Length of the prompt prefix that is hashed for prefix cache affinity, in bytes.
const PREFIX_BYTES: usize = 1024;
/// JSON body fields in which client libraries send an API key.
const KEY_FIELDS: [&str; 3] = ["api_key", "api-key", "key"];

/// A parsed request of a caller.
#[derive(Debug)]
pub(crate) enum ClientRequest {
    /// A request for the list of models that the caller's key may use.
    ListModels,
    /// A readiness check.
    Ready,
    /// A request that is routed and forwarded to an endpoint.
    Proxy(Box<ProxyRequest>),
}

/// A request to be forwarded to an endpoint. It contains no API key.
#[derive(Debug)]
pub(crate) struct ProxyRequest {
    pub(crate) target: RequestTarget,
    /// The class that the caller requests.
    pub(crate) class: Option<ClassName>,
    /// The caller's idempotency key.
    pub(crate) request_key: Option<RequestKey>,
    /// Estimated number of input tokens; 0 for a plain service.
    pub(crate) input_tokens: Tokens,
    /// Hash of the prompt's prefix; none for a plain service.
    pub(crate) prefix_hash: Option<u64>,
    /// Digest of the forwarded request. It shows whether an idempotency key is reused for another
    /// request.
    pub(crate) fingerprint: Fingerprint,
    /// Whether the caller requests a streamed response.
    pub(crate) stream: bool,
    /// The request in the form that is sent to the endpoint.
    pub(crate) endpoint_request: EndpointRequest,
}

impl TryFrom<&Exchange> for ClientRequest {
    type Error = Kind;

    fn try_from(exchange: &Exchange) -> Result<Self, Kind> {
        let path = exchange.head.uri.path();
        let method = exchange.head.method.as_str();
        let method: Method = method.parse().map_err(|_| Kind::MethodUnsupported)?;
        match (method, path) {
            (Method::Get, "/ready") => Ok(Self::Ready),
            (Method::Get, "/v1/models") => Ok(Self::ListModels),
            (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
                parse_model_request(exchange).map(|request| Self::Proxy(Box::new(request)))
            }
            (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models") => {
                Err(Kind::MethodUnsupported)
            }
            _ => parse_service_request(exchange, method)
                .map(|request| Self::Proxy(Box::new(request))),
        }
    }
}

/// The parsed body of a model request, without the fields that may contain an API key.
pub(crate) struct ModelBody {
    model: ModelName,
    /// The prompt or the list of messages, in JSON.
    prompt: String,
    stream: bool,
    /// The body in JSON, as it is forwarded.
    json: Vec<u8>,
}

/// Parses the body of a model request.
///
/// # Errors
///
/// - [`Kind::BodyInvalid`] if the body is not a JSON object with a model and a prompt.
/// - [`Kind::RouteUnknown`] if the model's name is invalid.
/// - [`Kind::KeyInBody`] if the body contains an API key outside the fields in which clients send one.
pub(crate) fn parse_model_body(bytes: &[u8]) -> Result<ModelBody, Kind> {
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
    let json = serde_json::to_vec(&body).map_err(|_| Kind::BodyInvalid)?;
    credential::reject_key(&json)?;
    reject_escaped_key(&json)?;
    Ok(ModelBody {
        model,
        prompt,
        stream,
        json,
    })
}

fn parse_model_request(exchange: &Exchange) -> Result<ProxyRequest, Kind> {
    let ModelBody {
        model,
        prompt,
        stream,
        json,
    } = parse_model_body(&exchange.body)?;
    let endpoint_request = sanitized_request(exchange, Method::Post, json)?;
    Ok(ProxyRequest {
        target: RequestTarget::Model(model),
        class: requested_class(exchange)?,
        request_key: None,
        input_tokens: Tokens(prompt.len() as u64 / BYTES_PER_TOKEN + 1),
        prefix_hash: Some(prefix_hash(&prompt)),
        fingerprint: fingerprint(&endpoint_request),
        stream,
        endpoint_request,
    })
}

fn parse_service_request(exchange: &Exchange, method: Method) -> Result<ProxyRequest, Kind> {
    let request_key = exchange
        .head
        .header("idempotency-key")
        .map(str::parse::<RequestKey>);
    let endpoint_request = sanitized_request(exchange, method, exchange.body.clone())?;
    Ok(ProxyRequest {
        target: RequestTarget::Path(method, exchange.head.uri.path().to_owned()),
        class: requested_class(exchange)?,
        request_key: request_key.transpose().map_err(|_| Kind::BodyInvalid)?,
        input_tokens: Tokens(0),
        prefix_hash: None,
        fingerprint: fingerprint(&endpoint_request),
        stream: false,
        endpoint_request,
    })
}

/// Returns the request to forward, without the header fields and query parameters that may contain an
/// API key.
///
/// # Errors
///
/// [`Kind::KeyInBody`] if an API key remains in the target, the header fields or the body.
fn sanitized_request(
    exchange: &Exchange,
    method: Method,
    body: Vec<u8>,
) -> Result<EndpointRequest, Kind> {
    credential::reject_key(&body)?;
    reject_escaped_key(&body)?;
    Ok(EndpointRequest {
        method,
        target: credential::forwarded_target(&exchange.head)?,
        headers: credential::forwarded_headers(&exchange.head)?,
        body,
    })
}

/// Rejects a JSON body that contains an API key spelled with Unicode escapes.
fn reject_escaped_key(body: &[u8]) -> Result<(), Kind> {
    if !body.windows(2).any(|pair| pair == br"\u") {
        return Ok(());
    }
    match serde_json::from_slice::<Value>(body) {
        Ok(value) => credential::reject_key(value.to_string().as_bytes()),
        Err(_) => Ok(()),
    }
}

fn requested_class(exchange: &Exchange) -> Result<Option<ClassName>, Kind> {
    let class = exchange.head.header("berg-class").map(ClassName::try_from);
    class.transpose().map_err(|_| Kind::BodyInvalid)
}

fn prefix_hash(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    let end = prompt.len().min(PREFIX_BYTES);
    prompt.as_bytes()[..end].hash(&mut hasher);
    hasher.finish()
}

/// Returns a digest of the request's method, target and body, each preceded by its length.
fn fingerprint(request: &EndpointRequest) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for bytes in [
        request.method.as_str().as_bytes(),
        request.target.as_bytes(),
        &request.body,
    ] {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    }
    Fingerprint(*hasher.finalize().as_bytes())
}
