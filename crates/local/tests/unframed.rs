//! Tests responses of back ends that have neither a length nor chunks and end with their connection,
//! and back ends that crash.

use std::io::{
    BufRead,
    BufReader,
    Write, //
};
use std::net::{
    Shutdown,
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::thread;
use std::time::Duration;

use edge::{
    ResponseReader,
    Target, //
};
use local::{
    LocalSystem,
    Options, //
};
use rustix::net::sockopt::set_socket_linger;

/// Timeout of a connection and of each part of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which the agent receives what was sent before a reset.
const PAUSE: Duration = Duration::from_millis(100);

const EVENTS: &str = "text/event-stream";
const JSON: &str = "application/json";
const FIRST: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";
const COMPLETION: &str = r#"{"choices":[{"message":{"content":"a"}}]}"#;

/// How a back end ends its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// Starts a back end that sends the response `next` to each caller, and ends the connection.
fn backend(next: Arc<Mutex<String>>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let response = next.lock().unwrap().clone();
            thread::spawn(move || respond(&stream, &response, end));
        }
    });
    address
}

fn respond(mut stream: &TcpStream, response: &str, end: End) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    lines
        .by_ref()
        .take_while(|line| !line.is_empty())
        .for_each(drop);
    stream.write_all(response.as_bytes()).unwrap();
    if end == End::Reset {
        thread::sleep(PAUSE);
        set_socket_linger(stream, Some(Duration::ZERO)).unwrap();
    } else {
        stream.shutdown(Shutdown::Write).unwrap();
        // The agent closes its side after the end of the response.
        lines.for_each(drop);
    }
}

/// Starts a back end that crashes as soon as it has received a request.
fn crashing_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut lines = BufReader::new(&stream).lines().map_while(Result::ok);
            let Some(first) = lines.next() else {
                continue;
            };
            // Agents poll an engine's load.
            if first.starts_with("POST /permits/") {
                drop(lines);
                drop(listener);
                set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                return;
            }
        }
    });
    address
}

/// What a caller received: the status, the body, and whether the body is complete.
type Received = (u16, String, bool);

fn call(entry: SocketAddr, key: &str, path: &str, stream: bool) -> Received {
    let body =
        format!(r#"{{"model":"crew-assistant","stream":{stream},"max_tokens":9,"messages":[]}}"#);
    let fields = [("authorization".to_owned(), format!("Bearer {key}"))];
    let request = edge::build_request(entry, "POST", path, &fields, body.into_bytes());
    let target = Target {
        address: entry,
        connect_timeout: RESPONSE_TIMEOUT,
        head_timeout: RESPONSE_TIMEOUT,
    };
    let mut reader = ResponseReader::open(target, request.unwrap()).unwrap();
    let mut received = Vec::new();
    let complete = loop {
        match reader.chunk() {
            Ok(Some(chunk)) => received.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    (
        reader.status,
        String::from_utf8(received).unwrap(),
        complete,
    )
}

/// Checks what callers receive if the back end responds with `body`, with each of the heads.
fn each_head(
    heads: &[&str],
    path: &str,
    content: &str,
    body: &str,
    end: End,
    check: impl Fn(Received),
) {
    let next = Arc::new(Mutex::new(String::new()));
    let options = Options {
        backend: Some(backend(Arc::clone(&next), end)),
        ..Options::default()
    };
    let local = LocalSystem::start(&options, &obs::discard()).unwrap();
    let (_, key) = local.new_key("norte").unwrap();
    for head in heads {
        *next.lock().unwrap() = format!("{head}Content-Type: {content}\r\n\r\n{body}");
        check(call(
            local.entry_address(),
            key.reveal(),
            path,
            content == EVENTS,
        ));
    }
    local.close();
}

const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n",
    "HTTP/1.0 200 OK\r\n",
];

fn chat(content: &str, body: &str, end: End, check: impl Fn(Received)) {
    each_head(&HEADS, "/v1/chat/completions", content, body, end, check);
}

fn service(content: &str, body: &str, end: End, check: impl Fn(Received)) {
    each_head(&HEADS, "/permits/a", content, body, end, check);
}

fn whole(body: &str) -> impl Fn(Received) {
    move |received| assert_eq!(received, (200, body.to_owned(), true))
}

/// The caller has the events before the break, then an error event, and no regular end.
fn aborted((status, body, complete): Received) {
    assert_eq!((status, complete), (200, false), "{body}");
    assert!(
        body.starts_with(FIRST) && body.contains("stream_broken"),
        "{body}"
    );
}

fn failed((status, body, complete): Received) {
    assert_eq!((status, complete), (502, true), "{body}");
    assert!(body.contains("unknown"), "{body}");
}

case::cases! {
    complete_stream: {
        let body = format!("{FIRST}{DONE}");
        chat(EVENTS, &body, End::Closed, whole(&body));
    };
    // Guards against a stream that breaks off and looks complete.
    stream_cut_between_events_is_aborted: chat(EVENTS, FIRST, End::Closed, aborted);
    stream_cut_inside_an_event_is_aborted: {
        chat(EVENTS, &format!("{FIRST}data: {{\"cho"), End::Closed, aborted);
    };
    stream_that_is_reset_is_aborted: chat(EVENTS, FIRST, End::Reset, aborted);
    complete_completion: chat(JSON, COMPLETION, End::Closed, whole(COMPLETION));
    // Guards against a response that was reset and looks complete.
    completion_that_is_reset_is_a_failure: chat(JSON, COMPLETION, End::Reset, failed);
    // Guards against a part of a JSON document that looks like a complete response.
    completion_cut_short_is_a_failure: {
        for body in ["", &COMPLETION[..20]] {
            chat(JSON, body, End::Closed, failed);
        }
    };
    completion_that_is_not_json_is_forwarded: chat("text/plain", "{a", End::Closed, whole("{a"));
    // Guards against crashes that nothing tells from other failures, so that the request that causes
    // them is sent on and on.
    crash_of_a_service_is_told_from_other_failures: {
        let options = Options {
            backend: Some(crashing_backend()),
            ..Options::default()
        };
        let local = LocalSystem::start(&options, &obs::discard()).unwrap();
        let (_, key) = local.new_key("norte").unwrap();
        let (status, body, _) = call(local.entry_address(), key.reveal(), "/permits/a", false);
        assert!(status == 502 && body.contains("endpoint_crashed"), "{status} {body}");
        local.close();
    };
    // Guards against a number that means nothing, or a switch of protocols, as the status of a response.
    status_that_is_no_final_one_is_a_failure: {
        let heads = ["000", "101", "600", "999"].map(|status| format!("HTTP/1.1 {status} X\r\n"));
        let heads = heads.each_ref().map(String::as_str);
        for path in ["/v1/chat/completions", "/permits/a"] {
            each_head(&heads, path, "text/plain", "a", End::Closed, failed);
        }
    };
    complete_service_response: service("text/plain", "to the end", End::Closed, whole("to the end"));
    service_response_that_is_reset_is_a_failure: service("text/plain", "to", End::Reset, failed);
    service_stream_that_ends_after_an_event: {
        let crlf = "data: a\r\n\r\ndata: b\r\n\r\n";
        for body in [FIRST, crlf] {
            service(EVENTS, body, End::Closed, whole(body));
        }
    };
    // Guards against a part of an event that ends a service's stream as if it were complete.
    service_stream_cut_inside_an_event_is_a_failure: {
        for body in ["", "da", &format!("{FIRST}data"), &format!("{FIRST}data: b\r\n\r")] {
            service(EVENTS, body, End::Closed, failed);
        }
    };
}
