//! A front whose memory is limited stays alive and within its limit while many clients send bodies of
//! legal size at once, or stop in the middle of them, and serves an ordinary request afterwards. The cases
//! run in sequence, each with a front process of its own; none depends on the machine's speed.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::fs;
use std::io::Write;
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
use std::time::Duration;

use edge::reserve_address;
use support::{
    Env,
    read_response,
    ready_at, //
};
use tempfile::TempDir;

/// The memory that the settings grant the process, in MB.
const MEMORY_MB: usize = 64;
/// Connections that the settings allow.
const CONNECTIONS: usize = 200;
/// Most open descriptors: the connections, as many to endpoints, and those of the process itself.
const MAX_DESCRIPTORS: usize = 2 * CONNECTIONS + 60;
/// Clients that send a body at once. Their bodies take more than the process may use.
const CLIENTS: usize = 24;
/// Length of a large body; the plan allows 4,194,304 bytes.
const BODY_BYTES: usize = 4_000_000;
/// Length of a body in one-byte chunks. A list of its chunks would take 32 bytes for each.
const TINY_CHUNKS: usize = 200_000;
/// Bytes by which a client stops short of the end.
const MISSING_BYTES: usize = 1000;
/// Clients that open a connection and send nothing, or a part of a head only.
const IDLE_CLIENTS: usize = 300;

/// A front that uses no processor time for so long has read what it is willing to read.
const IDLE_TIME: Duration = Duration::from_millis(800);

struct Front {
    process: Child,
    listen: SocketAddr,
    _dir: TempDir,
}

impl Front {
    fn start(env: &Env) -> Self {
        let (listen, ready) = (reserve_address().unwrap(), reserve_address().unwrap());
        let more = format!(
            "memory_mb = {MEMORY_MB}\n[limits]\nconnections = {CONNECTIONS}\nidle_s = 4\nupload_s = 120\n\
             [log]\nformat = \"json\"\n"
        );
        let dir = TempDir::new().unwrap();
        let settings = dir.path().join("front.toml");
        fs::write(&settings, env.front_file(listen, ready, &more)).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_berg-front"))
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let front = Self {
            process,
            listen,
            _dir: dir,
        };
        env.until("the front listens", || TcpStream::connect(ready).is_ok());
        env.until("the front is ready", || ready_at(ready));
        front.serves(env);
        front
    }

    /// Waits until one ordinary request is served.
    fn serves(&self, env: &Env) {
        let head = Env::head("POST", "/safe/ok", Some("k"));
        let head = format!("{head}Content-Length: 5\r\n\r\n");
        env.until("an ordinary request is served", || {
            TcpStream::connect(self.listen).is_ok_and(|mut stream| {
                let timeout = Some(Duration::from_secs(5));
                stream.set_read_timeout(timeout).unwrap();
                let sent = stream.write_all(format!("{head}hello").as_bytes());
                sent.is_ok() && read_response(stream).status == 200
            })
        });
    }

