//! What streams cost: processor time of entry and agent for each token, memory for each stream,
//! and what the router adds to an engine's times.

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
    cpu,
    memory, //
};
use crate::sample::Series;

/// Streams at once; the local system's roles have 64 traffic threads each.
const SIZES: [usize; 4] = [4, 16, 32, 48];
/// Tokens of each stream.
const TOKENS: u64 = 300;
/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(60);

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
    let local = LocalSystem::start(&options, &obs::discard()).map_err(|fault| fault.to_string())?;
    let (_, key) = local.new_key("norte").map_err(|fault| fault.to_string())?;
    let field = (
        "authorization".to_owned(),
        format!("Bearer {}", key.reveal()),
    );
    // The agent's window opens with first tokens in time.
    for _ in 0..80 {
        streams(local.entry_address(), 1, 1, std::slice::from_ref(&field))?;
    }
    let mut entry = Series::new("entry, CPU us a token", "streams");
    let mut agent = Series::new("agent, CPU us a token", "streams");
    let mut held = Series::new("memory, all roles and callers, MiB", "streams");
    let mut first = Series::new("added to the first token, p50, ms", "streams");
    let mut first_late = Series::new("added to the first token, p99, ms", "streams");
    let mut gap = Series::new("added between tokens, p50, ms", "streams");
    let mut gap_late = Series::new("added between tokens, p99, ms", "streams");
    for size in SIZES {
        let tokens = (size as u64 * TOKENS) as f64;
        let direct = streams(local.engines[0].address(), size, TOKENS, &[])?;
        let before = (cpu(&["entry-"]), cpu(&["agent-"]));
        let routed = streams(
            local.entry_address(),
            size,
            TOKENS,
            std::slice::from_ref(&field),
        )?;
        let used = (cpu(&["entry-"]) - before.0, cpu(&["agent-"]) - before.1);
        let x = size as f64;
        entry.push(x, used.0.as_secs_f64() * 1e6 / tokens);
        agent.push(x, used.1.as_secs_f64() * 1e6 / tokens);
        held.push(x, memory() as f64 / (1024.0 * 1024.0));
        let added = |f: fn(&Times) -> &Histogram<u64>, q: f64| {
            let (routed, direct) = (f(&routed), f(&direct));
            (routed.value_at_quantile(q) as f64 - direct.value_at_quantile(q) as f64) / 1000.0
        };
        first.push(x, added(|t| &t.first, 0.5));
        first_late.push(x, added(|t| &t.first, 0.99));
        gap.push(x, added(|t| &t.gap, 0.5));
        gap_late.push(x, added(|t| &t.gap, 0.99));
    }
    local.close();
    Ok(vec![entry, agent, held, first, first_late, gap, gap_late])
}

/// Runs streams at once and notes the times of their tokens.
fn streams(
    address: SocketAddr,
    count: usize,
    tokens: u64,
    fields: &[(String, String)],
) -> Result<Times, String> {
    let times = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..count)
            .map(|n| scope.spawn(move || stream(address, n, tokens, fields)))
            .collect();
        let joined = threads
            .into_iter()
            .map(|t| t.join().map_err(|_| "a caller failed".to_owned())?);
        joined.collect::<Result<Vec<_>, String>>()
    })?;
    let histogram = || Histogram::new(3).map_err(|fault| fault.to_string());
    let mut all = Times {
        first: histogram()?,
        gap: histogram()?,
    };
    for one in times {
        all.first
            .add(one.first)
            .map_err(|fault| fault.to_string())?;
        all.gap.add(one.gap).map_err(|fault| fault.to_string())?;
    }
    Ok(all)
}

fn stream(
    address: SocketAddr,
    n: usize,
    tokens: u64,
    fields: &[(String, String)],
) -> Result<Times, String> {
    let body = format!(
        r#"{{"model":"crew-assistant","stream":true,"max_tokens":{tokens},
            "messages":[{{"role":"user","content":"survey log {n}"}}]}}"#
    );
    let request = edge::build_request(
        address,
        "POST",
        "/v1/chat/completions",
        fields,
        body.into_bytes(),
    );
    let target = Target {
        address,
        connect_timeout: PATIENCE,
        head_timeout: PATIENCE,
    };
    let began = Instant::now();
    let link = request.and_then(|request| ResponseReader::open(target, request));
    let mut link = link.map_err(|fault| fault.to_string())?;
    if link.status != 200 {
        return Err(format!("a stream was answered with status {}", link.status));
    }
    let histogram = || Histogram::new(3).map_err(|fault| fault.to_string());
    let mut times = Times {
        first: histogram()?,
        gap: histogram()?,
    };
    let mut last = None;
    while link.chunk().map_err(|fault| fault.to_string())?.is_some() {
        let now = Instant::now();
        let (since, series) = match last.replace(now) {
            None => (now - began, &mut times.first),
            Some(last) => (now - last, &mut times.gap),
        };
        let micros = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
        series.record(micros).map_err(|fault| fault.to_string())?;
    }
    Ok(times)
}
