//! What kept claims take: memory, and the time to write them into a snapshot.

use std::time::Instant;

use ::ledger::{
    Fingerprint,
    Ledger,
    Settlement, //
};
use ids::{
    AttemptId,
    Incarnation, //
};

use crate::process::memory;
use crate::sample::Series;

/// Claims kept.
const SIZES: [u64; 4] = [10_000, 50_000, 100_000, 200_000];
/// Bytes of each recorded answer.
const ANSWER: usize = 200;

pub(crate) fn measure() -> Result<Vec<Series>, String> {
    let mut held = Series::new("memory of the claims, MiB", "claims");
    let mut encoded = Series::new("bytes of a snapshot of the claims", "claims");
    let mut time = Series::new("time to write the claims, ms", "claims");
    for size in SIZES {
        let before = memory();
        let ledger = fill(size)?;
        let used = memory().saturating_sub(before) as f64 / (1024.0 * 1024.0);
        held.push(size as f64, used);
        let began = Instant::now();
        let bytes = wire::encode(&ledger).map_err(|fault| fault.to_string())?;
        time.push(size as f64, began.elapsed().as_secs_f64() * 1000.0);
        encoded.push(size as f64, bytes.len() as f64);
    }
    Ok(vec![held, encoded, time])
}

fn fill(size: u64) -> Result<Ledger, String> {
    let account = "account-0"
        .parse()
        .map_err(|fault: ids::NameError| fault.to_string())?;
    let mut ledger = Ledger::default();
    for serial in 0..size {
        let key = format!("shutoff-{serial}").parse();
        let key = key.map_err(|fault: ::ledger::RequestKeyError| fault.to_string())?;
        let key = (ids::AccountName::clone(&account), key);
        let attempt = AttemptId {
            entry: Incarnation(1),
            serial,
        };
        ledger.claim(key.clone(), Fingerprint([0; 32]), attempt, 0);
        ledger.settle(&key, attempt, Settlement::Answered(vec![0; ANSWER]));
    }
    Ok(ledger)
}
