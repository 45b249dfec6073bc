//! The front's log on standard output: the lines per request, and that requests and shutdown do not
//! block when nobody reads the log.

use std::fs;
use std::io::{
    BufRead,
    BufReader,
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::process::{
    Child,
    Command,
    Stdio, //
};
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use tempfile::TempDir;

/// Longest time for one response, and for the process to exit after the time limit of its shutdown.
const RESPONSE_LIMIT: Duration = Duration::from_secs(2);
/// Time limit of a shutdown, in milliseconds. It includes the delay for the load balancer.
const GRACE_MS: u64 = 800;
/// Number of concurrent connections.
const CALLERS: usize = 4;

/// A front process without a control host, so that it rejects and logs every request.
struct Front {
    process: Child,
    listen: SocketAddr,
    _dir: TempDir,
}

impl Front {
    fn start() -> Self {
        let dir = TempDir::new().unwrap();
        let ip = edge::reserve_address().unwrap().ip();
        let listen = SocketAddr::new(ip, 7101);
        let secret = dir.path().join("secret");
        fs::write(&secret, "0123456789abcdef0123456789abcdef").unwrap();
        let settings = dir.path().join("front.toml");
        let text = format!(
            "host = \"h1\"\ncluster = \"c\"\nsecret_file = {secret:?}\nlisten = \"{listen}\"\n\
             zone = \"z\"\ncontrol = [\"{ip}:7102\"]\ncontrol_port = 7102\nready = \"{ip}:7103\"\n\
             list = \"{ip}:7104\"\nlinger_ms = 100\ngrace_ms = {GRACE_MS}\n[log]\nformat = \"json\"\n"
        );
        fs::write(&settings, text).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_berg-front"))
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let front = Self {
            process,
            listen,
            _dir: dir,
        };
        let end = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect(listen).is_err() {
            assert!(
                Instant::now() < end,
                "the front does not listen on {listen}"
            );
            thread::sleep(Duration::from_millis(10));
        }
        front
    }

    /// Sends requests over [`CALLERS`] connections and returns the longest response time.
    fn send(&self, requests: usize) -> Duration {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                let listen = self.listen;
                thread::spawn(move || send(listen, requests / CALLERS))
            })
            .collect();
        let times = callers.into_iter().map(|caller| caller.join().unwrap());
        times.max().unwrap()
    }

    /// Signals the process to stop and returns the time until it exits. Kills it if it does not exit.
    fn stop(mut self) -> Duration {
        let signalled_at = Instant::now();
        let pid = Pid::from_child(&self.process);
        kill_process(pid, Signal::TERM).unwrap();
        let limit = Duration::from_millis(GRACE_MS) + 5 * RESPONSE_LIMIT;
        loop {
            if self.process.try_wait().unwrap().is_some() {
                return signalled_at.elapsed();
            }
            if signalled_at.elapsed() > limit {
                self.process.kill().unwrap();
                self.process.wait().unwrap();
                return signalled_at.elapsed();
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Sends requests over one connection, one after the other, and returns the longest response time.
fn send(listen: SocketAddr, requests: usize) -> Duration {
    let mut stream = TcpStream::connect(listen).unwrap();
    stream.set_read_timeout(Some(5 * RESPONSE_LIMIT)).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut longest = Duration::ZERO;
    for _ in 0..requests {
        let sent_at = Instant::now();
        let head = "GET /x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        let mut length = 0;
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            reader.read_line(&mut line).unwrap();
            let name = line.to_ascii_lowercase();
            if let Some(value) = name.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
        }
        reader.read_exact(&mut vec![0; length]).unwrap();
        longest = longest.max(sent_at.elapsed());
    }
    longest
}

case::cases! {
    unread_log_does_not_block_requests_or_shutdown: {
        let front = Front::start();
        // These requests write more lines than the pipe and the logger's queue hold together.
        let longest = front.send(12_000);
        assert!(longest < RESPONSE_LIMIT, "a response took {longest:?}");
        let stop = front.stop();
        assert!(stop < Duration::from_millis(GRACE_MS) + RESPONSE_LIMIT, "the shutdown took {stop:?}");
    };
    rejected_request_logs_its_decision_and_its_error: {
        let mut front = Front::start();
        let output = front.process.stdout.take().unwrap();
        let lines = thread::spawn(move || {
            let lines = BufReader::new(output).lines();
            lines.map(Result::unwrap).collect::<Vec<_>>()
        });
        front.send(400);
        front.stop();
        let lines = lines.join().unwrap();
        let count = |event: u16| {
            let event = format!("\"event\":{event}}}");
            lines.iter().filter(|line| line.ends_with(&event)).count()
        };
        assert_eq!((count(2011), count(2001)), (400, 400));
        // 20 lines more than the requests': start, stop, and the unavailable control host and
        // listing service.
        assert!(lines.len() <= 820, "{} lines", lines.len());
    };
}
