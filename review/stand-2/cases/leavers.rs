//! Part of the clients leave before their deadline for a while; afterwards all is calm.
//!
//! The engines answer each request 60 ms after they have received it.

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
const EVERY: Duration = Duration::from_millis(250);
/// The clients that leave do so within this time after they have sent their request.
const LEAVE_WITHIN_US: u64 = 5_000;
/// They leave for some seconds, and then stay for a while.
const EPISODE: Duration = Duration::from_millis(5000);
const PAUSE: Duration = Duration::from_millis(1500);
/// How long there are such clients, and how long there are none afterwards.
const PRESSURE: Duration = Duration::from_secs(60);
const CALM: Duration = Duration::from_secs(35);
/// How often a request with a long prompt is sent, all the time.
const HISTORY_EVERY: Duration = Duration::from_millis(250);

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
    let stop = Arc::new(AtomicBool::new(false));
    let notes = Arc::new(Tally::default());
    for n in 0..CLIENTS {
        let (stop, notes, record) = (Arc::clone(&stop), Arc::clone(&notes), record.clone());
        std::thread::spawn(move || {
            client(
                front,
                n,
                trouble && n % LEAVING == 0,
                &stop,
                &notes,
                &record,
            )
        });
    }
    let (during, afterwards) = (Arc::new(Tally::default()), Arc::new(Tally::default()));
    histories(front, &record, "pressed", PRESSURE, &during);
    stop.store(true, Ordering::Relaxed);
    histories(front, &record, "calm", CALM, &afterwards);
    sleep(Duration::from_secs(4));
    let left = notes.left.load(Ordering::Relaxed);
    record.say(&format!("requests whose client left: {left}"));
    let [(notes_served, notes_sent), (served, sent), (calm_served, calm_sent)] =
        [&notes, &during, &afterwards].map(|tally| tally.get());
    record.say(&format!(
        "`note`, without those: {notes_served} of {notes_sent} served"
    ));
    record.say(&format!("`history`: {served} of {sent} served meanwhile, {calm_served} of {calm_sent} in the calm after it"));
    let (history_served, history_sent) = (served + calm_served, sent + calm_sent);
    let (all_served, all_sent) = (notes_served + history_served, notes_sent + history_sent);
    if all_served * 2 < all_sent {
        return Err("too few requests were served".to_owned());
    }
    // The share of the kind is less than a quarter of the share of all.
    Ok(history_served * 4 * all_sent < all_served * history_sent)
}

/// Requests of one kind.
#[derive(Default)]
struct Tally {
    sent: AtomicUsize,
    served: AtomicUsize,
    left: AtomicUsize,
}

impl Tally {
    fn get(&self) -> (usize, usize) {
        (
            self.served.load(Ordering::Relaxed),
            self.sent.load(Ordering::Relaxed),
        )
    }
}

/// Sends requests with long prompts at a fixed rate for a time.
fn histories(front: SocketAddr, record: &Record, phase: &str, time: Duration, tally: &Arc<Tally>) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let n = tally.sent.fetch_add(1, Ordering::Relaxed);
        let (attempt, tally, record) =
            (format!("{phase}{n:06x}"), Arc::clone(tally), record.clone());
        std::thread::spawn(move || {
            let bytes = format!(
                "{}{LONG}Content-Length: 2\r\n\r\nhi",
                head("POST", HISTORY, &attempt, 4000)
            );
            let answer = http::call(front, bytes.as_bytes(), Duration::from_secs(4));
            let text = answer.map_or_else(|error| error, |response| response.status.to_string());
            tally
                .served
                .fetch_add(usize::from(text == "200"), Ordering::Relaxed);
            record.line(&format!("client: {attempt}: {text}"));
        });
        sleep(HISTORY_EVERY);
    }
}

fn in_episode(at: Duration) -> bool {
    at.as_millis() % (EPISODE + PAUSE).as_millis() < EPISODE.as_millis()
}

/// Sends one request after the other, and leaves before the answer if it is to.
fn client(
    front: SocketAddr,
    n: u64,
    leaves: bool,
    stop: &AtomicBool,
    tally: &Tally,
    record: &Record,
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
        let attempt = format!("n{n:02x}{round:08x}");
        let bytes = format!(
            "{}{SHORT}Content-Length: 2\r\n\r\nhi",
            head("POST", NOTE, &attempt, 10_000)
        );
        if leaves && in_episode(started.elapsed()) {
            if let Ok(mut stream) = TcpStream::connect(front) {
                let _ = stream.set_nodelay(true);
                let _ = stream.write_all(bytes.as_bytes());
                let stays = Duration::from_micros(random % LEAVE_WITHIN_US);
                sleep(stays);
                tally.left.fetch_add(1, Ordering::Relaxed);
                record.line(&format!(
                    "client: {attempt}: leaves after {} us",
                    stays.as_micros()
                ));
            }
        } else {
            tally.sent.fetch_add(1, Ordering::Relaxed);
            let answer = http::call(front, bytes.as_bytes(), Duration::from_secs(10));
            let served = answer.is_ok_and(|response| response.status == 200);
            tally
                .served
                .fetch_add(usize::from(served), Ordering::Relaxed);
        }
        sleep(EVERY.saturating_sub(begun.elapsed()));
    }
}
