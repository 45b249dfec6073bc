//! The demo: one call of each kind, and what each got.

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
    /// What was tried.
    pub name: &'static str,
    /// What came back.
    pub actual: String,
    /// Whether that is as it must be.
    pub passed: bool,
}

/// Starts everything, makes the calls, stops everything.
///
/// # Errors
///
/// [`LocalError`] if the system cannot start.
pub fn demo(options: &Options, log: &Logger) -> Result<Vec<Check>, LocalError> {
    let local = LocalSystem::start(options, log)?;
    let (name, key) = local.new_key("norte")?;
    let mut checks = vec![
        streamed(&local, &key),
        whole(&local, &key),
        booked_once(&local, &key),
        bad_key(&local),
    ];
    local.withdraw(&name)?;
    checks.push(withdrawn(&local, &key));
    checks.push(no_key_seen(&local, &key));
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
    answer: Result<Response, CallError>,
    expect: impl FnOnce(&Response) -> bool,
    show: impl FnOnce(&Response) -> String,
) -> Check {
    match answer {
        Ok(answer) => Check {
            name,
            passed: expect(&answer),
            actual: show(&answer),
        },
        Err(fault) => Check {
            name,
            passed: false,
            actual: fault.to_string(),
        },
    }
}

fn bearer(key: &Secret) -> String {
    format!("Bearer {}", key.reveal())
}

fn streamed(local: &LocalSystem, key: &Secret) -> Check {
    let bearer = bearer(key);
    let fields = [("authorization", bearer.as_str())];
    let answer = post(
        local.entry_address(),
        "/v1/chat/completions",
        &fields,
        chat(true),
    );
    check(
        "streamed call",
        answer,
        |a| a.status == 200 && a.complete && a.chunks >= 12 && a.body.ends_with("data: [DONE]\n\n"),
        |a| format!("{} in {} pieces", a.status, a.chunks),
    )
}

fn whole(local: &LocalSystem, key: &Secret) -> Check {
    let fields = [("x-api-key", key.reveal())];
    let answer = post(
        local.entry_address(),
        "/v1/chat/completions",
        &fields,
        chat(false),
    );
    let tokens = |a: &Response| {
        let body: Value = serde_json::from_str(&a.body).unwrap_or_default();
        body["usage"]["completion_tokens"].as_u64()
    };
    check(
        "whole call",
        answer,
        |a| a.status == 200 && tokens(a) == Some(12),
        |a| format!("{} with {} tokens", a.status, tokens(a).unwrap_or(0)),
    )
}

fn booked_once(local: &LocalSystem, key: &Secret) -> Check {
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
    let (first, again) = (book(), book());
    let same = first.as_ref().ok().map(|a| a.body.clone());
    let runs = local.service.executions("POST", "/permits/shutoff", body);
    check(
        "booking sent twice",
        again,
        |a| a.status == 201 && Some(&a.body) == same.as_ref() && runs == 1,
        |a| format!("{} and the same answer again, {runs} run", a.status),
    )
}

fn bad_key(local: &LocalSystem) -> Check {
    let stranger = bearer(&Secret::generate());
    let fields = [("authorization", stranger.as_str())];
    refused(
        "unknown key",
        post(
            local.entry_address(),
            "/v1/chat/completions",
            &fields,
            chat(false),
        ),
    )
}

fn withdrawn(local: &LocalSystem, key: &Secret) -> Check {
    let bearer = bearer(key);
    let fields = [("authorization", bearer.as_str())];
    refused(
        "withdrawn key",
        post(
            local.entry_address(),
            "/v1/chat/completions",
            &fields,
            chat(false),
        ),
    )
}

fn refused(name: &'static str, answer: Result<Response, CallError>) -> Check {
    check(
        name,
        answer,
        |a| a.status == 401 && a.execution == "not-run",
        |a| format!("{} {}", a.status, a.execution),
    )
}

fn no_key_seen(local: &LocalSystem, key: &Secret) -> Check {
    let engines = local
        .engines
        .iter()
        .map(|engine| engine.transcript().bytes());
    let seen: Vec<u8> = engines
        .chain([local.service.transcript().bytes()])
        .flatten()
        .collect();
    let found = Secret::find(&seen).is_some()
        || seen
            .windows(key.reveal().len())
            .any(|w| w == key.reveal().as_bytes());
    Check {
        name: "keys at the endpoints",
        actual: format!(
            "{} in {} bytes seen",
            if found { "found" } else { "none" },
            seen.len()
        ),
        passed: !found && !seen.is_empty(),
    }
}
