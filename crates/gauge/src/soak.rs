//! A soak: callers and faults against a local system with three control hosts, two entries and
//! three engines, with the promises checked throughout.

use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Mutex,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant, //
};

use edge::CallError;
use fake::{
    Input as Disturb,
    Profile, //
};
use ids::Secret;
use local::{
    LocalSystem,
    Options, //
    Response,
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;

use crate::process::memory;
use crate::sample::Series;

/// Callers at once.
const CALLERS: u64 = 12;
/// Pause between two faults, in milliseconds.
const FAULT_PAUSE: std::ops::Range<u64> = 1500..4000;
/// How long a control host stays away, in milliseconds.
const AWAY: std::ops::Range<u64> = 500..4000;
/// Pause between two looks at the memory.
const LOOK: Duration = Duration::from_secs(5);

/// What a soak saw.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Model calls answered whole.
    pub served: u64,
    /// Model calls refused or broken off, with an error that says so.
    pub rejected: u64,
    /// Bookings that ran.
    pub booked: u64,
    /// Bookings that were resent and got the recorded answer.
    pub replayed: u64,
    /// Bookings refused, as not run or unknown.
    pub rejected_bookings: u64,
    /// Faults made.
    pub faults: u64,
    /// Keys withdrawn and found refused at every entry.
    pub withdrawn_keys: u64,
    /// Promises broken.
    pub violations: Vec<String>,
    /// Memory in use over time.
    pub memory: Vec<Series>,
}

#[derive(Default)]
struct Tally {
    served: AtomicU64,
    rejected: AtomicU64,
    booked: AtomicU64,
    replayed: AtomicU64,
    rejected_bookings: AtomicU64,
    withdrawn_keys: AtomicU64,
    faults: AtomicU64,
    violations: Mutex<Vec<String>>,
}

impl Tally {
    fn violation(&self, text: String) {
        self.violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(text);
    }
}

fn up(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Runs a soak.
///
/// # Errors
///
/// A sentence, if the system cannot start or a control host cannot start again.
pub fn soak(length: Duration, seed: u64) -> Result<SoakReport, String> {
    let options = Options {
        controls: 3,
        entries: 2,
        engines: 3,
        usage_window: Duration::from_secs(5),
        profile: Profile {
            warmup: Duration::from_millis(300),
            ..Profile::default()
        },
        ..Options::default()
    };
    let mut local = LocalSystem::start(&options, &obs::discard()).map_err(|f| f.to_string())?;
    let (_, key) = local.new_key("norte").map_err(|f| f.to_string())?;
    let entries = [local.entry_address_at(0), local.entry_address_at(1)];
    let tally = Tally::default();
    let stop = AtomicBool::new(false);
    let mut series = Series::new("memory, MiB", "seconds");
    let result = std::thread::scope(|scope| {
        let bookings: Vec<_> = (0..CALLERS)
            .map(|n| {
                let (tally, stop, key) = (&tally, &stop, &key);
                scope.spawn(move || caller(n, &entries, key, tally, stop))
            })
            .collect();
        let result = disturb(&mut local, &entries, length, seed, &tally, &mut series);
        stop.store(true, Ordering::Release);
        let made: Vec<_> = bookings
            .into_iter()
            .filter_map(|t| t.join().ok())
            .flatten()
            .collect();
        check_bookings(&local, &made, &tally);
        result
    });
    check_windows(&local, &tally);
    check_transcripts(&local, &tally);
    local.close();
    result?;
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    Ok(SoakReport {
        served: get(&tally.served),
        rejected: get(&tally.rejected),
        booked: get(&tally.booked),
        replayed: get(&tally.replayed),
        rejected_bookings: get(&tally.rejected_bookings),
        faults: get(&tally.faults),
        withdrawn_keys: get(&tally.withdrawn_keys),
        violations: tally
            .violations
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner),
        memory: vec![series],
    })
}

fn disturb(
    local: &mut LocalSystem,
    entries: &[SocketAddr; 2],
    length: Duration,
    seed: u64,
    tally: &Tally,
    series: &mut Series,
) -> Result<(), String> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let began = Instant::now();
    let mut looked = began;
    while began.elapsed() < length {
        std::thread::sleep(Duration::from_millis(rng.random_range(FAULT_PAUSE)));
        up(&tally.faults);
        match rng.random_range(0..6) {
            0 | 1 => {
                let n = rng.random_range(0..3);
                local.stop_control(n);
                std::thread::sleep(Duration::from_millis(rng.random_range(AWAY)));
                local.start_control(n).map_err(|f| f.to_string())?;
            }
            2 => local.engines[rng.random_range(0..3)].inject(Disturb::Crash),
            3 => local.engines[rng.random_range(0..3)].inject(Disturb::Flush),
            4 => {
                let engine = &local.engines[rng.random_range(0..3)];
                engine.inject(Disturb::Speed(25));
                std::thread::sleep(Duration::from_millis(rng.random_range(AWAY)));
                engine.inject(Disturb::Speed(100));
            }
            _ => withdraw(local, entries, tally)?,
        }
        if looked.elapsed() >= LOOK {
            looked = Instant::now();
            check_transcripts(local, tally);
            let mib = memory() as f64 / (1024.0 * 1024.0);
            series.push(began.elapsed().as_secs_f64(), mib);
        }
    }
    Ok(())
}

