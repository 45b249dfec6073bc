//! The cases of the review that are scripts: `cases NAME REPOSITORY FOLDER`.

mod stand;
use stand::*;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let repo = Path::new(&args[2]);
    let folder = Path::new(&args[3]);
    let record = Record::open(&folder.join("record.txt"));
    // A stand-in that fails shows nothing about the rule.
    let case = || match args[1].as_str() {
        "changes" => changes(repo, &record),
        "list" => list(repo, &record),
        "bodies" => bodies(repo, &record),
        "replaced" => replaced(repo, &record),
        _ => 2,
    };
    let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(case)).unwrap_or(2);
    record.say(&format!("exit code {code}"));
    ExitCode::from(code)
}

const SERVICE: &str = "svc1";

/// Starts machines in these zones, `started` of them, with the engines listed, and waits until the
/// front of the first one serves.
fn deploy(
    repo: &Path,
    record: &Record,
    zones: &[&str],
    started: usize,
    work: Duration,
) -> Option<(Cloud, Vec<Engine>, Fleet)> {
    let cloud = Cloud::start("127.0.0.1", record);
    let engine = |at: usize| Engine::start("127.0.0.1", &format!("i-{at}"), work, record);
    let engines: Vec<_> = (0..3).map(engine).collect();
    for (at, engine) in engines.iter().enumerate() {
        cloud.list(
            &engine.id,
            entry(&engine.id, SERVICE, zones[at], engine.address, "ready"),
        );
    }
    let mut fleet = Fleet::new(repo, zones, &cloud, record);
    (0..started).for_each(|at| fleet.start_machine(at));
    fleet.set("Bootstrap", "false");
    let first = config(1, SERVICE, 0);
    let acked = wait_until(Duration::from_secs(15), || {
        fleet.tend();
        let answer = fleet.order("PUT", "/config", &first, Duration::from_secs(2));
        answer.is_some_and(|answer| answer.status() == 200)
    });
    if !acked {
        record.say("the first configuration was not acknowledged");
        return None;
    }
    record.line("operator: version 1 was acknowledged");
    let mut n = 0;
    let warm = wait_until(Duration::from_secs(10), || {
        n += 1;
        ask(&fleet, record, 0, "GET", "/safe/x", &format!("warm-{n}")) == 200
    });
    if !warm {
        record.say("no request was served before the disruption");
        return None;
    }
    Some((cloud, engines, fleet))
}

/// Sends a client's request to a front; 0 if there is no complete answer.
fn ask(fleet: &Fleet, record: &Record, at: usize, method: &str, path: &str, id: &str) -> u16 {
    let body: &[u8] = if method == "POST" { b"booking" } else { b"" };
    let request = request(method, path, id, 1000, body);
    let answer = call(fleet.front(at), &request, Duration::from_secs(2));
    let status = answer
        .filter(|answer| answer.complete)
        .map_or(0, |answer| answer.status());
    record.line(&format!(
        "client: {id} {method} {path} at {} -> {status}",
        fleet.machines[at].name
    ));
    status
}

/// Time that an engine works on a booking.
const WORK: Duration = Duration::from_millis(150);
/// `DrainMs` of the deployment.
const DRAIN: Duration = Duration::from_millis(3000);

