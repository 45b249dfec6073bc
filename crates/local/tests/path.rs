//! Tests the path from client to back end over real sockets. No result depends on elapsed time.

use std::net::SocketAddr;
use std::time::Duration;

use edge::{
    ResponseReader,
    Target, //
};
use fake::Profile;
use ids::Secret;
use local::{
    LocalSystem,
    Options, //
};

/// Timeout of a connection and of the first byte of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

fn start() -> LocalSystem {
    LocalSystem::start(&Options::default(), &obs::discard()).unwrap()
}

fn open(entry: SocketAddr, path: &str, fields: &[(&str, &str)], body: &str) -> ResponseReader {
    let fields: Vec<_> = fields
        .iter()
        .map(|(n, v)| ((*n).to_owned(), (*v).to_owned()))
        .collect();
    let request =
        edge::build_request(entry, "POST", path, &fields, body.as_bytes().to_vec()).unwrap();
    let target = Target {
        address: entry,
        connect_timeout: RESPONSE_TIMEOUT,
        head_timeout: RESPONSE_TIMEOUT,
    };
    ResponseReader::open(target, request).unwrap()
}

fn field(reader: &ResponseReader, name: &str) -> String {
    reader
        .headers
        .get(name)
        .map(|v| v.to_str().unwrap().to_owned())
        .unwrap_or_default()
}

/// Returns status, `berg-run` header and error code of an error response.
fn error_response(reader: ResponseReader) -> (u16, String, String) {
    let (status, execution) = (reader.status, field(&reader, "berg-run"));
    let body: serde_json::Value =
        serde_json::from_slice(&reader.read_all(1 << 20).unwrap()).unwrap();
    (
        status,
        execution,
        body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
    )
}

fn chat(tokens: u64, stream: bool) -> String {
    format!(
        r#"{{"model":"crew-assistant","stream":{stream},"max_tokens":{tokens},
            "messages":[{{"role":"user","content":"pipe history"}}]}}"#
    )
}

/// The entry removes the client's key before it forwards a request.
fn key_in(place: &str) {
    let local = start();
    let (_, key) = local.new_key("norte").unwrap();
    let clear = key.reveal();
    let bearer = format!("Bearer {clear}");
    let query = format!("/permits/book?key={clear}&a=1");
    let cookie = format!("session={clear}");
    let (path, fields): (&str, Vec<(&str, &str)>) = match place {
        "authorization" => ("/permits/book", vec![("authorization", &bearer)]),
        "x-api-key" => ("/permits/book", vec![("x-api-key", clear)]),
        "query" => (&query, vec![]),
        _ => (
            "/permits/book",
            vec![("authorization", &bearer), ("cookie", &cookie)],
        ),
    };
    let reader = open(local.entry_address(), path, &fields, "{}");
    assert_eq!(reader.status, 201);
    let received = local.service.transcript().bytes();
    assert!(String::from_utf8_lossy(&received).contains("/permits/book"));
    assert_eq!(Secret::find(&received), None);
    local.close();
}

/// A body that contains a client key is rejected and not forwarded.
fn key_in_body(body: impl Fn(&str) -> String) {
    let local = start();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let reader = open(
        local.entry_address(),
        "/permits/book",
        &[("authorization", &bearer)],
        &body(key.reveal()),
    );
    let expected = (400, "not-run".to_owned(), "key_in_body".to_owned());
    assert_eq!(error_response(reader), expected);
    assert!(local.service.transcript().bytes().is_empty());
    local.close();
}

/// Guards against buffering of streams: the first chunk arrives although the engine has nearly a
/// million tokens left to generate.
fn first_token_not_buffered() {
    let local = start();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [("authorization", bearer.as_str())];
    let body = chat(1_000_000, true);
    let mut reader = open(
        local.entry_address(),
        "/v1/chat/completions",
        &fields,
        &body,
    );
    let first = reader.chunk().unwrap().unwrap();
    assert!(first.starts_with(b"data: {"), "{first:?}");
    drop(reader);
    local.close();
}