/// A key that was withdrawn, with the wait, is refused at every entry.
fn withdraw(local: &LocalSystem, entries: &[SocketAddr; 2], tally: &Tally) -> Result<(), String> {
    let (name, key) = local.new_key("sur").map_err(|f| f.to_string())?;
    local.withdraw(&name).map_err(|f| f.to_string())?;
    for entry in entries {
        match send(*entry, "/v1/chat/completions", &key, None, chat(3, false)) {
            Ok(answer) if answer.status == 401 || answer.execution == "not-run" => {}
            Ok(answer) => tally.violation(format!("withdrawn key got {}", answer.status)),
            Err(fault) => tally.violation(format!("withdrawn key got no answer: {fault}")),
        }
    }
    up(&tally.withdrawn_keys);
    Ok(())
}

/// One booking: its request key, whether it was answered, whether it was ever refused as not run
/// without a later try.
struct Booking {
    key: String,
    answered: bool,
    not_run: bool,
}

fn caller(
    n: u64,
    entries: &[SocketAddr; 2],
    key: &Secret,
    tally: &Tally,
    stop: &AtomicBool,
) -> Vec<Booking> {
    let mut bookings = Vec::new();
    let mut serial = 0;
    while !stop.load(Ordering::Acquire) {
        serial += 1;
        let entry = entries[(serial % 2) as usize];
        if serial % 3 == 0 {
            bookings.push(book(format!("b{n}-{serial}"), entries, key, tally));
        } else {
            ask(entry, key, serial % 2 == 0, tally);
        }
    }
    bookings
}

fn ask(entry: SocketAddr, key: &Secret, stream: bool, tally: &Tally) {
    match send(entry, "/v1/chat/completions", key, None, chat(20, stream)) {
        Ok(answer) if answer.status == 200 => {
            let whole = answer.complete
                && (if stream {
                    answer.body.ends_with("data: [DONE]\n\n")
                } else {
                    answer.body.contains(" w19")
                });
            let says_so = answer.body.contains("\"error\"") && !answer.body.contains("[DONE]");
            if whole {
                up(&tally.served);
            } else if says_so && !answer.complete {
                up(&tally.rejected);
            } else {
                tally.violation(format!(
                    "an answer was neither whole nor broken: {}",
                    answer.body
                ));
            }
        }
        Ok(answer) if !answer.run.is_empty() => up(&tally.rejected),
        Ok(answer) => tally.violation(format!("status {} without a run state", answer.status)),
        Err(fault) => tally.violation(format!("a call got no answer: {fault}")),
    }
}

/// Books, and sends the booking again through the other entry.
fn book(name: String, entries: &[SocketAddr; 2], key: &Secret, tally: &Tally) -> Booking {
    let body = name.clone();
    let mut booking = Booking {
        key: name,
        answered: false,
        not_run: false,
    };
    let mut first = None;
    for entry in entries {
        let answer = send(
            *entry,
            "/permits/book",
            key,
            Some(&booking.key),
            body.clone(),
        );
        booking.not_run = false;
        match answer {
            Ok(answer) if answer.status == 201 => {
                booking.answered = true;
                match &first {
                    None => up(&tally.booked),
                    Some(before) if *before == answer.body => up(&tally.replayed),
                    Some(_) => tally.violation(format!("{}: another answer", booking.key)),
                }
                first = Some(answer.body);
            }
            Ok(answer) if !answer.run.is_empty() => {
                up(&tally.rejected_bookings);
                booking.not_run = answer.run == "not-run" && first.is_none();
            }
            Ok(answer) => {
                tally.violation(format!("{}: status {}", booking.key, answer.status));
            }
            Err(fault) => tally.violation(format!("{}: no answer: {fault}", booking.key)),
        }
    }
    booking
}

/// Nothing ran twice; what was answered ran; what was refused as not run did not.
fn check_bookings(local: &LocalSystem, bookings: &[Booking], tally: &Tally) {
    for booking in bookings {
        let runs = local
            .service
            .executions("POST", "/permits/book", &booking.key);
        let fits = runs <= 1 && (!booking.answered || runs == 1) && (!booking.not_run || runs == 0);
        if !fits {
            let Booking {
                key,
                answered,
                not_run,
            } = booking;
            tally.violation(format!(
                "{key}: {runs} runs, answered {answered}, not run {not_run}"
            ));
        }
    }
}

/// No endpoint saw a key since the last look.
fn check_transcripts(local: &LocalSystem, tally: &Tally) {
    let engines = local.engines.iter().map(|engine| engine.transcript());
    for transcript in engines.chain([local.service.transcript()]) {
        if Secret::find(&transcript.take()).is_some() {
            tally.violation("an endpoint saw a key".to_owned());
        }
    }
}

/// No window was reported with two figures.
fn check_windows(local: &LocalSystem, tally: &Tally) {
    let windows = local.platform.windows();
    for window in &windows {
        let other =
            |w: &&fake::ReportedWindow| w.window == window.window && w.lines != window.lines;
        if windows.iter().any(|w| other(&w)) {
            tally.violation(format!("window {} has two figures", window.window));
        }
    }
}

fn chat(tokens: u64, stream: bool) -> String {
    format!(
        r#"{{"model":"crew-assistant","stream":{stream},"max_tokens":{tokens},
            "messages":[{{"role":"user","content":"repair notes"}}]}}"#
    )
}

/// Posts with a key, and with a request key if there is one.
fn send(
    entry: SocketAddr,
    path: &str,
    key: &Secret,
    request: Option<&str>,
    body: String,
) -> Result<Response, CallError> {
    let bearer = format!("Bearer {}", key.reveal());
    let mut fields = vec![("authorization", bearer.as_str())];
    fields.extend(request.map(|key| ("idempotency-key", key)));
    local::post(entry, path, &fields, body)
}