/// One entry of the platform's list, of another writer, holds a byte that is no text. Then one engine
/// is drained and ends, and another one takes its place.
fn list(repo: &Path, record: &Record) -> u8 {
    let zones = ["quito-norte", "quito-sur", "valle-chillos"];
    let Some((cloud, engines, mut fleet)) = deploy(repo, record, &zones, 3, WORK) else {
        return 2;
    };
    if trouble() {
        let form = std::env::var("FORM").unwrap_or_default();
        let nobody = "127.0.0.9:9".parse().unwrap();
        let good = entry("i-x", "other", zones[0], nobody, "ready");
        let bad = match form.as_str() {
            "number" => good.replace("\"Slots\":64", "\"Slots\":1e999").into_bytes(),
            "surrogate" => good.replace("\"v1\"", "\"\\ud800\"").into_bytes(),
            _ => {
                let mut bytes = good.into_bytes();
                let at = bytes.windows(5).position(|w| w == b"other").unwrap();
                bytes[at] = 0xff;
                bytes
            }
        };
        record.line(&format!(
            "platform: an entry of another writer: {}",
            String::from_utf8_lossy(&bad)
        ));
        cloud.list("i-x", bad);
    }
    thread::sleep(Duration::from_secs(2));
    // The release: for each engine a new one starts, the old one is listed as draining, serves for
    // DrainMs and 1.5 s longer, and ends.
    let mut replaced = Vec::new();
    let mut drained: Vec<Instant> = Vec::new();
    let begun = Instant::now();
    let step = Duration::from_secs(3);
    // END=finish: an engine answers what is in progress before it ends.
    let finish = std::env::var("END").is_ok_and(|end| end == "finish");
    let outcomes = Mutex::new(Vec::new());
    let total = thread::scope(|scope| {
        let (fleet, outcomes) = (&fleet, &outcomes);
        let (mut n, mut ended) = (0, 0);
        while begun.elapsed() < Duration::from_secs(18) {
            if drained.len() < engines.len() && begun.elapsed() >= step * drained.len() as u32 {
                let at = drained.len();
                let id = format!("i-{}", 3 + at);
                let new = Engine::start("127.0.0.1", &id, WORK, record);
                cloud.list(&id, entry(&id, SERVICE, zones[at], new.address, "ready"));
                let old = &engines[at];
                old.draining.store(true, Ordering::SeqCst);
                cloud.list(
                    &old.id,
                    entry(&old.id, SERVICE, zones[at], old.address, "draining"),
                );
                record.line(&format!(
                    "platform: the list shows {} as draining and {id} as ready",
                    old.id
                ));
                replaced.push(new);
                drained.push(Instant::now());
            }
            if ended < drained.len()
                && drained[ended].elapsed() > DRAIN + Duration::from_millis(1500)
            {
                engines[ended].stop(finish);
                cloud.unlist(&engines[ended].id);
                record.line(&format!(
                    "engine {} ended and left the list",
                    engines[ended].id
                ));
                ended += 1;
            }
            let (at, id, sent) = (n % 3, format!("booking-{n}"), begun.elapsed());
            scope.spawn(move || {
                let status = ask(fleet, record, at, "POST", "/unsafe/x", &id);
                outcomes.lock().unwrap().push((sent, status));
            });
            n += 1;
            thread::sleep(Duration::from_millis(40));
        }
        n
    });
    let late: usize = engines
        .iter()
        .zip(&drained)
        .map(|(old, listed)| {
            let runs = old.runs.lock().unwrap();
            runs.iter()
                .filter(|(at, _)| at.saturating_duration_since(*listed) > DRAIN)
                .count()
        })
        .sum();
    let outcomes = outcomes.into_inner().unwrap();
    let count = |wanted: &[u16]| {
        outcomes
            .iter()
            .filter(|(_, status)| wanted.contains(status))
            .count()
    };
    let last: Vec<_> = outcomes
        .iter()
        .filter(|(sent, _)| *sent > Duration::from_secs(14))
        .collect();
    record.say(&format!(
        "of {total} bookings {} were served, {} lost (502, 504 or closed), {} refused; {late} ran at an engine \
         later than DrainMs after the list had shown it as draining; of the {} sent after the release {} were \
         served; {} ran at the new engines",
        count(&[200]),
        count(&[502, 504, 0]),
        count(&[429, 503]),
        last.len(),
        last.iter().filter(|(_, status)| *status == 200).count(),
        replaced.iter().map(Engine::run_count).sum::<usize>(),
    ));
    if fleet.tend() > 0 {
        record.say("a process ended by itself");
        return 2;
    }
    u8::from(late > 0)
}

