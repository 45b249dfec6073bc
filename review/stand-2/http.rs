//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client with a new
//! connection for each request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request that a stand-in received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A response that a client received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Reads from a connection, with the bytes that were read too far.
pub struct Reader {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    fn more(&mut self) -> Option<()> {
        let mut bytes = [0; 16384];
        let count = self.stream.read(&mut bytes).ok()?;
        self.rest.extend_from_slice(&bytes[..count]);
        (count > 0).then_some(())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.more()?;
        }
    }

    fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.rest.len() < count {
            self.more()?;
        }
        Some(self.rest.drain(..count).collect())
    }

    /// The first line and the header fields.
    fn head(&mut self) -> Option<(String, Vec<(String, String)>)> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some((first, headers));
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// The body, and whether it is complete.
    fn body(&mut self, headers: &[(String, String)], to_end: bool) -> (Vec<u8>, bool) {
        if find(headers, "transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let size = self
                    .line()
                    .and_then(|line| usize::from_str_radix(&line, 16).ok());
                let Some(size) = size else {
                    return (body, false);
                };
                let Some(chunk) = self.exactly(size) else {
                    return (body, false);
                };
                body.extend_from_slice(&chunk);
                if self.line().is_none() {
                    return (body, false);
                }
                if size == 0 {
                    return (body, true);
                }
            }
        }
        match find(headers, "content-length").and_then(|text| text.parse().ok()) {
            Some(length) => match self.exactly(length) {
                Some(body) => (body, true),
                None => (std::mem::take(&mut self.rest), false),
            },
            None if to_end => {
                while self.more().is_some() {}
                (std::mem::take(&mut self.rest), true)
            }
            None => (Vec::new(), true),
        }
    }

    /// The next request; none at the end of the connection.
    pub fn request(&mut self) -> Option<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let (body, complete) = self.body(&headers, false);
        complete.then_some(Request {
            method,
            target,
            headers,
            body,
        })
    }

    /// The next response; none if the connection ends before its end.
    pub fn response(&mut self) -> Option<Response> {
        let (first, headers) = self.head()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let (body, complete) = self.body(&headers, true);
        complete.then_some(Response {
            status,
            headers,
            body,
        })
    }
}

/// Serves requests until the process ends. The handler writes the response and returns whether the
/// connection stays open.
pub fn serve<F>(address: SocketAddr, handler: F) -> Result<(), String>
where
    F: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || connection(stream, &*handler));
        }
    });
    Ok(())
}

fn connection(stream: TcpStream, handler: &dyn Fn(&Request, &mut TcpStream) -> bool) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let (mut reader, mut stream) = (Reader::new(reading), stream);
    while let Some(request) = reader.request() {
        if !handler(&request, &mut stream) {
            return;
        }
    }
}

/// Writes a response with a length.
pub fn respond(out: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let bytes = [head.as_bytes(), body].concat();
    out.write_all(&bytes).is_ok()
}

/// Opens a connection, sends bytes and reads one response within a time.
pub fn call(address: SocketAddr, bytes: &[u8], time: Duration) -> Result<Response, String> {
    let until = Instant::now() + time;
    let mut stream = TcpStream::connect_timeout(&address, time).map_err(|e| e.to_string())?;
    let left = until.saturating_duration_since(Instant::now());
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let _ = stream.set_write_timeout(Some(left.max(Duration::from_millis(1))));
    stream.write_all(bytes).map_err(|e| e.to_string())?;
    Reader::new(stream)
        .response()
        .ok_or_else(|| "no response".to_owned())
}
