//! Many clients send chunked bodies of legal size, stop just short of the end and stay.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, Builder};
use std::time::{Duration, Instant};

use super::{configuration, head};
use crate::world::{entry, World};
use crate::{engine, http};

/// Clients that stop short of the end.
const CLIENTS: usize = 600;
/// Size of a body, far below the limit of 4 MiB; and of a chunk.
const BODY_BYTES: usize = 60_000;
const CHUNK_BYTES: usize = 16;
/// When a client that was refused or closed comes again.
const COME_AGAIN: Duration = Duration::from_millis(250);
/// How long the clients press.
const PRESSURE: Duration = Duration::from_secs(25);

pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut world = World::start(folder)?;
    let record = world.record.clone();
    let mut entries = Vec::new();
    for (id, service, n) in [
        ("m-1", "models", 1),
        ("r-1", "records", 2),
        ("r-2", "records", 3),
    ] {
        engine::start(id, world.server(n), engine::plain(), &world.runs, &record)?;
        entries.push(entry(id, service, world.server(n), "z1", "ready").into_bytes());
    }
    *world.listing.lock().unwrap() = entries;
    world.operate("PUT", "/config", configuration(1).as_bytes())?;
    world.start_fronts(1)?;
    let front = world.fronts[0];
    let calm = ordinary(&world, "calm", Duration::from_secs(5));
    let metrics = world.at(1, 2);
    let (stop, opened) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    if trouble {
        for n in 0..CLIENTS {
            let (stop, opened) = (Arc::clone(&stop), Arc::clone(&opened));
            let client = Builder::new().stack_size(128 * 1024);
            let client = client.spawn(move || press(front, n, &stop, &opened));
            client.map_err(|error| error.to_string())?;
        }
        sleep(Duration::from_secs(1));
    }
    let (ended, log) = (Arc::clone(&stop), record.clone());
    std::thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            let probe = b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n";
            if let Ok(answer) = http::call(metrics, probe, Duration::from_secs(2)) {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let lines = text.lines().filter(|line| line.starts_with("berg_memory"));
                log.line(&format!("front: {}", lines.collect::<Vec<_>>().join(", ")));
            }
            sleep(Duration::from_millis(500));
        }
    });
    let pressed = ordinary(&world, "pressed", PRESSURE);
    stop.store(true, Ordering::Relaxed);
    let pid = world.front_pids[0];
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let most = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap_or("the process has ended");
    record.say(&format!(
        "unfinished bodies sent: {}; front: {most}",
        opened.load(Ordering::Relaxed)
    ));
    record.say(&format!(
        "ordinary requests, calm: {} of {} served",
        calm.0, calm.1
    ));
    record.say(&format!(
        "ordinary requests, under pressure: {} of {} served",
        pressed.0, pressed.1
    ));
    if calm.0 * 10 < calm.1 * 9 {
        return Err("too few requests were served in calm".to_owned());
    }
    Ok(pressed.0 * 4 < pressed.1)
}

/// Sends an ordinary request each 100 ms. Returns how many were served, and how many were sent.
fn ordinary(world: &World, phase: &str, time: Duration) -> (usize, usize) {
    let (front, record) = (world.fronts[0], world.record.clone());
    let served = Arc::new(AtomicUsize::new(0));
    let until = Instant::now() + time;
    let mut clients = Vec::new();
    let mut sent = 0;
    while Instant::now() < until {
        let attempt = format!("{phase}{sent:06x}");
        sent += 1;
        let (served, record) = (Arc::clone(&served), record.clone());
        clients.push(std::thread::spawn(move || {
            let bytes = format!("{}\r\n", head("GET", "/safe/pipe", &attempt, 1000));
            let answer = http::call(front, bytes.as_bytes(), Duration::from_secs(1));
            let text = match &answer {
                Ok(response) => response.status.to_string(),
                Err(error) => error.clone(),
            };
            served.fetch_add(
                usize::from(answer.is_ok_and(|r| r.status == 200)),
                Ordering::Relaxed,
            );
            record.line(&format!("client: {attempt}: {text}"));
        }));
        sleep(Duration::from_millis(100));
    }
    for client in clients {
        let _ = client.join();
    }
    (served.load(Ordering::Relaxed), sent)
}

/// Sends a body up to just short of its end, and waits until the front answers or closes the connection;
/// again and again.
fn press(front: SocketAddr, n: usize, stop: &AtomicBool, opened: &AtomicUsize) {
    let mut body = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES))
        .repeat(BODY_BYTES / CHUNK_BYTES);
    body.truncate(body.len() - 3);
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let head = head(
            "POST",
            "/safe/survey",
            &format!("b{n:04x}{round:04x}"),
            10_000,
        );
        let request = format!("{head}Transfer-Encoding: chunked\r\n\r\n{body}");
        if let Ok(mut stream) = TcpStream::connect(front) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
            if stream.write_all(request.as_bytes()).is_ok() {
                opened.fetch_add(1, Ordering::Relaxed);
                let _ = stream.read(&mut [0; 512]);
            }
        }
        sleep(COME_AGAIN);
    }
}
