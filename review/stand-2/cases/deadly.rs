//! A request that crashes each server that runs it comes again, while the machines of the core are stopped
//! and started in turn.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{configuration, head};
use crate::world::World;
use crate::{engine, http};

/// The time between two requests with the same path, caller and body.
const INTERVAL: Duration = Duration::from_secs(20);
const REQUESTS: u32 = 6;
/// When a machine of the core is stopped, after each request.
const STOP_AFTER: Duration = Duration::from_millis(11_500);
/// `StableWindowMs` of the deployment.
const STABLE: Duration = Duration::from_secs(3);

pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut world = World::start(folder)?;
    let record = world.record.clone();
    for n in 1..=4 {
        engine::keep(
            &format!("r-{n}"),
            "records",
            world.server(n),
            &world.listing,
            &world.runs,
            &record,
        );
    }
    let order = configuration(1).into_bytes();
    world.operate("PUT", "/config", &order)?;
    world.start_fronts(2)?;
    sleep(Duration::from_secs(1));
    let begun = Instant::now();
    for n in 0..REQUESTS {
        let due = begun + INTERVAL * n;
        sleep(due.saturating_duration_since(Instant::now()));
        let attempt = format!("d{n:08x}");
        let front = world.fronts[n as usize % 2];
        let bytes = format!(
            "{}Content-Length: 2\r\n\r\nhi",
            head("POST", engine::DEADLY, &attempt, 1000)
        );
        let answer = http::call(front, bytes.as_bytes(), Duration::from_secs(1));
        let text = answer.map_or_else(|error| error, |response| response.status.to_string());
        record.line(&format!("client: {attempt} {}: {text}", engine::DEADLY));
        if n + 1 == REQUESTS {
            break;
        }
        sleep((due + STOP_AFTER).saturating_duration_since(Instant::now()));
        let leader = world.leader(&order).ok_or("no leader")?;
        record.line(&format!("control-{leader} leads"));
        if trouble {
            world.restart_control(leader)?;
        }
    }
    sleep(Duration::from_millis(500));
    let runs = world.runs.lock().unwrap();
    let deadly: Vec<_> = runs
        .iter()
        .filter(|run| run.target.starts_with(engine::DEADLY))
        .collect();
    let third = deadly.get(2).ok_or("fewer than three crashes")?.at;
    let late: Vec<_> = deadly
        .iter()
        .filter(|run| run.at > third + STABLE)
        .collect();
    let mut repeats: Vec<_> = late.iter().map(|run| run.attempt.clone()).collect();
    repeats.dedup();
    record.say(&format!(
        "{} runs of the request, each a crash",
        deadly.len()
    ));
    record.say(&format!(
        "later than StableWindowMs after the third: {} runs, of {} requests of the client",
        late.len(),
        repeats.len()
    ));
    Ok(repeats.len() > 3)
}
