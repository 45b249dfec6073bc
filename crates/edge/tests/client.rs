//! Calls end in bounded time and memory, whatever the other side sends.

use std::io::{
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::sync::mpsc::{
    Receiver,
    channel, //
};
use std::thread;
use std::time::Duration;

use assert_matches::assert_matches;
use edge::{
    CallError,
    Client,
    Response,
    ResponseReader,
    Target,
    build_request, //
};

/// Timeout of the calls, far below the time for which the servers send.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Serves one connection: sends `start`, and then `repeated` at intervals until the caller closes the
/// connection or 20 s have passed. The receiver gets whether the caller closed it.
fn server(
    start: &'static str,
    repeated: String,
    interval: Duration,
) -> (SocketAddr, Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]);
        let mut open = stream.write_all(start.as_bytes()).is_ok();
        for _ in 0..20_000 / interval.as_millis().max(1) {
            open = open && stream.write_all(repeated.as_bytes()).is_ok();
            if !open {
                break;
            }
            thread::sleep(interval);
        }
        let _ = tx.send(!open);
    });
    (address, rx)
}

/// Calls a server. A failed call must have ended before the server did, by closing the connection.
fn call(server: (SocketAddr, Receiver<bool>)) -> Result<Response, CallError> {
    let (address, closed) = server;
    let result = Client::new(TIMEOUT).call(address, "GET", "/", &[], Vec::new());
    assert!(result.is_ok() || closed.recv().unwrap());
    result
}

/// Size of a request that a server's receive buffer cannot hold while nothing reads it, whereas the
/// caller's send buffer holds the rest.
const HELD: usize = 1 << 20;

/// Reads the next connection of a server that has read nothing so far. Returns whether a complete
/// request of [`HELD`] bytes arrives.
fn arrives_late(listener: &TcpListener) -> bool {
    let (mut stream, _) = listener.accept().unwrap();
    let patience = Some(Duration::from_secs(2));
    stream.set_read_timeout(patience).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    bytes.len() >= HELD
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

case::cases! {
    complete_response_is_returned: {
        let server = server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", String::new(), TIMEOUT);
        assert_eq!(call(server).unwrap().body, b"ok");
    };
    // The process may be suspended between the decision to send and the open connection.
    request_is_not_sent_once_its_permission_has_expired: {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let client = Client::new(TIMEOUT);
        let result = client.post_if(address, "/", &[], b"order".to_vec(), || false);
        assert_matches!(result, Err(error @ CallError::NotPermitted) if error.unsent());
        let (mut stream, _) = listener.accept().unwrap();
        // The connection was reset; not a byte of the request came.
        assert!(stream.read(&mut [0; 16]).unwrap_or_default() == 0);
    };
    // ONE, issue 27: a report held up in the network arrived after its sender's successor had acted.
    request_of_a_timed_out_call_never_arrives: {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let result = Client::new(TIMEOUT).call(address, "POST", "/", &[], vec![b'x'; HELD]);
        assert_matches!(result, Err(CallError::TimedOut));
        assert!(!arrives_late(&listener));
    };
    // An endpoint ran a request that the entry had given up and sent elsewhere.
    request_of_a_timed_out_reader_never_arrives: {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let target = Target { address, connect_timeout: TIMEOUT, head_timeout: TIMEOUT };
        let request = build_request(address, "POST", "/", &[], vec![b'x'; HELD]).unwrap();
        let result = ResponseReader::open(target, request);
        assert_matches!(result.err(), Some(CallError::TimedOut));
        assert!(!arrives_late(&listener));
    };
    body_that_trickles_without_end_times_out: {
        let server = server(HEAD, "1\r\nx\r\n".to_owned(), Duration::from_millis(50));
        assert_matches!(call(server), Err(CallError::TimedOut));
    };
    body_without_end_is_too_large_or_times_out: {
        let chunk = format!("{:x}\r\n{}\r\n", 1 << 20, "x".repeat(1 << 20));
        let server = server(HEAD, chunk, Duration::ZERO);
        assert_matches!(call(server), Err(CallError::TimedOut | CallError::TooLarge));
    };
    head_without_end_is_a_failure: {
        let server = server("HTTP/1.1 200 OK\r\n", "X-Filler: filler\r\n".repeat(100), Duration::ZERO);
        assert_matches!(call(server), Err(CallError::Failed(_)));
    };
    head_that_trickles_without_end_times_out: {
        let server = server("HTTP/1.1 200 OK\r\nX-Filler: ", "x".to_owned(), Duration::from_millis(50));
        assert_matches!(call(server), Err(CallError::TimedOut));
    };
}
