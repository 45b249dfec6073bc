//! The engine's HTTP bodies, in the widely used form.

use std::collections::hash_map::DefaultHasher;
use std::hash::{
    Hash,
    Hasher, //
};

use serde_json::{
    Value,
    json, //
};

/// Tokens generated when the caller sets no bound: at least this many.
const LEAST_OUTPUT: u64 = 16;
/// And up to this many more, by the prompt.
const SPREAD_OUTPUT: u64 = 32;

/// A request body as far as the engine uses it.
pub(crate) struct Ask {
    pub(crate) model: String,
    pub(crate) chat: bool,
    pub(crate) stream: bool,
    pub(crate) usage: bool,
    pub(crate) input: u64,
    pub(crate) output: u64,
    pub(crate) prefix: u64,
    pub(crate) priority: u8,
}

impl Ask {
    /// Reads a body; none if it is not a model call.
    pub(crate) fn read(path: &str, body: &[u8]) -> Option<Self> {
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
        let prefix = hasher.finish();
        let bound = body["max_tokens"]
            .as_u64()
            .or(body["max_completion_tokens"].as_u64());
        Some(Self {
            model: body["model"].as_str()?.to_owned(),
            chat,
            stream: body["stream"].as_bool().unwrap_or(false),
            usage: body["stream_options"]["include_usage"]
                .as_bool()
                .unwrap_or(false),
            input: prompt.len() as u64 / 4 + 1,
            output: bound
                .unwrap_or(LEAST_OUTPUT + prefix % SPREAD_OUTPUT)
                .max(1),
            prefix,
            priority: body["priority"]
                .as_u64()
                .and_then(|n| n.try_into().ok())
                .unwrap_or(0),
        })
    }

    /// One event of a stream.
    pub(crate) fn event(&self, id: u64, token: u64) -> Vec<u8> {
        let last = token + 1 >= self.output;
        let text = word(token);
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": finish(last)})
        } else {
            json!({"index": 0, "text": text, "finish_reason": finish(last)})
        };
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        event(&json!({
            "id": format!("gen-{id}"), "object": object, "created": 0, "model": self.model,
            "choices": [choice],
        }))
    }

    /// The end of a stream.
    pub(crate) fn end(&self, id: u64) -> Vec<u8> {
        let mut end = Vec::new();
        if self.usage {
            end.extend(event(&json!({
                "id": format!("gen-{id}"), "object": "chat.completion.chunk", "created": 0,
                "model": self.model, "choices": [], "usage": self.count(),
            })));
        }
        end.extend_from_slice(b"data: [DONE]\n\n");
        end
    }

    /// A whole answer.
    pub(crate) fn whole(&self, id: u64) -> Vec<u8> {
        let text: String = (0..self.output).map(word).collect();
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
        let answer = json!({
            "id": format!("gen-{id}"), "object": object, "created": 0, "model": self.model,
            "choices": [choice], "usage": self.count(),
        });
        answer.to_string().into_bytes()
    }

    fn count(&self) -> Value {
        json!({
            "prompt_tokens": self.input, "completion_tokens": self.output,
            "total_tokens": self.input + self.output,
        })
    }
}

fn finish(last: bool) -> Value {
    if last { json!("stop") } else { Value::Null }
}

fn word(token: u64) -> String {
    format!(" w{token}")
}

fn event(value: &Value) -> Vec<u8> {
    format!("data: {value}\n\n").into_bytes()
}
