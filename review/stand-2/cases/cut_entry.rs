//! The platform's list holds an entry of another writer whose bytes cannot be read, while a server drains.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{configuration, head};
use crate::world::{entry, World};
use crate::{engine, http};

/// `DrainMs` of the deployment, and `MaxLagMs` of the list, by which the stand-in's list does not lag.
const DRAIN: Duration = Duration::from_millis(3000);

pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut world = World::start(folder)?;
    let record = world.record.clone();
    for (id, n) in [("r-1", 1), ("r-2", 2), ("r-3", 3)] {
        engine::start(id, world.server(n), engine::plain(), &world.runs, &record)?;
        world
            .listing
            .lock()
            .unwrap()
            .push(entry(id, "records", world.server(n), "z1", "ready").into_bytes());
    }
    world.operate("PUT", "/config", configuration(1).as_bytes())?;
    world.start_fronts(1)?;
    let front = world.fronts[0];
    let begun = Instant::now();
    let mut draining_since = None;
    let (mut late, mut served, mut sent) = (0, 0, 0);
    while begun.elapsed() < Duration::from_secs(20) {
        let second = begun.elapsed().as_secs();
        if trouble && second >= 3 && world.listing.lock().unwrap().len() == 3 {
            let cut = br#"{"Id":"x-1","Service":"rec"#.to_vec();
            record.line(&format!(
                "list: a further entry: {}",
                String::from_utf8_lossy(&cut)
            ));
            world.listing.lock().unwrap().push(cut);
        }
        if second >= 6 && draining_since.is_none() {
            record.line("list: r-1 is draining");
            world.listing.lock().unwrap()[0] =
                entry("r-1", "records", world.server(1), "z1", "draining").into_bytes();
            draining_since = Some(Instant::now());
        }
        let (path, attempt) = (format!("/once/{sent}"), format!("a{sent:08x}"));
        sent += 1;
        let sent_at = Instant::now();
        let bytes = format!(
            "{}Content-Length: 2\r\n\r\nhi",
            head("POST", &path, &attempt, 1000)
        );
        let answer = http::call(front, bytes.as_bytes(), Duration::from_secs(1));
        let text = answer.map_or_else(|error| error, |response| response.status.to_string());
        served += u32::from(text == "200");
        record.line(&format!("client: {attempt} {path}: {text}"));
        let at_first = world
            .runs
            .lock()
            .unwrap()
            .iter()
            .any(|run| run.attempt == attempt && run.engine == "r-1");
        if at_first && draining_since.is_some_and(|since| sent_at > since + DRAIN) {
            late += 1;
        }
        sleep(Duration::from_millis(50));
    }
    record.say(&format!("{served} of {sent} requests were served"));
    record.say(&format!(
        "{late} were sent later than DrainMs after r-1 was listed as draining, and reached it"
    ));
    Ok(late > 0)
}
