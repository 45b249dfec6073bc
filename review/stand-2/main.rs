//! Stand-ins and cases of the second independent review. Usage: `stand CASE FOLDER`, from the root of
//! the repository; `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod cases;
mod engine;
mod http;
mod world;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// A case ends after this time, whatever it waits for.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1).cloned(), args.get(2).cloned()) else {
        eprintln!("usage: stand CASE FOLDER");
        exit(2);
    };
    if case == "server" {
        let address = args.get(3).cloned().unwrap_or_default();
        return engine::serve_until_crash(&folder, &address);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        world::end_all();
        exit(2);
    });
    let run = std::panic::catch_unwind(move || cases::run(&case, &PathBuf::from(folder), trouble));
    world::end_all();
    match run {
        Ok(Ok(broken)) => exit(i32::from(broken)),
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
        Err(_) => exit(2),
    }
}
