//! The cost of stored claims: memory, and the size and time of their encoding for a snapshot.

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

use crate::process::resident_bytes;
use crate::sample::Series;

/// Numbers of stored claims.
const SIZES: [u64; 4] = [10_000, 50_000, 100_000, 200_000];
/// Bytes of each recorded response.
const RESPONSE_BYTES: usize = 200;

pub(crate) fn measure() -> Result<Vec<Series>, String> {
    let mut memory = Series::new("memory of the claims, MiB", "claims");
    let mut encoded = Series::new("bytes of a snapshot of the claims", "claims");
    let mut time = Series::new("time to write the claims, ms", "claims");
    for size in SIZES {
        let before = resident_bytes();
        let ledger = filled_ledger(size)?;
        let used = resident_bytes().saturating_sub(before) as f64 / (1024.0 * 1024.0);
        memory.push(size as f64, used);
        let started_at = Instant::now();
        let bytes = wire::encode(&ledger).map_err(|error| error.to_string())?;
        time.push(size as f64, started_at.elapsed().as_secs_f64() * 1000.0);
        encoded.push(size as f64, bytes.len() as f64);
    }
    Ok(vec![memory, encoded, time])
}

/// Returns a ledger with `size` settled claims.
fn filled_ledger(size: u64) -> Result<Ledger, String> {
    let account = "account-0"
        .parse()
        .map_err(|error: ids::NameError| error.to_string())?;
    let mut ledger = Ledger::default();
    for serial in 0..size {
        let key = format!("shutoff-{serial}").parse();
        let key = key.map_err(|error: ::ledger::RequestKeyError| error.to_string())?;
        let key = (ids::AccountName::clone(&account), key);
        let attempt = AttemptId {
            entry: Incarnation(1),
            serial,
        };
        ledger.claim(key.clone(), Fingerprint([0; 32]), attempt, 0);
        ledger.settle(&key, attempt, Settlement::Answered(vec![0; RESPONSE_BYTES]));
    }
    Ok(ledger)
}