/// A client that disconnects must free its engine slot: with a single slot, the next request is
/// served only after the first has been cancelled.
fn disconnect_cancels() {
    let options = Options {
        engines: 1,
        profile: Profile {
            slots: 1,
            warmup: Duration::ZERO,
            ..Profile::default()
        },
        ..Options::default()
    };
    let local = LocalSystem::start(&options, &obs::discard()).unwrap();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [("authorization", bearer.as_str())];
    let endless = chat(1_000_000, true);
    let mut reader = open(
        local.entry_address(),
        "/v1/chat/completions",
        &fields,
        &endless,
    );
    reader.chunk().unwrap().unwrap();
    drop(reader);
    // Until the slot is free, requests are rejected and not executed.
    loop {
        let reader = open(
            local.entry_address(),
            "/v1/chat/completions",
            &fields,
            &chat(3, false),
        );
        if reader.status == 200 {
            break;
        }
        assert_eq!(error_response(reader).1, "not-run");
    }
    local.close();
}

/// An engine crash must not truncate a stream silently: the stream has an error event, no `[DONE]`
/// event, and its body is incomplete.
fn truncated_stream() {
    let local = start();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [("authorization", bearer.as_str())];
    let body = chat(1_000_000, true);
    let mut reader = open(
        local.entry_address(),
        "/v1/chat/completions",
        &fields,
        &body,
    );
    reader.chunk().unwrap().unwrap();
    local
        .engines
        .iter()
        .for_each(|engine| engine.inject(fake::Input::Crash));
    let mut received = Vec::new();
    let end = loop {
        match reader.chunk() {
            Ok(Some(chunk)) => received.extend_from_slice(&chunk),
            other => break other.map(|_| ()),
        }
    };
    let text = String::from_utf8_lossy(&received);
    assert!(end.is_err(), "the truncated body ended as a complete one");
    assert!(
        text.contains("stream_broken") && !text.contains("[DONE]"),
        "{text}"
    );
    local.close();
}

fn models_listed() {
    let local = start();
    let (_, key) = local.new_key("norte").unwrap();
    let request = edge::build_request(
        local.entry_address(),
        "GET",
        "/v1/models",
        &[("x-api-key".to_owned(), key.reveal().to_owned())],
        Vec::new(),
    );
    let target = Target {
        address: local.entry_address(),
        connect_timeout: RESPONSE_TIMEOUT,
        head_timeout: RESPONSE_TIMEOUT,
    };
    let body = ResponseReader::open(target, request.unwrap())
        .unwrap()
        .read_all(1 << 20)
        .unwrap();
    assert!(String::from_utf8_lossy(&body).contains("crew-assistant"));
    local.close();
}

/// A request key that is reused with another body gives a conflict, and the request is not executed.
fn request_key_reused() {
    let local = start();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "k1"),
    ];
    assert_eq!(
        open(local.entry_address(), "/permits/a", &fields, "1").status,
        201
    );
    let expected = (422, "not-run".to_owned(), "claim_conflict".to_owned());
    assert_eq!(
        error_response(open(local.entry_address(), "/permits/a", &fields, "2")),
        expected
    );
    assert_eq!(local.service.executions("POST", "/permits/a", "2"), 0);
    local.close();
}

