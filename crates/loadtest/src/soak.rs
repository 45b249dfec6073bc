//! A soak test: concurrent callers use a local system of three control hosts, two entries and three
//! engines while faults are injected. The system's guarantees are checked during
//! the whole run.

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
    Input as EngineFault,
    Profile, //
};
use ids::Secret;
use local::{
    LocalSystem,
    Options,
    Response, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;

use crate::process::resident_bytes;
use crate::sample::Series;

/// Concurrent callers.
const CALLERS: u64 = 12;
/// Pause between two faults, in milliseconds; drawn from this range.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 1500..4000;
/// Duration of a control host's outage or an engine's slowdown, in milliseconds; drawn from this
/// range.
const OUTAGE_MS: std::ops::Range<u64> = 500..4000;
/// Shortest time between two checks of the endpoints' transcripts and the memory.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The results of a soak test.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Model calls with a complete response.
    pub served: u64,
    /// Model calls that were rejected or broke off, with an error in the response.
    pub rejected: u64,
    /// Bookings that received the response of the service.
    pub booked: u64,
    /// Repeated bookings that received the recorded response.
    pub replayed: u64,
    /// Booking requests rejected as not executed or with an unknown outcome.
    pub rejected_bookings: u64,
    /// Injected faults, including withdrawals of keys.
    pub faults: u64,
    /// Keys that were withdrawn and then tried at every entry.
    pub withdrawn_keys: u64,
    /// Descriptions of violated guarantees.
    pub violations: Vec<String>,
    /// Resident memory over time.
    pub memory: Vec<Series>,
}

/// Counters that all threads of a soak test share.
#[derive(Default)]
struct Totals {
    served: AtomicU64,
    rejected: AtomicU64,
    booked: AtomicU64,
    replayed: AtomicU64,
    rejected_bookings: AtomicU64,
    withdrawn_keys: AtomicU64,
    faults: AtomicU64,
    violations: Mutex<Vec<String>>,
}

impl Totals {
    fn violation(&self, message: String) {
        self.violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(message);
    }
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Runs a soak test.
///
/// # Errors
///
/// A message if the system cannot start, a control host cannot restart or a key cannot be created
/// or withdrawn.
pub fn soak(duration: Duration, seed: u64) -> Result<SoakReport, String> {
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
    let mut local =
        LocalSystem::start(&options, &obs::discard()).map_err(|error| error.to_string())?;
    let (_, key) = local.new_key("norte").map_err(|error| error.to_string())?;
    let entries = [local.entry_address_at(0), local.entry_address_at(1)];
    let totals = Totals::default();
    let stop = AtomicBool::new(false);
    let mut series = Series::new("memory, MiB", "seconds");
    let result = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS)
            .map(|n| {
                let (totals, stop, key) = (&totals, &stop, &key);
                scope.spawn(move || caller(n, &entries, key, totals, stop))
            })
            .collect();
        let result = inject_faults(&mut local, &entries, duration, seed, &totals, &mut series);
        stop.store(true, Ordering::Release);
        let bookings: Vec<_> = threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .flatten()
            .collect();
        check_bookings(&local, &bookings, &totals);
        result
    });
    check_windows(&local, &totals);
    check_transcripts(&local, &totals);
    local.close();
    result?;
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    Ok(SoakReport {
        served: read(&totals.served),
        rejected: read(&totals.rejected),
        booked: read(&totals.booked),
        replayed: read(&totals.replayed),
        rejected_bookings: read(&totals.rejected_bookings),
        faults: read(&totals.faults),
        withdrawn_keys: read(&totals.withdrawn_keys),
        violations: totals
            .violations
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner),
        memory: vec![series],
    })
}

/// Injects random faults until `duration` has passed, and checks transcripts and memory in between.
fn inject_faults(
    local: &mut LocalSystem,
    entries: &[SocketAddr; 2],
    duration: Duration,
    seed: u64,
    totals: &Totals,
    series: &mut Series,
) -> Result<(), String> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let started_at = Instant::now();
    let mut checked_at = started_at;
    while started_at.elapsed() < duration {
        std::thread::sleep(Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS)));
        increment(&totals.faults);
        match rng.random_range(0..6) {
            0 | 1 => {
                let n = rng.random_range(0..3);
                local.stop_control(n);
                std::thread::sleep(Duration::from_millis(rng.random_range(OUTAGE_MS)));
                local.start_control(n).map_err(|error| error.to_string())?;
            }
            2 => local.engines[rng.random_range(0..3)].inject(EngineFault::Crash),
            3 => local.engines[rng.random_range(0..3)].inject(EngineFault::Flush),
            4 => {
                let engine = &local.engines[rng.random_range(0..3)];
                engine.inject(EngineFault::Speed(25));
                std::thread::sleep(Duration::from_millis(rng.random_range(OUTAGE_MS)));
                engine.inject(EngineFault::Speed(100));
            }
            _ => check_withdrawn_key(local, entries, totals)?,
        }
        if checked_at.elapsed() >= CHECK_INTERVAL {
            checked_at = Instant::now();
            check_transcripts(local, totals);
            let mib = resident_bytes() as f64 / (1024.0 * 1024.0);
            series.push(started_at.elapsed().as_secs_f64(), mib);
        }
    }
    Ok(())
}

