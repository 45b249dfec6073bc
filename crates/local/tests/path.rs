//! The whole path over real sockets. Nothing is decided by elapsed time.

use std::net::SocketAddr;
use std::time::Duration;

use edge::{
    ResponseReader,
    Target, //
};
use fake::Profile;
use ids::Secret;
use local::{
    Local,
    Options, //
};

const PATIENCE: Duration = Duration::from_secs(60);

fn start() -> Local {
    Local::start(&Options::default(), &obs::discard()).unwrap()
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
        connect_timeout: PATIENCE,
        head_timeout: PATIENCE,
    };
    ResponseReader::open(target, request).unwrap()
}

fn field(link: &ResponseReader, name: &str) -> String {
    link.headers
        .get(name)
        .map(|v| v.to_str().unwrap().to_owned())
        .unwrap_or_default()
}

/// Status, `berg-run` and error code of an answer.
fn refusal(link: ResponseReader) -> (u16, String, String) {
    let (status, run) = (link.status, field(&link, "berg-run"));
    let body: serde_json::Value = serde_json::from_slice(&link.read_all(1 << 20).unwrap()).unwrap();
    (
        status,
        run,
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
    let link = open(local.entry(), path, &fields, "{}");
    assert_eq!(link.status, 201);
    let seen = local.service.transcript().bytes();
    assert!(String::from_utf8_lossy(&seen).contains("/permits/book"));
    assert_eq!(Secret::find(&seen), None);
    local.close();
}

fn key_in_body(body: impl Fn(&str) -> String) {
    let local = start();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let link = open(
        local.entry(),
        "/permits/book",
        &[("authorization", &bearer)],
        &body(key.reveal()),
    );
    let expected = (400, "not-run".to_owned(), "key_in_body".to_owned());
    assert_eq!(refusal(link), expected);
    assert!(local.service.transcript().bytes().is_empty());
    local.close();
}

/// The first piece is on the wire while the engine still has far to go.
fn first_token_at_once() {
    let local = start();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [("authorization", bearer.as_str())];
    let body = chat(1_000_000, true);
    let mut link = open(local.entry(), "/v1/chat/completions", &fields, &body);
    let first = link.chunk().unwrap().unwrap();
    assert!(first.starts_with(b"data: {"), "{first:?}");
    drop(link);
    local.close();
}

/// A caller who hangs up frees the engine: with one slot, the next request is served.
fn hang_up_cancels() {
    let options = Options {
        engines: 1,
        profile: Profile {
            slots: 1,
            warmup: Duration::ZERO,
            ..Profile::default()
        },
        ..Options::default()
    };
    let local = Local::start(&options, &obs::discard()).unwrap();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [("authorization", bearer.as_str())];
    let endless = chat(1_000_000, true);
    let mut link = open(local.entry(), "/v1/chat/completions", &fields, &endless);
    link.chunk().unwrap().unwrap();
    drop(link);
    // Until the engine is free again, requests are refused as not run.
    loop {
        let link = open(
            local.entry(),
            "/v1/chat/completions",
            &fields,
            &chat(3, false),
        );
        if link.status == 200 {
            break;
        }
        assert_eq!(refusal(link).1, "not-run");
    }
    local.close();
}

/// An answer that breaks off carries an error and never the regular end.
fn truncated_stream() {
    let local = start();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [("authorization", bearer.as_str())];
    let body = chat(1_000_000, true);
    let mut link = open(local.entry(), "/v1/chat/completions", &fields, &body);
    link.chunk().unwrap().unwrap();
    local
        .engines
        .iter()
        .for_each(|engine| engine.disturb(fake::Input::Crash));
    let mut seen = Vec::new();
    let end = loop {
        match link.chunk() {
            Ok(Some(piece)) => seen.extend_from_slice(&piece),
            other => break other.map(|_| ()),
        }
    };
    let text = String::from_utf8_lossy(&seen);
    assert!(end.is_err(), "the body ended as if it were whole");
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
        local.entry(),
        "GET",
        "/v1/models",
        &[("x-api-key".to_owned(), key.reveal().to_owned())],
        Vec::new(),
    );
    let target = Target {
        address: local.entry(),
        connect_timeout: PATIENCE,
        head_timeout: PATIENCE,
    };
    let body = ResponseReader::open(target, request.unwrap())
        .unwrap()
        .read_all(1 << 20)
        .unwrap();
    assert!(String::from_utf8_lossy(&body).contains("crew-assistant"));
    local.close();
}

/// One request key with another body is a conflict and does not run.
fn request_key_reused() {
    let local = start();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "k1"),
    ];
    assert_eq!(open(local.entry(), "/permits/a", &fields, "1").status, 201);
    let expected = (422, "not-run".to_owned(), "claim_conflict".to_owned());
    assert_eq!(
        refusal(open(local.entry(), "/permits/a", &fields, "2")),
        expected
    );
    assert_eq!(local.service.runs("POST", "/permits/a", "2"), 0);
    local.close();
}

