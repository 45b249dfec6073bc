//! The order of crashes: the times by reports, corrected by what fronts know for certain.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Tick;

use crate::evidence::Attempt;

/// A crash and the time that counts in a judgement.
#[derive(Debug)]
pub(crate) struct Dated<'a, T> {
    pub(crate) at: Tick,
    pub(crate) crash: &'a T,
}

/// What the order of a crash is derived from.
pub(crate) trait Reported {
    /// The time by the age in the report.
    fn at(&self) -> Tick;

    /// The attempts that ended with the crash.
    fn attempts(&self) -> impl Iterator<Item = &Attempt>;
}

/// Returns crashes in their order.
///
/// Ages have a precision of a millisecond and reports have different delays, so a crash may seem to
/// precede the dispatch of an attempt that was made because of an earlier crash. A front sends an
/// attempt only after the one before it has failed. So the crash that ended an attempt is dated, at
/// the earliest, by the crash of the attempt before it plus the time from dispatch to crash, which one
/// clock has measured.
pub(crate) fn in_order<'a, T: Reported>(crashes: impl Iterator<Item = &'a T>) -> Vec<Dated<'a, T>> {
    let dated = crashes.map(|crash| Dated {
        at: crash.at(),
        crash,
    });
    let mut dated: Vec<_> = dated.collect();
    let successions = successions(&dated);
    // Each pass corrects at least the next crash of each succession. Contradictory numbers would
    // never settle, hence the limit.
    for _ in 0..dated.len() {
        let mut changed = false;
        for (earlier, later, elapsed) in &successions {
            let earliest = dated[*earlier].at + *elapsed;
            changed |= dated[*later].at < earliest;
            dated[*later].at = dated[*later].at.max(earliest);
        }
        if !changed {
            break;
        }
    }
    dated.sort_by_key(|crash| crash.at);
    dated
}

/// The crashes of successive attempts of each request, and the times from dispatch to the later crash.
fn successions<T: Reported>(dated: &[Dated<'_, T>]) -> Vec<(usize, usize, Duration)> {
    let mut requests: BTreeMap<u64, Vec<(u32, usize, Duration)>> = BTreeMap::new();
    for (n, crash) in dated.iter().enumerate() {
        for attempt in crash.crash.attempts() {
            let attempts = requests.entry(attempt.request).or_default();
            attempts.push((attempt.number, n, attempt.elapsed));
        }
    }
    let mut successions = Vec::new();
    for mut attempts in requests.into_values() {
        attempts.sort_unstable();
        let pairs = attempts.windows(2).filter(|pair| pair[0].0 < pair[1].0);
        successions.extend(pairs.map(|pair| (pair[0].1, pair[1].1, pair[1].2)));
    }
    successions
}
