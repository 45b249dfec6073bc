//! A stand-in for an engine or a plain server: it runs each request that names it, and says so in the
//! record.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::world::{self, Listing, Record};

/// A request that an engine has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub engine: String,
    pub attempt: String,
    pub target: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How an engine answers a request that it runs. Returns whether the connection stays open.
pub type Answer = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// The header fields of each answer of an engine.
pub fn fields(request: &Request) -> String {
    let attempt = request
        .header("x-bergamothinge-attempt-id")
        .unwrap_or_default();
    format!(
        "X-Bergamothinge-Attempt-Id: {attempt}\r\nX-Bergamothinge-Response-Stamp: s-{attempt}\r\n\
         X-Bergamothinge-Engine-Load: 1,0,64\r\n"
    )
}

/// Answers with a short body.
pub fn plain() -> Answer {
    Arc::new(|request, out| http::respond(out, 200, &fields(request), b"done"))
}

/// Starts an engine with this identity.
pub fn start(
    id: &str,
    address: SocketAddr,
    answer: Answer,
    runs: &Runs,
    record: &Record,
) -> Result<(), String> {
    let (id, runs, record) = (id.to_owned(), Arc::clone(runs), record.clone());
    http::serve(address, move |request, out| {
        let named = request.header("x-bergamothinge-expect-instance");
        if named.is_some_and(|named| named != id) {
            record.line(&format!("engine {id}: 421 for {}", request.target));
            let fields = "X-Bergamothinge-Not-Executed: 1\r\n";
            return http::respond(out, 421, fields, b"");
        }
        let attempt = request
            .header("x-bergamothinge-attempt-id")
            .unwrap_or_default();
        record.line(&format!(
            "engine {id}: runs {attempt} {} {}",
            request.method, request.target
        ));
        runs.lock().unwrap().push(Run {
            at: Instant::now(),
            engine: id.clone(),
            attempt: attempt.to_owned(),
            target: request.target.clone(),
        });
        answer(request, out)
    })
}

/// Requests whose path begins so crash each server that begins to run them.
pub const DEADLY: &str = "/safe/deadly";

/// How long a crashed server is down.
const DOWN: Duration = Duration::from_secs(3);

/// A server in a process of its own, which prints each request that it begins to run, and ends as it begins
/// to run a deadly one.
pub fn serve_until_crash(id: &str, address: &str) {
    let id = id.to_owned();
    let served = address
        .parse()
        .map_err(|_| "no address".to_owned())
        .and_then(|address| {
            http::serve(address, move |request, out| {
                let named = request.header("x-bergamothinge-expect-instance");
                if named.is_some_and(|named| named != id) {
                    return http::respond(out, 421, "X-Bergamothinge-Not-Executed: 1\r\n", b"");
                }
                let attempt = request
                    .header("x-bergamothinge-attempt-id")
                    .unwrap_or_default();
                println!("{attempt} {}", request.target);
                let _ = std::io::stdout().flush();
                if request.target.starts_with(DEADLY) {
                    std::process::exit(3);
                }
                http::respond(out, 200, &fields(request), b"done")
            })
        });
    if let Err(error) = served {
        eprintln!("{error}");
        return;
    }
    loop {
        sleep(Duration::from_secs(60));
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Keeps a server running in a process of its own: it is back some seconds after a crash, under the same
/// identity and with another start time in the list.
pub fn keep(
    id: &str,
    service: &str,
    address: SocketAddr,
    listing: &Listing,
    runs: &Runs,
    record: &Record,
) {
    let (id, service) = (id.to_owned(), service.to_owned());
    let (listing, runs, record) = (Arc::clone(listing), Arc::clone(runs), record.clone());
    let slot = listing.lock().unwrap().len();
    listing.lock().unwrap().push(Vec::new());
    let list = move |listing: &Listing, born: u64| {
        let entry = world::entry(&id, &service, address, "z1", "ready")
            .replace("1765000000000", &born.to_string());
        listing.lock().unwrap()[slot] = entry.into_bytes();
        id.clone()
    };
    let mut id = list(&listing, unix_ms());
    std::thread::spawn(move || loop {
        let program = std::env::current_exe().unwrap();
        let mut command = Command::new(program);
        let child = world::ends_with_parent(&mut command)
            .args(["server", &id, &address.to_string()])
            .stdout(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else { return };
        world::started(child.id());
        let output = child.stdout.take().unwrap();
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            record.line(&format!("server {id}: runs {line}"));
            let (attempt, target) = line.split_once(' ').unwrap_or_default();
            let run = Run {
                at: Instant::now(),
                engine: id.clone(),
                attempt: attempt.to_owned(),
                target: target.to_owned(),
            };
            runs.lock().unwrap().push(run);
        }
        let _ = child.wait();
        world::ended(child.id());
        record.line(&format!("server {id}: has crashed"));
        sleep(DOWN);
        id = list(&listing, unix_ms());
        record.line(&format!("server {id}: starts again"));
    });
}
