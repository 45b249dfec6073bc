//! The cost of streams: CPU time of entry and agent per token, memory per stream, and the latency
//! that the router adds to an engine.

use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

use edge::{
    ResponseReader,
    Target, //
};
use fake::Profile;
use hdrhistogram::Histogram;
use local::{
    LocalSystem,
    Options, //
};

use crate::process::{
    cpu_time,
    resident_bytes, //
};
use crate::sample::Series;

/// Numbers of concurrent streams; each role of the local system has 64 traffic threads.
const SIZES: [usize; 4] = [4, 16, 32, 48];
/// Tokens of each stream.
const TOKENS: u64 = 300;
/// Timeout of a connection and of the first byte of a response.
const TIMEOUT: Duration = Duration::from_secs(60);

fn profile() -> Profile {
    Profile {
        slots: 64,
        prefill_rate: 1_000_000,
        base_time: Duration::from_millis(10),
        request_time: Duration::ZERO,
        warmup: Duration::ZERO,
        ..Profile::default()
    }
}

/// Times to the first chunk of a stream and between chunks, in microseconds.
struct Times {
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

pub(crate) fn measure() -> Result<Vec<Series>, String> {
    let options = Options {
        engines: 1,
        profile: profile(),
        ..Options::default()
    };
    let local = LocalSystem::start(&options, &obs::discard()).map_err(|error| error.to_string())?;
    let (_, key) = local.new_key("norte").map_err(|error| error.to_string())?;
    let header = (
        "authorization".to_owned(),
        format!("Bearer {}", key.reveal()),
    );
    // The agent's concurrency limit grows with first tokens that meet their target.
    for _ in 0..80 {
        run_streams(local.entry_address(), 1, 1, std::slice::from_ref(&header))?;
    }
    let mut entry = Series::new("entry, CPU us a token", "streams");
    let mut agent = Series::new("agent, CPU us a token", "streams");
    let mut memory = Series::new("memory, all roles and callers, MiB", "streams");
    let mut first = Series::new("added to the first token, p50, ms", "streams");
    let mut first_p99 = Series::new("added to the first token, p99, ms", "streams");
    let mut gap = Series::new("added between tokens, p50, ms", "streams");
    let mut gap_p99 = Series::new("added between tokens, p99, ms", "streams");
    for size in SIZES {
        let tokens = (size as u64 * TOKENS) as f64;
        let direct = run_streams(local.engines[0].address(), size, TOKENS, &[])?;
        let before = (cpu_time(&["entry-"]), cpu_time(&["agent-"]));
        let routed = run_streams(
            local.entry_address(),
            size,
            TOKENS,
            std::slice::from_ref(&header),
        )?;
        let used_cpu = (
            cpu_time(&["entry-"]) - before.0,
            cpu_time(&["agent-"]) - before.1,
        );
        let x = size as f64;
        entry.push(x, used_cpu.0.as_secs_f64() * 1e6 / tokens);
        agent.push(x, used_cpu.1.as_secs_f64() * 1e6 / tokens);
        memory.push(x, resident_bytes() as f64 / (1024.0 * 1024.0));
        let added = |f: fn(&Times) -> &Histogram<u64>, q: f64| {
            let (routed, direct) = (f(&routed), f(&direct));
            (routed.value_at_quantile(q) as f64 - direct.value_at_quantile(q) as f64) / 1000.0
        };
        first.push(x, added(|t| &t.first, 0.5));
        first_p99.push(x, added(|t| &t.first, 0.99));
        gap.push(x, added(|t| &t.gap, 0.5));
        gap_p99.push(x, added(|t| &t.gap, 0.99));
    }
    local.close();
    Ok(vec![entry, agent, memory, first, first_p99, gap, gap_p99])
}

/// Runs concurrent streams and returns the times of their tokens.
fn run_streams(
    address: SocketAddr,
    count: usize,
    tokens: u64,
    headers: &[(String, String)],
) -> Result<Times, String> {
    let times = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..count)
            .map(|n| scope.spawn(move || run_stream(address, n, tokens, headers)))
            .collect();
        let joined = threads.into_iter().map(|t| {
            t.join()
                .map_err(|_| "a caller thread panicked".to_owned())?
        });
        joined.collect::<Result<Vec<_>, String>>()
    })?;
    let histogram = || Histogram::new(3).map_err(|error| error.to_string());
    let mut all = Times {
        first: histogram()?,
        gap: histogram()?,
    };
    for stream_times in times {
        all.first
            .add(stream_times.first)
            .map_err(|error| error.to_string())?;
        all.gap
            .add(stream_times.gap)
            .map_err(|error| error.to_string())?;
    }
    Ok(all)
}

/// Runs one stream and records the times of its chunks.
fn run_stream(
    address: SocketAddr,
    n: usize,
    tokens: u64,
    headers: &[(String, String)],
) -> Result<Times, String> {
    let body = format!(
        r#"{{"model":"crew-assistant","stream":true,"max_tokens":{tokens},
            "messages":[{{"role":"user","content":"survey log {n}"}}]}}"#
    );
    let request = edge::build_request(
        address,
        "POST",
        "/v1/chat/completions",
        headers,
        body.into_bytes(),
    );
    let target = Target {
        address,
        connect_timeout: TIMEOUT,
        head_timeout: TIMEOUT,
    };
    let started_at = Instant::now();
    let reader = request.and_then(|request| ResponseReader::open(target, request));
    let mut reader = reader.map_err(|error| error.to_string())?;
    if reader.status != 200 {
        return Err(format!(
            "a stream was rejected with status {}",
            reader.status
        ));
    }
    let histogram = || Histogram::new(3).map_err(|error| error.to_string());
    let mut times = Times {
        first: histogram()?,
        gap: histogram()?,
    };
    let mut last = None;
    while reader.chunk().map_err(|error| error.to_string())?.is_some() {
        let now = Instant::now();
        let (elapsed, histogram) = match last.replace(now) {
            None => (now - started_at, &mut times.first),
            Some(last) => (now - last, &mut times.gap),
        };
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        histogram
            .record(micros)
            .map_err(|error| error.to_string())?;
    }
    Ok(times)
}
