//! Part of the clients leave before their deadline; afterwards all is calm.
//!
//! The engines answer each request 60 ms after they have received it, and are idle in calm.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{configuration, head};
use crate::world::{entry, Record, World};
use crate::{engine, http};

/// Clients, of which one in five leaves, and how often each one sends a request.
const CLIENTS: u64 = 100;
const LEAVING: u64 = 5;
const EVERY: Duration = Duration::from_millis(500);
/// The clients that leave do so within this time after they have sent their request.
const LEAVE_WITHIN_US: u64 = 20_000;
/// They leave for some seconds, and then stay for a while.
const EPISODE: Duration = Duration::from_millis(5000);
const PAUSE: Duration = Duration::from_millis(1500);
/// How long there are such clients, and how long none.
const PRESSURE: Duration = Duration::from_secs(70);
const REST: Duration = Duration::from_secs(5);
/// Requests of each kind that are sent in calm, before and after.
const CALM: u32 = 20;

/// Paths and prompts like those of `pipe-history` and of `repair-note`.
const HISTORY: &str = "/history/x";
const LONG: &str = "X-Bergamothinge-Model: m\r\nX-Bergamothinge-Token-Counts: 9190,40\r\nX-Bergamothinge-Prompt-Prefix: 1:6300,2:2890\r\n";
const NOTE: &str = "/note/x";
const SHORT: &str = "X-Bergamothinge-Model: m\r\nX-Bergamothinge-Token-Counts: 715,280\r\nX-Bergamothinge-Prompt-Prefix: 3:172,4:543\r\n";

pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut world = World::start(folder)?;
    let record = world.record.clone();
    let stream: engine::Answer = Arc::new(|request, out| {
        sleep(Duration::from_millis(60));
        let event = "id: 1\ndata: x\n\n";
        let text = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n0\r\n\r\n",
            engine::fields(request), event.len()
        );
        out.write_all(text.as_bytes()).is_ok()
    });
    for n in 1..=3 {
        let id = format!("m-{n}");
        engine::start(
            &id,
            world.server(n),
            Arc::clone(&stream),
            &world.runs,
            &record,
        )?;
        world
            .listing
            .lock()
            .unwrap()
            .push(entry(&id, "models", world.server(n), "z1", "ready").into_bytes());
    }
    world.operate("PUT", "/config", configuration(1).as_bytes())?;
    world.start_fronts(1)?;
    let front = world.fronts[0];
    let calm = ordinary(front, &record, "calm", (HISTORY, LONG));
    let stop = Arc::new(AtomicBool::new(false));
    let (left, stayed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut threads = Vec::new();
    // One client in five leaves.
    for n in 0..CLIENTS {
        let (stop, left, stayed) = (Arc::clone(&stop), Arc::clone(&left), Arc::clone(&stayed));
        threads.push(std::thread::spawn(move || {
            client(front, n, trouble && n % LEAVING == 0, &stop, &left, &stayed)
        }));
    }
    sleep(PRESSURE);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    sleep(REST);
    let short = ordinary(front, &record, "short", (NOTE, SHORT));
    let after = ordinary(front, &record, "after", (HISTORY, LONG));
    let (left, stayed) = (left.load(Ordering::Relaxed), stayed.load(Ordering::Relaxed));
    record.say(&format!(
        "requests whose client left: {left}; other requests served meanwhile: {stayed}"
    ));
    record.say(&format!(
        "long prompts in calm: {calm} of {CALM} served before, {after} of {CALM} afterwards"
    ));
    record.say(&format!(
        "short prompts in calm: {short} of {CALM} served afterwards"
    ));
    if calm * 10 < CALM * 9 || short * 10 < CALM * 9 {
        return Err("too few requests were served in calm".to_owned());
    }
    // Less than a quarter as often as all requests: after / CALM < (after + short) / (2 * CALM) / 4.
    Ok(after * 8 < after + short)
}

fn in_episode(at: Duration) -> bool {
    at.as_millis() % (EPISODE + PAUSE).as_millis() < EPISODE.as_millis()
}

fn ordinary(front: SocketAddr, record: &Record, phase: &str, (path, fields): (&str, &str)) -> u32 {
    let mut served = 0;
    for n in 0..CALM {
        let attempt = format!("{phase}{n:06x}");
        let bytes = format!(
            "{}{fields}Content-Length: 2\r\n\r\nhi",
            head("POST", path, &attempt, 4000)
        );
        let answer = http::call(front, bytes.as_bytes(), Duration::from_secs(4));
        let text = answer.map_or_else(|error| error, |response| response.status.to_string());
        served += u32::from(text == "200");
        record.line(&format!("client: {attempt}: {text}"));
        sleep(Duration::from_millis(100));
    }
    served
}

fn client(
    front: SocketAddr,
    n: u64,
    leaves: bool,
    stop: &AtomicBool,
    left: &AtomicUsize,
    stayed: &AtomicUsize,
) {
    let started = Instant::now();
    let (mut random, mut round) = (0x9e37_79b9_7f4a_7c15 ^ (n + 1), 0u64);
    sleep(EVERY * (n as u32) / CLIENTS as u32);
    while !stop.load(Ordering::Relaxed) {
        let begun = Instant::now();
        round += 1;
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let attempt = format!("l{n:02x}{round:08x}");
        let bytes = format!(
            "{}{SHORT}Content-Length: 2\r\n\r\nhi",
            head("POST", NOTE, &attempt, 10_000)
        );
        if let Ok(mut stream) = TcpStream::connect(front) {
            let _ = stream.set_nodelay(true);
            let _ = stream.write_all(bytes.as_bytes());
            if leaves && in_episode(started.elapsed()) {
                sleep(Duration::from_micros(random % LEAVE_WITHIN_US));
                left.fetch_add(1, Ordering::Relaxed);
            } else {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
                let mut reader = http::Reader::new(stream);
                let served = reader.response().is_some_and(|r| r.status == 200);
                stayed.fetch_add(usize::from(served), Ordering::Relaxed);
            }
        }
        sleep(EVERY.saturating_sub(begun.elapsed()));
    }
}