/// The usage reported to the platform equals the tokens that the engines generated.
fn reported_usage_is_exact() {
    let local = LocalSystem::start(
        &Options {
            usage_window: Duration::from_secs(1),
            ..Options::default()
        },
        &obs::discard(),
    )
    .unwrap();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [("authorization", bearer.as_str())];
    for stream in [true, false, true] {
        open(
            local.entry_address(),
            "/v1/chat/completions",
            &fields,
            &chat(7, stream),
        )
        .read_all(1 << 20)
        .unwrap();
    }
    let reported_tokens = || {
        let windows = local
            .platform
            .windows()
            .into_iter()
            .map(|window| window.lines);
        let rows = windows.flat_map(|rows| rows.as_array().cloned().unwrap_or_default());
        rows.map(|row| row["output_tokens"].as_u64().unwrap())
            .sum::<u64>()
    };
    while reported_tokens() < 21 {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(reported_tokens(), 21);
    local.close();
}

fn not_loopback() {
    let options = Options {
        listen: "192.0.2.1:8080".parse().unwrap(),
        ..Options::default()
    };
    let error = LocalSystem::start(&options, &obs::discard())
        .err()
        .unwrap()
        .to_string();
    assert_eq!(
        error,
        "command line: --listen: \"192.0.2.1:8080\" is not a loopback address"
    );
}

/// With three control hosts, requests, claims and changes succeed after the leader has stopped.
fn leader_stops() {
    let options = Options {
        controls: 3,
        ..Options::default()
    };
    let mut local = LocalSystem::start(&options, &obs::discard()).unwrap();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    for round in 0..3 {
        let status = local.ops.status().unwrap();
        let is_leader = |row: &wire::MemberRow| row.leads && row.stage == agree::Stage::Voter;
        let leader = status
            .iter()
            .flat_map(|s| &s.members)
            .find(|row| is_leader(row))
            .unwrap();
        let address = leader.address;
        let n = local
            .control_addresses()
            .iter()
            .position(|at| *at == address)
            .unwrap();
        local.stop_control(n);
        let name = format!("r{round}");
        let fields = [
            ("authorization", bearer.as_str()),
            ("idempotency-key", name.as_str()),
        ];
        let reader = open(local.entry_address(), "/permits/a", &fields, &name);
        if reader.status != 201 {
            panic!("round {round}: {:?}", error_response(reader));
        }
        assert_eq!(local.service.executions("POST", "/permits/a", &name), 1);
        local.new_key("sur").unwrap();
        local.start_control(n).unwrap();
    }
    local.close();
}

/// A graceful stop of a role must not truncate a running stream.
fn stop_during_stream(stop: impl Fn(&mut LocalSystem)) {
    let options = Options {
        engines: 1,
        ..Options::default()
    };
    let mut local = LocalSystem::start(&options, &obs::discard()).unwrap();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [("authorization", bearer.as_str())];
    let body = chat(60, true);
    let mut reader = open(
        local.entry_address(),
        "/v1/chat/completions",
        &fields,
        &body,
    );
    let first = reader.chunk().unwrap().unwrap();
    let thread = std::thread::spawn(move || {
        let mut received = first.to_vec();
        while let Some(chunk) = reader.chunk().unwrap() {
            received.extend_from_slice(&chunk);
        }
        String::from_utf8(received).unwrap()
    });
    stop(&mut local);
    let received = thread.join().unwrap();
    assert!(
        received.contains(" w59") && received.ends_with("data: [DONE]\n\n"),
        "{received}"
    );
    local.close();
}

case::cases! {
    graceful_stop_of_agent_completes_stream: stop_during_stream(|local| local.stop_agent(0));
    graceful_stop_of_entry_completes_stream: stop_during_stream(|local| local.stop_entry(0));
    graceful_stop_of_control_host_completes_stream: stop_during_stream(|local| local.stop_control(0));
    demo_checks_pass: {
        let checks = local::demo(&Options::default(), &obs::discard()).unwrap();
        let failed: Vec<_> = checks.iter().filter(|check| !check.passed).collect();
        assert!(failed.is_empty(), "{failed:?}");
    };
    first_token_is_not_buffered: first_token_not_buffered();
    disconnect_cancels_at_the_engine: disconnect_cancels();
    truncated_stream_is_reported: truncated_stream();
    key_in_authorization_is_stripped: key_in("authorization");
    key_in_x_api_key_is_stripped: key_in("x-api-key");
    key_in_query_is_stripped: key_in("query");
    key_in_cookie_is_stripped: key_in("cookie");
    key_in_body_is_rejected: key_in_body(|key| format!("note: {key}"));
    escaped_key_in_json_body_is_rejected: key_in_body(|key| {
        format!(r#"{{"note": "\u0062{}"}}"#, &key[1..])
    });
    models_are_listed: models_listed();
    request_key_reused_with_another_body: request_key_reused();
    usage_reported_to_the_platform_is_exact: reported_usage_is_exact();
    listen_address_must_be_loopback: not_loopback();
    system_serves_after_each_of_three_leader_stops: leader_stops();
}
