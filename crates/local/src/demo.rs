//! The demo: sends one request of each kind and checks the responses.

use edge::CallError;
use ids::Secret;
use obs::Logger;
use serde_json::Value;

use crate::caller::{
    Response,
    post, //
};
use crate::local::{
    LocalError,
    LocalSystem,
    Options, //
};

/// One row of the demo's table.
#[derive(Clone, Debug)]
pub struct Check {
    /// The kind of request or property that is checked.
    pub name: &'static str,
    /// What was observed.
    pub actual: String,
    /// Whether the observation is as expected.
    pub passed: bool,
}

/// Starts the local system, runs the checks and stops the system.
///
/// # Errors
///
/// [`LocalError`] if the system cannot be started.
pub fn demo(options: &Options, log: &Logger) -> Result<Vec<Check>, LocalError> {
    let local = LocalSystem::start(options, log)?;
    let (name, key) = local.new_key("norte")?;
    let mut checks = vec![
        streamed(&local, &key),
        buffered(&local, &key),
        idempotent_booking(&local, &key),
        unknown_key(&local),
    ];
    local.withdraw(&name)?;
    checks.push(withdrawn_key(&local, &key));
    checks.push(keys_not_forwarded(&local, &key));
    local.close();
    Ok(checks)
}

fn chat(stream: bool) -> String {
    format!(
        r#"{{"model":"crew-assistant","stream":{stream},"max_tokens":12,
            "messages":[{{"role":"user","content":"pipe history of main 7"}}]}}"#
    )
}

fn check(
    name: &'static str,
    response: Result<Response, CallError>,
    expect: impl FnOnce(&Response) -> bool,
    show: impl FnOnce(&Response) -> String,
) -> Check {
    match response {
        Ok(response) => Check {
            name,
            passed: expect(&response),
            actual: show(&response),
        },
        Err(error) => Check {
            name,
            passed: false,
            actual: error.to_string(),
        },
    }
}

fn bearer(key: &Secret) -> String {
    format!("Bearer {}", key.reveal())
}

fn streamed(local: &LocalSystem, key: &Secret) -> Check {
    let bearer = bearer(key);
    let fields = [("authorization", bearer.as_str())];
    let response = post(
        local.entry_address(),
        "/v1/chat/completions",
        &fields,
        chat(true),
    );
    check(
        "streamed request",
        response,
        |r| r.status == 200 && r.complete && r.chunks >= 12 && r.body.ends_with("data: [DONE]\n\n"),
        |r| format!("{} in {} chunks", r.status, r.chunks),
    )
}

fn buffered(local: &LocalSystem, key: &Secret) -> Check {
    let fields = [("x-api-key", key.reveal())];
    let response = post(
        local.entry_address(),
        "/v1/chat/completions",
        &fields,
        chat(false),
    );
    let tokens = |r: &Response| {
        let body: Value = serde_json::from_str(&r.body).unwrap_or_default();
        body["usage"]["completion_tokens"].as_u64()
    };
    check(
        "buffered request",
        response,
        |r| r.status == 200 && tokens(r) == Some(12),
        |r| format!("{} with {} tokens", r.status, tokens(r).unwrap_or(0)),
    )
}

fn idempotent_booking(local: &LocalSystem, key: &Secret) -> Check {
    let bearer = bearer(key);
    let fields = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "shutoff-1"),
    ];
    let body = r#"{"valve": 12}"#;
    let book = || {
        post(
            local.entry_address(),
            "/permits/shutoff",
            &fields,
            body.to_owned(),
        )
    };
    let (first, second) = (book(), book());
    let first_body = first.as_ref().ok().map(|r| r.body.clone());
    let executions = local.service.executions("POST", "/permits/shutoff", body);
    check(
        "booking sent twice",
        second,
        |r| r.status == 201 && Some(&r.body) == first_body.as_ref() && executions == 1,
        |r| {
            format!(
                "{} and the same response, executions: {executions}",
                r.status
            )
        },
    )
}

fn unknown_key(local: &LocalSystem) -> Check {
    let bearer = bearer(&Secret::generate());
    let fields = [("authorization", bearer.as_str())];
    check_rejected(
        "unknown key",
        post(
            local.entry_address(),
            "/v1/chat/completions",
            &fields,
            chat(false),
        ),
    )
}

fn withdrawn_key(local: &LocalSystem, key: &Secret) -> Check {
    let bearer = bearer(key);
    let fields = [("authorization", bearer.as_str())];
    check_rejected(
        "withdrawn key",
        post(
            local.entry_address(),
            "/v1/chat/completions",
            &fields,
            chat(false),
        ),
    )
}

fn check_rejected(name: &'static str, response: Result<Response, CallError>) -> Check {
    check(
        name,
        response,
        |r| r.status == 401 && r.execution == "not-run",
        |r| format!("{} {}", r.status, r.execution),
    )
}

fn keys_not_forwarded(local: &LocalSystem, key: &Secret) -> Check {
    let engines = local
        .engines
        .iter()
        .map(|engine| engine.transcript().bytes());
    let received: Vec<u8> = engines
        .chain([local.service.transcript().bytes()])
        .flatten()
        .collect();
    let found = Secret::find(&received).is_some()
        || received
            .windows(key.reveal().len())
            .any(|w| w == key.reveal().as_bytes());
    Check {
        name: "keys at the endpoints",
        actual: format!(
            "{} in {} bytes received",
            if found { "found" } else { "none" },
            received.len()
        ),
        passed: !found && !received.is_empty(),
    }
}
