//! The cost of claims: throughput, latency, and CPU time of the control hosts.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

use ::ledger::{
    Claimed,
    Fingerprint, //
};
use hdrhistogram::Histogram;
use ids::{
    AttemptId,
    Incarnation, //
};
use peer::ControlClient;
use wire::{
    ClaimRequest,
    paths, //
};

use crate::group::{
    Group,
    sealer, //
};
use crate::process::cpu_time;
use crate::sample::Series;

/// Numbers of concurrent callers.
const CALLERS: [usize; 4] = [1, 8, 32, 64];
/// Sizes of the control group.
const GROUPS: [usize; 3] = [1, 3, 5];
/// Duration of the measurement of each size.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);
/// Timeout of one claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) fn measure() -> Result<Vec<Series>, String> {
    let mut all = Vec::new();
    for size in GROUPS {
        let group = Group::start(size)?;
        let hosts = if size == 1 {
            "1 host".to_owned()
        } else {
            format!("{size} hosts")
        };
        let mut rate = Series::new(&format!("claims a second, {hosts}"), "callers");
        let mut p50 = Series::new(&format!("claim p50, ms, {hosts}"), "callers");
        let mut p99 = Series::new(&format!("claim p99, ms, {hosts}"), "callers");
        let mut cost = Series::new(&format!("CPU us a claim, all hosts, {hosts}"), "callers");
        for callers in CALLERS {
            let before = cpu_time(&["control-"]);
            let times = run_callers(&group, callers)?;
            let used_cpu = cpu_time(&["control-"]) - before;
            let count = times.len() as f64;
            rate.push(callers as f64, count / MEASUREMENT_TIME.as_secs_f64());
            p50.push(callers as f64, times.value_at_quantile(0.5) as f64 / 1000.0);
            p99.push(
                callers as f64,
                times.value_at_quantile(0.99) as f64 / 1000.0,
            );
            cost.push(
                callers as f64,
                used_cpu.as_secs_f64() * 1e6 / count.max(1.0),
            );
        }
        group.close();
        all.extend([rate, p50, p99, cost]);
    }
    Ok(all)
}

/// Claims new request keys from concurrent callers and returns the latencies, in microseconds.
fn run_callers(group: &Group, callers: usize) -> Result<Histogram<u64>, String> {
    static SERIAL: AtomicU64 = AtomicU64::new(0);
    let control = ControlClient::new(sealer()?, group.hosts.clone());
    let end_at = Instant::now() + MEASUREMENT_TIME;
    let caller = |control: ControlClient| {
        let mut times = Vec::new();
        while Instant::now() < end_at {
            let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
            let started_at = Instant::now();
            let claimed: Result<Claimed, _> =
                control.call(paths::CLAIM, &claim_request(serial)?, CLAIM_TIMEOUT);
            claimed.map_err(|error| error.to_string())?;
            times.push(u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX));
        }
        Ok::<_, String>(times)
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|_| {
                let control = control.clone();
                scope.spawn(move || caller(control))
            })
            .collect();
        let mut all = Histogram::new(3).map_err(|error| error.to_string())?;
        for thread in threads {
            for time in thread
                .join()
                .map_err(|_| "a caller thread panicked".to_owned())??
            {
                all.record(time).map_err(|error| error.to_string())?;
            }
        }
        Ok(all)
    })
}

fn claim_request(serial: u64) -> Result<ClaimRequest, String> {
    Ok(ClaimRequest {
        account: "account-0"
            .try_into()
            .map_err(|error: ids::NameError| error.to_string())?,
        key: format!("k{serial}")
            .parse()
            .map_err(|error: ::ledger::RequestKeyError| error.to_string())?,
        fingerprint: Fingerprint([0; 32]),
        attempt: AttemptId {
            entry: Incarnation(1),
            serial,
        },
    })
}