/// Creates a key, withdraws it and checks that no entry executes a request with it once the
/// withdrawal has returned.
fn check_withdrawn_key(
    local: &LocalSystem,
    entries: &[SocketAddr; 2],
    totals: &Totals,
) -> Result<(), String> {
    let (name, key) = local.new_key("sur").map_err(|error| error.to_string())?;
    local.withdraw(&name).map_err(|error| error.to_string())?;
    for entry in entries {
        match post(*entry, "/v1/chat/completions", &key, None, chat(3, false)) {
            Ok(response) if response.status == 401 || response.execution == "not-run" => {}
            Ok(response) => totals.violation(format!("withdrawn key got {}", response.status)),
            Err(error) => totals.violation(format!("withdrawn key got no answer: {error}")),
        }
    }
    increment(&totals.withdrawn_keys);
    Ok(())
}

/// A booking by its request key.
struct Booking {
    key: String,
    /// Whether any request received the response of the service.
    answered: bool,
    /// Whether the last request was rejected as not executed and no earlier one received a response.
    not_executed: bool,
}

/// Calls the model and books, through both entries, until the soak test stops.
fn caller(
    n: u64,
    entries: &[SocketAddr; 2],
    key: &Secret,
    totals: &Totals,
    stop: &AtomicBool,
) -> Vec<Booking> {
    let mut bookings = Vec::new();
    let mut serial = 0;
    while !stop.load(Ordering::Acquire) {
        serial += 1;
        let entry = entries[(serial % 2) as usize];
        if serial % 3 == 0 {
            bookings.push(book(format!("b{n}-{serial}"), entries, key, totals));
        } else {
            call_model(entry, key, serial % 2 == 0, totals);
        }
    }
    bookings
}

/// Calls the model once and checks that the response is complete or reports an error.
fn call_model(entry: SocketAddr, key: &Secret, stream: bool, totals: &Totals) {
    match post(entry, "/v1/chat/completions", key, None, chat(20, stream)) {
        Ok(response) if response.status == 200 => {
            let complete = response.complete
                && (if stream {
                    response.body.ends_with("data: [DONE]\n\n")
                } else {
                    response.body.contains(" w19")
                });
            let reports_error =
                response.body.contains("\"error\"") && !response.body.contains("[DONE]");
            if complete {
                increment(&totals.served);
            } else if reports_error && !response.complete {
                increment(&totals.rejected);
            } else {
                totals.violation(format!(
                    "an answer was neither whole nor broken: {}",
                    response.body
                ));
            }
        }
        Ok(response) if !response.execution.is_empty() => increment(&totals.rejected),
        Ok(response) => totals.violation(format!("status {} without a run state", response.status)),
        Err(error) => totals.violation(format!("a call got no answer: {error}")),
    }
}

/// Sends the same booking through both entries. The second response must equal the first.
fn book(request_key: String, entries: &[SocketAddr; 2], key: &Secret, totals: &Totals) -> Booking {
    let body = request_key.clone();
    let mut booking = Booking {
        key: request_key,
        answered: false,
        not_executed: false,
    };
    let mut first_body = None;
    for entry in entries {
        let response = post(
            *entry,
            "/permits/book",
            key,
            Some(&booking.key),
            body.clone(),
        );
        booking.not_executed = false;
        match response {
            Ok(response) if response.status == 201 => {
                booking.answered = true;
                match &first_body {
                    None => increment(&totals.booked),
                    Some(body) if *body == response.body => increment(&totals.replayed),
                    Some(_) => totals.violation(format!("{}: another answer", booking.key)),
                }
                first_body = Some(response.body);
            }
            Ok(response) if !response.execution.is_empty() => {
                increment(&totals.rejected_bookings);
                booking.not_executed = response.execution == "not-run" && first_body.is_none();
            }
            Ok(response) => {
                totals.violation(format!("{}: status {}", booking.key, response.status));
            }
            Err(error) => totals.violation(format!("{}: no answer: {error}", booking.key)),
        }
    }
    booking
}

/// Checks that no booking was executed twice, that each booking with a response was executed, and
/// that no booking rejected as not executed was.
fn check_bookings(local: &LocalSystem, bookings: &[Booking], totals: &Totals) {
    for booking in bookings {
        let executions = local
            .service
            .executions("POST", "/permits/book", &booking.key);
        let consistent = executions <= 1
            && (!booking.answered || executions == 1)
            && (!booking.not_executed || executions == 0);
        if !consistent {
            let Booking {
                key,
                answered,
                not_executed,
            } = booking;
            totals.violation(format!(
                "{key}: {executions} runs, answered {answered}, not run {not_executed}"
            ));
        }
    }
}

/// Checks that no endpoint has received a client's key since the last check.
fn check_transcripts(local: &LocalSystem, totals: &Totals) {
    let engines = local.engines.iter().map(|engine| engine.transcript());
    for transcript in engines.chain([local.service.transcript()]) {
        if Secret::find(&transcript.take()).is_some() {
            totals.violation("an endpoint saw a key".to_owned());
        }
    }
}

/// Checks that no usage window was reported twice with different contents.
fn check_windows(local: &LocalSystem, totals: &Totals) {
    let windows = local.platform.windows();
    for window in &windows {
        let differs =
            |w: &&fake::ReportedWindow| w.window == window.window && w.lines != window.lines;
        if windows.iter().any(|w| differs(&w)) {
            totals.violation(format!("window {} has two figures", window.window));
        }
    }
}

fn chat(tokens: u64, stream: bool) -> String {
    format!(
        r#"{{"model":"crew-assistant","stream":{stream},"max_tokens":{tokens},
            "messages":[{{"role":"user","content":"repair notes"}}]}}"#
    )
}

/// Posts a body with a client's key and, if given, a request key.
fn post(
    entry: SocketAddr,
    path: &str,
    key: &Secret,
    request_key: Option<&str>,
    body: String,
) -> Result<Response, CallError> {
    let bearer = format!("Bearer {}", key.reveal());
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(request_key.map(|key| ("idempotency-key", key)));
    local::post(entry, path, &headers, body)
}
