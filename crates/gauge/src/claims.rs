//! What claims cost: how many a second, how long one takes, and the leader's processor time.

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
use crate::process::cpu;
use crate::sample::Series;

/// Callers at once.
const CALLERS: [usize; 4] = [1, 8, 32, 64];
/// Sizes of the control group.
const GROUPS: [usize; 3] = [1, 3, 5];
/// How long each size is measured.
const SPAN: Duration = Duration::from_secs(3);
/// How long one claim may take.
const PATIENCE: Duration = Duration::from_secs(10);

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
        let mut half = Series::new(&format!("claim p50, ms, {hosts}"), "callers");
        let mut most = Series::new(&format!("claim p99, ms, {hosts}"), "callers");
        let mut cost = Series::new(&format!("CPU us a claim, all hosts, {hosts}"), "callers");
        for callers in CALLERS {
            let before = cpu(&["control-"]);
            let times = run(&group, callers)?;
            let used = cpu(&["control-"]) - before;
            let count = times.len() as f64;
            rate.push(callers as f64, count / SPAN.as_secs_f64());
            half.push(callers as f64, times.value_at_quantile(0.5) as f64 / 1000.0);
            most.push(
                callers as f64,
                times.value_at_quantile(0.99) as f64 / 1000.0,
            );
            cost.push(callers as f64, used.as_secs_f64() * 1e6 / count.max(1.0));
        }
        group.close();
        all.extend([rate, half, most, cost]);
    }
    Ok(all)
}

fn run(group: &Group, callers: usize) -> Result<Histogram<u64>, String> {
    static SERIAL: AtomicU64 = AtomicU64::new(0);
    let control = ControlClient::new(sealer()?, group.hosts.clone());
    let end = Instant::now() + SPAN;
    let caller = |control: ControlClient| {
        let mut times = Vec::new();
        while Instant::now() < end {
            let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
            let began = Instant::now();
            let claimed: Result<Claimed, _> = control.call(paths::CLAIM, &ask(serial)?, PATIENCE);
            claimed.map_err(|fault| fault.to_string())?;
            times.push(u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX));
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
        let mut all = Histogram::new(3).map_err(|fault| fault.to_string())?;
        for thread in threads {
            for time in thread.join().map_err(|_| "a caller failed".to_owned())?? {
                all.record(time).map_err(|fault| fault.to_string())?;
            }
        }
        Ok(all)
    })
}

fn ask(serial: u64) -> Result<ClaimRequest, String> {
    Ok(ClaimRequest {
        account: "account-0"
            .try_into()
            .map_err(|f: ids::NameError| f.to_string())?,
        key: format!("k{serial}")
            .parse()
            .map_err(|f: ::ledger::RequestKeyError| f.to_string())?,
        fingerprint: Fingerprint([0; 32]),
        attempt: AttemptId {
            entry: Incarnation(1),
            serial,
        },
    })
}