/// Bills agree with what the engines generated.
fn usage_is_reported() {
    let local = Local::start(
        &Options {
            window: Duration::from_secs(1),
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
            local.entry(),
            "/v1/chat/completions",
            &fields,
            &chat(7, stream),
        )
        .read_all(1 << 20)
        .unwrap();
    }
    let billed = || {
        let lines = local
            .platform
            .windows()
            .into_iter()
            .map(|window| window.lines);
        let rows = lines.flat_map(|rows| rows.as_array().cloned().unwrap_or_default());
        rows.map(|row| row["output_tokens"].as_u64().unwrap())
            .sum::<u64>()
    };
    while billed() < 21 {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(billed(), 21);
    local.close();
}

fn not_loopback() {
    let options = Options {
        listen: "192.0.2.1:8080".parse().unwrap(),
        ..Options::default()
    };
    let fault = Local::start(&options, &obs::discard())
        .err()
        .unwrap()
        .to_string();
    assert_eq!(
        fault,
        "command line: --listen: \"192.0.2.1:8080\" is not a loopback address"
    );
}

/// Three control hosts: the leader stops, and work, claims and changes go on.
fn leader_stops() {
    let options = Options {
        controls: 3,
        ..Options::default()
    };
    let mut local = Local::start(&options, &obs::discard()).unwrap();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    for round in 0..3 {
        let status = local.ops.status().unwrap();
        let leads = |row: &wire::MemberRow| row.leads && row.stage == agree::Stage::Voter;
        let leader = status
            .iter()
            .flat_map(|s| &s.members)
            .find(|row| leads(row))
            .unwrap();
        let address = leader.address;
        let n = local
            .controls()
            .iter()
            .position(|at| *at == address)
            .unwrap();
        local.stop_control(n);
        let name = format!("r{round}");
        let fields = [
            ("authorization", bearer.as_str()),
            ("idempotency-key", name.as_str()),
        ];
        let link = open(local.entry(), "/permits/a", &fields, &name);
        if link.status != 201 {
            panic!("round {round}: {:?}", refusal(link));
        }
        assert_eq!(local.service.runs("POST", "/permits/a", &name), 1);
        local.new_key("sur").unwrap();
        local.start_control(n).unwrap();
    }
    local.close();
}

/// A planned stop of a role under a running stream cuts nothing of it.
fn stop_under_a_stream(stop: impl Fn(&mut Local)) {
    let options = Options {
        engines: 1,
        ..Options::default()
    };
    let mut local = Local::start(&options, &obs::discard()).unwrap();
    let (_, key) = local.new_key("norte").unwrap();
    let bearer = format!("Bearer {}", key.reveal());
    let fields = [("authorization", bearer.as_str())];
    let body = chat(60, true);
    let mut link = open(local.entry(), "/v1/chat/completions", &fields, &body);
    let first = link.chunk().unwrap().unwrap();
    let reader = std::thread::spawn(move || {
        let mut seen = first.to_vec();
        while let Some(piece) = link.chunk().unwrap() {
            seen.extend_from_slice(&piece);
        }
        String::from_utf8(seen).unwrap()
    });
    stop(&mut local);
    let seen = reader.join().unwrap();
    assert!(
        seen.contains(" w59") && seen.ends_with("data: [DONE]\n\n"),
        "{seen}"
    );
    local.close();
}

case::cases! {
    stop_of_the_agent_cuts_nothing: stop_under_a_stream(|local| local.stop_agent(0));
    stop_of_the_entry_cuts_nothing: stop_under_a_stream(|local| local.stop_entry(0));
    stop_of_the_control_host_cuts_nothing: stop_under_a_stream(|local| local.stop_control(0));
    demo_is_as_it_must_be: {
        let checks = local::demo(&Options::default(), &obs::discard()).unwrap();
        let wrong: Vec<_> = checks.iter().filter(|check| !check.good).collect();
        assert!(wrong.is_empty(), "{wrong:?}");
    };
    first_token_comes_at_once: first_token_at_once();
    hang_up_cancels_at_the_engine: hang_up_cancels();
    truncated_stream_never_looks_whole: truncated_stream();
    key_in_authorization_is_stripped: key_in("authorization");
    key_in_x_api_key_is_stripped: key_in("x-api-key");
    key_in_query_is_stripped: key_in("query");
    key_in_cookie_is_stripped: key_in("cookie");
    key_in_a_body_is_refused: key_in_body(|key| format!("note: {key}"));
    escaped_key_in_a_json_body_is_refused: key_in_body(|key| {
        format!(r#"{{"note": "\u0062{}"}}"#, &key[1..])
    });
    models_are_listed: models_listed();
    request_key_with_another_body: request_key_reused();
    usage_reaches_the_platform: usage_is_reported();
    address_outside_loopback: not_loopback();
    leader_stops_three_times: leader_stops();
}
