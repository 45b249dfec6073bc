//! An operator sends a configuration whose bytes cannot be read.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use super::configuration;
use crate::world::World;

pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let world = World::start(folder)?;
    let record = world.record.clone();
    let first = world.operate("PUT", "/config", configuration(1).as_bytes())?;
    if first.status != 200 {
        return Err(format!("the first configuration got {}", first.status));
    }
    // The second one differs by its version and, as a disruption, by one byte that no text in UTF-8 holds.
    let mut second = configuration(2).into_bytes();
    if trouble {
        let at = find(&second, b"/health").ok_or("no health path")?;
        second[at + 1] = 0xff;
    }
    let text = String::from_utf8_lossy(&second);
    record.line(&format!("version 2: {text}"));
    record.line(&format!(
        "version 2 is text in UTF-8: {}",
        std::str::from_utf8(&second).is_ok()
    ));
    let answer = world.operate("PUT", "/config", &second)?;
    sleep(Duration::from_secs(3));
    let read = world.operate("GET", "/config", b"")?;
    let readable = std::str::from_utf8(&read.body).is_ok();
    let in_force = read.body == second;
    record.say(&format!("version 2 was answered {}", answer.status));
    record.say(&format!(
        "read back: {}, version 2: {in_force}, text in UTF-8: {readable}",
        read.status
    ));
    if !trouble {
        return match (answer.status, in_force) {
            (200, true) => Ok(false),
            _ => Err("the valid configuration was not taken".to_owned()),
        };
    }
    let acknowledged = (200..300).contains(&answer.status);
    Ok(acknowledged || in_force)
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
