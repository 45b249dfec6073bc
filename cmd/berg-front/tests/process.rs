//! The program as a process: what it writes, and that nobody has to read it.

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

/// Longest time for one answer, and for the process to end beyond its grace.
const AT_ONCE: Duration = Duration::from_secs(2);
/// The grace and the time that the process waits for the balancer, in milliseconds.
const GRACE: u64 = 800;
/// Connections that ask at the same time.
const CALLERS: usize = 4;

/// A front that no control host answers, so that it refuses every request and logs it.
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
             list = \"{ip}:7104\"\nlinger_ms = 100\ngrace_ms = {GRACE}\n[log]\nformat = \"json\"\n"
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
            assert!(Instant::now() < end, "the front does not listen");
            thread::sleep(Duration::from_millis(10));
        }
        front
    }

    /// Sends requests over some connections at once and returns the longest time of an answer.
    fn ask(&self, requests: usize) -> Duration {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                let listen = self.listen;
                thread::spawn(move || ask(listen, requests / CALLERS))
            })
            .collect();
        let longest = callers.into_iter().map(|caller| caller.join().unwrap());
        longest.max().unwrap()
    }

    /// Asks the process to stop and returns how long that took.
    fn stop(mut self) -> Duration {
        let asked = Instant::now();
        let pid = Pid::from_child(&self.process);
        kill_process(pid, Signal::TERM).unwrap();
        let most = Duration::from_millis(GRACE) + 5 * AT_ONCE;
        loop {
            if self.process.try_wait().unwrap().is_some() {
                return asked.elapsed();
            }
            if asked.elapsed() > most {
                self.process.kill().unwrap();
                self.process.wait().unwrap();
                return asked.elapsed();
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Sends requests over one connection, one after the other.
fn ask(listen: SocketAddr, requests: usize) -> Duration {
    let mut stream = TcpStream::connect(listen).unwrap();
    stream.set_read_timeout(Some(5 * AT_ONCE)).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut longest = Duration::ZERO;
    for _ in 0..requests {
        let asked = Instant::now();
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
        longest = longest.max(asked.elapsed());
    }
    longest
}

case::cases! {
    stalled_reader_of_the_log_stops_nothing: {
        let front = Front::start();
        // More lines than the pipe and the queue of the log take together.
        let longest = front.ask(12_000);
        assert!(longest < AT_ONCE, "an answer took {longest:?}");
        let stop = front.stop();
        assert!(stop < Duration::from_millis(GRACE) + AT_ONCE, "the stop took {stop:?}");
    };
    refused_request_writes_its_decision_and_its_answer: {
        let mut front = Front::start();
        let output = front.process.stdout.take().unwrap();
        let lines = thread::spawn(move || {
            let lines = BufReader::new(output).lines();
            lines.map(Result::unwrap).collect::<Vec<_>>()
        });
        front.ask(400);
        front.stop();
        let lines = lines.join().unwrap();
        let of = |event: u16| {
            let event = format!("\"event\":{event}}}");
            lines.iter().filter(|line| line.ends_with(&event)).count()
        };
        assert_eq!((of(2011), of(2001)), (400, 400));
        // Start, stop, and the control host and the list that do not answer.
        assert!(lines.len() <= 820, "{} lines", lines.len());
    };
}