/// Two machines of the core are replaced, the new ones first; then one machine loses its disk.
fn replaced(repo: &Path, record: &Record) -> u8 {
    let zones = [
        "quito-norte",
        "quito-sur",
        "valle-chillos",
        "quito-norte",
        "quito-sur",
    ];
    let Some((_cloud, _engines, mut fleet)) =
        deploy(repo, record, &zones, 3, Duration::from_millis(20))
    else {
        return 2;
    };
    let catch_up = Duration::from_secs(4);
    let pause = catch_up + Duration::from_secs(2);
    for new in [3, 4] {
        fleet.start_machine(new);
        record.line(&format!("machine {} was added", fleet.machines[new].name));
        thread::sleep(pause);
    }
    for old in [0, 1] {
        record.line(&format!(
            "machine {} gets SIGTERM and leaves for good",
            fleet.machines[old].name
        ));
        fleet.terminate(old, Duration::from_secs(8));
        thread::sleep(pause);
    }
    // The settings files name the machines that serve control now.
    fleet.set_seeds(&[2, 3, 4]);
    let ack = |fleet: &Fleet, version: u64| {
        let answer = fleet.order(
            "PUT",
            "/config",
            &config(version, SERVICE, 0),
            Duration::from_secs(4),
        );
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("operator: PUT of version {version} -> {status}"));
        status == 200
    };
    if !ack(&fleet, 2) {
        record.say("version 2 was not acknowledged");
        return 2;
    }
    let serve = |fleet: &Fleet, phase: &str| {
        let live = [2, 3, 4];
        let count = 30;
        let served = (0..count).filter(|n| {
            let status = ask(
                fleet,
                record,
                live[n % 3],
                "GET",
                "/safe/x",
                &format!("{phase}-{n}"),
            );
            thread::sleep(Duration::from_millis(100));
            status == 200
        });
        (served.count(), count)
    };
    let before = serve(&fleet, "before");
    if trouble() {
        record.line(&format!(
            "machine {} loses power and its disk",
            fleet.machines[2].name
        ));
        fleet.kill(2);
        fleet.wipe(2);
        thread::sleep(Duration::from_millis(1300));
        fleet.start_machine(2);
        record.line("it is back at its address with an empty disk");
    }
    // RecoverS after all machines are back.
    thread::sleep(Duration::from_secs(13));
    let after = serve(&fleet, "after");
    let mut read = None;
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end && read.is_none() {
        let answer = fleet.order_at(&[2, 3, 4], "GET", "/config", "", Duration::from_secs(1));
        read = answer.filter(|answer| answer.status() == 200);
    }
    let text = read.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    let newest = text
        .as_ref()
        .is_some_and(|text| text.contains("\"Version\":2,"));
    record.say(&format!(
        "served {} of {} before, {} of {} later than RecoverS after the machine was back; the \
         configuration read back: {}",
        before.0,
        before.1,
        after.0,
        after.1,
        if newest {
            "version 2"
        } else if text.is_some() {
            "another"
        } else {
            "none in 6 s"
        }
    ));
    if before.0 * 4 < before.1 {
        return 2;
    }
    if fleet.tend() > 0 {
        record.say("a process ended by itself");
        return 2;
    }
    u8::from(!newest || after.0 * 4 < after.1)
}

/// `Limits.MemoryMb` of the deployment.
const MEMORY: u64 = 110 * 1024 * 1024;

