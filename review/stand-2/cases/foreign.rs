//! The platform's list holds an entry of another writer, with fields missing.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use super::{configuration, head};
use crate::world::{entry, World};
use crate::{engine, http};

pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut world = World::start(folder)?;
    let record = world.record.clone();
    let servers = [
        ("m-1", "models", 1),
        ("r-1", "records", 2),
        ("r-2", "records", 3),
    ];
    let mut entries = Vec::new();
    for (id, service, n) in servers {
        engine::start(id, world.server(n), engine::plain(), &world.runs, &record)?;
        entries.push(entry(id, service, world.server(n), "z1", "ready"));
    }
    if trouble {
        // Its fields `Version`, `ColdRemainingMs`, `Stage` and `Models` are missing.
        entries.push(format!(
            r#"{{"Id":"m-1","Service":"records","Address":"{}","Zone":"z1","Slots":64,"State":"ready","born":1765000000001}}"#,
            world.server(1)
        ));
    }
    for entry in &entries {
        record.line(&format!("list: {entry}"));
    }
    *world.listing.lock().unwrap() = entries.into_iter().map(String::into_bytes).collect();
    world.operate("PUT", "/config", configuration(1).as_bytes())?;
    world.start_fronts(1)?;
    let front = world.fronts[0];
    let mut served = 0;
    for n in 0..200 {
        let (path, attempt) = (format!("/once/{n}"), format!("a{n:08x}"));
        let bytes = format!(
            "{}Content-Length: 2\r\n\r\nhi",
            head("POST", &path, &attempt, 1000)
        );
        match http::call(front, bytes.as_bytes(), Duration::from_secs(1)) {
            Ok(response) => {
                served += u32::from(response.status == 200);
                record.line(&format!("client: {attempt} {path}: {}", response.status));
            }
            Err(error) => record.line(&format!("client: {attempt} {path}: {error}")),
        }
        sleep(Duration::from_millis(25));
    }
    let runs = world.runs.lock().unwrap();
    let wrong = runs.iter().filter(|run| run.engine == "m-1").count();
    record.say(&format!(
        "of 200 requests on a route to `records`, {served} were served"
    ));
    record.say(&format!("{wrong} were run by m-1, an engine of `models`"));
    if !trouble && served < 150 {
        return Err("too few requests were served".to_owned());
    }
    Ok(wrong > 0)
}