    /// Waits until the process is idle, that is, has read what it is willing to read.
    fn settle(&self, env: &Env) {
        let time = || {
            let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).unwrap();
            let fields: Vec<_> = stat.split(' ').collect();
            (fields[13].to_owned(), fields[14].to_owned())
        };
        env.until("the front is idle", || {
            let before = time();
            thread::sleep(IDLE_TIME);
            before == time()
        });
    }

    /// Checks that the process is alive, has never used more memory than granted, and has a bounded
    /// number of descriptors. Returns the most memory it has used, in bytes.
    fn check(&mut self, case: &str) {
        assert!(self.process.try_wait().unwrap().is_none(), "{case}: ended");
        let id = self.process.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let most = most.unwrap().trim().trim_end_matches(" kB");
        let most = most.parse::<usize>().unwrap() * 1024;
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
        println!("{case}: {most} bytes, {descriptors} descriptors");
        assert!(most <= MEMORY_MB * 1_000_000, "{case}: {most} bytes");
        assert!(
            descriptors <= MAX_DESCRIPTORS,
            "{case}: {descriptors} descriptors"
        );
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// What a client sends.
#[derive(Clone, Copy)]
enum Upload {
    /// A body of a stated length.
    Length,
    /// A body in chunks of this size.
    Chunks(usize),
}

impl Upload {
    /// The head and the body of a request; the engine takes 0.2 s for it.
    fn request(self) -> Vec<u8> {
        let head = Env::head("POST", "/safe/slow", Some("k"));
        match self {
            Self::Length => {
                let mut bytes = format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n").into_bytes();
                bytes.resize(bytes.len() + BODY_BYTES, b'x');
                bytes
            }
            Self::Chunks(size) => {
                let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
                let count = (BODY_BYTES / size).min(TINY_CHUNKS);
                let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
                bytes.extend(chunk.repeat(count).bytes());
                bytes.extend(b"0\r\n\r\n");
                bytes
            }
        }
    }
}

/// Many clients send at once. They stop short of the end and keep their connections open, or send all and
/// read the response. Returns the open connections.
fn crowd(front: &Front, upload: Upload, whole: bool) -> Vec<TcpStream> {
    let request = upload.request();
    let end = request.len() - if whole { 0 } else { MISSING_BYTES };
    thread::scope(|scope| {
        let send = || {
            let mut stream = TcpStream::connect(front.listen).ok()?;
            // The front may reject the request and close the connection at any time.
            stream
                .set_write_timeout(Some(Duration::from_secs(10)))
                .unwrap();
            let sent = stream.write_all(&request[..end]).is_ok();
            if whole && sent {
                let timeout = Some(Duration::from_secs(10));
                stream.set_read_timeout(timeout).unwrap();
                read_response(stream.try_clone().unwrap());
            }
            Some(stream)
        };
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(send)).collect();
        let streams = clients
            .into_iter()
            .filter_map(|client| client.join().unwrap());
        streams.collect()
    })
}

/// Clients that send nothing, or only a part of a head.
fn idle_clients(front: &Front) -> Vec<TcpStream> {
    let open = |n: usize| {
        let mut stream = TcpStream::connect(front.listen).ok()?;
        if n.is_multiple_of(2) {
            let head = format!("GET /safe/ok HTTP/1.1\r\nX-Part: {}", "x".repeat(15_000));
            let _ = stream.write_all(head.as_bytes());
        }
        Some(stream)
    };
    (0..IDLE_CLIENTS).filter_map(open).collect()
}

/// Runs one case and returns its failure, if any, so that the others run too.
fn run(env: &Env, case: &str, send: impl FnOnce(&Front) -> Vec<TcpStream>) -> Option<String> {
    let checked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        let mut front = Front::start(env);
        let open = send(&front);
        front.settle(env);
        front.check(case);
        front.serves(env);
        front.check(case);
        drop(open);
    }));
    checked.is_err().then(|| case.to_owned())
}

case::cases! {
    front_stays_within_its_memory: {
        let env = Env::start();
        // The plan's usual limit on bodies.
        let config = support::config(2, "\"k\"").replace("4096", "4194304");
        assert_eq!(env.command("PUT", "/config", &config).status, 200);
        let cases = [
            ("large bodies", Upload::Length, true),
            ("large bodies that stop short", Upload::Length, false),
            ("large chunks that stop short", Upload::Chunks(65_536), false),
            ("one-byte chunks that stop short", Upload::Chunks(1), false),
        ];
        let mut failed: Vec<_> = cases
            .iter()
            .filter_map(|(case, upload, whole)| run(&env, case, |f| crowd(f, *upload, *whole)))
            .collect();
        failed.extend(run(&env, "idle connections and slow heads", idle_clients));
        env.close();
        assert!(failed.is_empty(), "{failed:?}");
    };
}