/// Many users send bodies at once, each within `MaxBodyBytes`. The platform kills a process that uses
/// more than its memory, and starts it again.
fn bodies(repo: &Path, record: &Record) -> u8 {
    let zones = ["quito-norte", "quito-sur", "valle-chillos"];
    let Some((_cloud, engines, mut fleet)) =
        deploy(repo, record, &zones, 3, Duration::from_millis(300))
    else {
        return 2;
    };
    let size = if trouble() { 4_000_000 } else { 4_000 };
    let (users, bursts, fronts) = (16, 3, [0usize, 1]);
    let mut kills = [0; 2];
    let mut down: [Option<Instant>; 2] = [None; 2];
    let mut peak = 0;
    let (mut sent, mut answered) = (0, 0);
    let mut unanswered = Vec::new();
    for burst in 0..bursts {
        let mut clients = Vec::new();
        for at in fronts {
            for user in 0..users {
                let (address, id) = (fleet.front(at), format!("booking-{burst}-{at}-{user}"));
                clients.push(thread::spawn(move || {
                    let body = vec![b'x'; size];
                    let request = request("POST", "/unsafe/x", &id, 4000, &body);
                    let answer = call(address, &request, Duration::from_secs(5));
                    (
                        id,
                        answer
                            .filter(|answer| answer.complete)
                            .map_or(0, |answer| answer.status()),
                    )
                }));
            }
        }
        let end = Instant::now() + Duration::from_secs(6);
        while Instant::now() < end {
            for at in fronts {
                let Some(pid) = fleet.machines[at].front.as_ref().map(|front| front.id()) else {
                    if down[at].is_some_and(|since| since.elapsed() > Duration::from_secs(1)) {
                        fleet.start(at, "front");
                    }
                    continue;
                };
                let used = resident(pid);
                peak = peak.max(used);
                if used > MEMORY {
                    kills[at] += 1;
                    fleet.kill_role(at, "front");
                    down[at] = Some(Instant::now());
                    record.line(&format!(
                        "platform: the front of {} used {} MiB of 110 and was killed",
                        fleet.machines[at].name,
                        used >> 20
                    ));
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
        for client in clients {
            let (id, status) = client.join().expect("a client");
            record.line(&format!("client: {id} ({size} bytes) -> {status}"));
            sent += 1;
            if status == 0 {
                unanswered.push(id);
            } else {
                answered += 1;
            }
        }
        thread::sleep(Duration::from_secs(3));
    }
    let ran: Vec<_> = engines
        .iter()
        .flat_map(|e| e.runs.lock().unwrap().clone())
        .collect();
    let lost = unanswered
        .iter()
        .filter(|id| ran.iter().any(|(_, run)| run == *id))
        .count();
    record.say(&format!(
        "{sent} bookings of {size} bytes, {answered} answered, {} with a closed connection, {lost} of these had \
         run; most memory of a front {} MiB; ends over the limit: {kills:?}",
        unanswered.len(),
        peak >> 20
    ));
    if fleet.tend() > 0 {
        record.say("a process ended by itself");
        return 2;
    }
    u8::from(kills.iter().all(|kills| *kills >= 3))
}

/// The configuration grows by many routes, and then changes three times a second. The platform kills a
/// process that uses more than its memory, and starts it again.
fn changes(repo: &Path, record: &Record) -> u8 {
    let zones = ["quito-norte", "quito-sur", "valle-chillos"];
    let Some((_cloud, _engines, mut fleet)) = deploy(repo, record, &zones, 3, WORK) else {
        return 2;
    };
    let routes = if trouble() { 8 * 350 } else { 0 };
    let gap = Duration::from_millis(330);
    let begun = Instant::now();
    let end = begun + Duration::from_secs(85);
    let mut kills = [0; 3];
    let mut down: [Option<Instant>; 3] = [None; 3];
    let mut peak = 0;
    let mut tries = 0;
    // The newest version that was sent, and the one that was acknowledged.
    let mut sent = 1;
    let mut acked = 1;
    let (to_operator, answers) = channel();
    let mut in_progress = false;
    let mut next = begun;
    // At the end the operator reads back, while the platform goes on.
    let mut reader: Option<thread::JoinHandle<Option<Message>>> = None;
    while reader.as_ref().is_none_or(|reader| !reader.is_finished()) {
        if Instant::now() >= end && reader.is_none() {
            let nodes: Vec<_> = (0..3).map(|at| fleet.control(at)).collect();
            reader = Some(thread::spawn(move || {
                order(&nodes, "GET", "/config", "", Duration::from_secs(8))
            }));
        }
        if reader.is_none() && !in_progress && Instant::now() >= next {
            sent += 1;
            next = Instant::now() + gap;
            in_progress = true;
            let nodes: Vec<_> = (0..3).map(|at| fleet.control(at)).collect();
            let (version, body) = (sent, config(sent, SERVICE, routes));
            let to_operator = to_operator.clone();
            thread::spawn(move || {
                let answer = order(&nodes, "PUT", "/config", &body, Duration::from_secs(4));
                let _ = to_operator.send((version, answer.map_or(0, |answer| answer.status())));
            });
        }
        while let Ok((version, status)) = answers.try_recv() {
            in_progress = false;
            tries += 1;
            if status == 200 {
                acked = version;
            }
            record.line(&format!("operator: PUT of version {version} -> {status}"));
        }
        for at in 0..3 {
            if let Some(control) = &fleet.machines[at].control {
                let used = resident(control.id());
                peak = peak.max(used);
                if used > MEMORY {
                    kills[at] += 1;
                    fleet.kill_role(at, "control");
                    down[at] = Some(Instant::now());
                    record.line(&format!(
                        "platform: the control process of {} used {} MiB of 110 and was killed",
                        fleet.machines[at].name,
                        used >> 20
                    ));
                }
            } else if down[at].is_some_and(|since| since.elapsed() > Duration::from_secs(1)) {
                fleet.start(at, "control");
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    let served = (0..20)
        .filter(|n| ask(&fleet, record, n % 3, "GET", "/safe/x", &format!("end-{n}")) == 200)
        .count();
    let answer = reader.and_then(|reader| reader.join().ok().flatten());
    let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    let version = |wanted: u64| {
        let wanted = format!("{{\"Version\":{wanted},");
        text.as_ref().is_some_and(|text| text.starts_with(&wanted))
    };
    let read = (acked..=sent).any(version);
    record.say(&format!(
        "{tries} changes, version {acked} acknowledged, {} after them; most memory of a control process {} MiB; \
         ends over the limit: {kills:?}; at the end {served} of 20 requests served",
        if read { "read back" } else { "not read back in 8 s" },
        peak >> 20
    ));
    if fleet.tend() > 0 {
        record.say("a process ended by itself");
        return 2;
    }
    u8::from(!read || kills.iter().filter(|kills| **kills >= 3).count() >= 2)
}
