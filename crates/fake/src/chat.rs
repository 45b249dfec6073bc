//! Request and response bodies of the engine, in the OpenAI-compatible form.

use std::collections::hash_map::DefaultHasher;
use std::hash::{
    Hash,
    Hasher, //
};

use serde_json::{
    Value,
    json, //
};

/// Minimum number of output tokens for a request without a limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;
/// Bound of the output tokens that the prompt's hash adds to the minimum.
const DEFAULT_OUTPUT_SPREAD: u64 = 32;

/// The fields of a request body that the engine uses.
pub(crate) struct ModelRequest {
    pub(crate) model: String,
    pub(crate) chat: bool,
    pub(crate) stream: bool,
    /// Whether the stream ends with an event that has the token counts.
    pub(crate) include_usage: bool,
    pub(crate) input_tokens: u64,
    pub(crate) output_tokens: u64,
    /// Hash of the prompt's prefix.
    pub(crate) prefix_hash: u64,
    pub(crate) priority: u8,
}

impl ModelRequest {
    /// Parses a body. Returns `None` if the body is not a model request. Counts one token for every
    /// 4 bytes of the prompt.
    pub(crate) fn parse(path: &str, body: &[u8]) -> Option<Self> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let chat = path.ends_with("/chat/completions");
        let prompt = if chat {
            &body["messages"]
        } else {
            &body["prompt"]
        }
        .to_string();
        let mut hasher = DefaultHasher::new();
        prompt.as_bytes()[..prompt.len().min(1024)].hash(&mut hasher);
        let prefix_hash = hasher.finish();
        let limit = body["max_tokens"]
            .as_u64()
            .or(body["max_completion_tokens"].as_u64());
        Some(Self {
            model: body["model"].as_str()?.to_owned(),
            chat,
            stream: body["stream"].as_bool().unwrap_or(false),
            include_usage: body["stream_options"]["include_usage"]
                .as_bool()
                .unwrap_or(false),
            input_tokens: prompt.len() as u64 / 4 + 1,
            output_tokens: limit
                .unwrap_or(DEFAULT_OUTPUT_TOKENS + prefix_hash % DEFAULT_OUTPUT_SPREAD)
                .max(1),
            prefix_hash,
            priority: body["priority"]
                .as_u64()
                .and_then(|n| n.try_into().ok())
                .unwrap_or(0),
        })
    }

    /// Returns the stream event for one token.
    pub(crate) fn event(&self, id: u64, token: u64) -> Vec<u8> {
        let last = token + 1 >= self.output_tokens;
        let text = token_text(token);
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason(last)})
        } else {
            json!({"index": 0, "text": text, "finish_reason": finish_reason(last)})
        };
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        sse_event(&json!({
            "id": format!("gen-{id}"), "object": object, "created": 0, "model": self.model,
            "choices": [choice],
        }))
    }

    /// Returns the last events of a stream: token counts if requested, and the end marker.
    pub(crate) fn end(&self, id: u64) -> Vec<u8> {
        let mut end = Vec::new();
        if self.include_usage {
            end.extend(sse_event(&json!({
                "id": format!("gen-{id}"), "object": "chat.completion.chunk", "created": 0,
                "model": self.model, "choices": [], "usage": self.token_counts(),
            })));
        }
        end.extend_from_slice(b"data: [DONE]\n\n");
        end
    }

    /// Returns the body of a response that is not streamed.
    pub(crate) fn response(&self, id: u64) -> Vec<u8> {
        let text: String = (0..self.output_tokens).map(token_text).collect();
        let choice = if self.chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": "stop"})
        } else {
            json!({"index": 0, "text": text, "finish_reason": "stop"})
        };
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let response = json!({
            "id": format!("gen-{id}"), "object": object, "created": 0, "model": self.model,
            "choices": [choice], "usage": self.token_counts(),
        });
        response.to_string().into_bytes()
    }

    fn token_counts(&self) -> Value {
        json!({
            "prompt_tokens": self.input_tokens, "completion_tokens": self.output_tokens,
            "total_tokens": self.input_tokens + self.output_tokens,
        })
    }
}

fn finish_reason(last: bool) -> Value {
    if last { json!("stop") } else { Value::Null }
}

fn token_text(token: u64) -> String {
    format!(" w{token}")
}

fn sse_event(value: &Value) -> Vec<u8> {
    format!("data: {value}\n\n").into_bytes()
}
