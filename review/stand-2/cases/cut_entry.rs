//! The platform's list holds an entry of another writer whose bytes cannot be read, as a front starts.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use super::{configuration, head};
use crate::world::{entry, World};
use crate::{engine, http};

/// Bookings that are sent, and the time between two.
const BOOKINGS: u32 = 300;
const EVERY: Duration = Duration::from_millis(50);

pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut world = World::start(folder)?;
    let record = world.record.clone();
    let mut entries = Vec::new();
    for (id, n) in [("r-1", 1), ("r-2", 2), ("r-3", 3)] {
        engine::start(id, world.server(n), engine::plain(), &world.runs, &record)?;
        entries.push(entry(id, "records", world.server(n), "z1", "ready").into_bytes());
    }
    if trouble {
        entries.push(br#"{"Id":"x-1","Service":"rec"#.to_vec());
    }
    for entry in &entries {
        record.line(&format!("list: {}", String::from_utf8_lossy(entry)));
    }
    *world.listing.lock().unwrap() = entries;
    world.operate("PUT", "/config", configuration(1).as_bytes())?;
    // Returns once each front answers its readiness probe with 200.
    world.start_fronts(2)?;
    sleep(Duration::from_secs(2));
    let mut served = 0;
    for n in 0..BOOKINGS {
        let attempt = format!("a{n:08x}");
        let front = world.fronts[n as usize % 2];
        let bytes = format!(
            "{}Content-Length: 2\r\n\r\nhi",
            head("POST", "/once/x", &attempt, 1000)
        );
        let answer = http::call(front, bytes.as_bytes(), Duration::from_secs(1));
        let text = answer.map_or_else(|error| error, |response| response.status.to_string());
        served += u32::from(text == "200");
        record.line(&format!("client: {attempt}: {text}"));
        sleep(EVERY);
    }
    record.say(&format!(
        "two fronts are ready; {served} of {BOOKINGS} bookings were served by three sound servers"
    ));
    if !trouble && served * 10 < BOOKINGS * 9 {
        return Err("too few bookings were served".to_owned());
    }
    Ok(served == 0)
}
