//! The replicated record of crashes: what is added to it, and its bounds.

use std::time::Duration;

use ids::{
    PartId,
    Tick, //
};
use quarantine::{
    Attempt,
    Crash,
    Evidence,
    Record,
    Served,
    Suspect,
    Suspects, //
};

/// Unix time of the first addition, in milliseconds.
const START_MS: u64 = 1_700_000_000_000;
const ELAPSED: Duration = Duration::from_millis(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A crash of instance `n` at which these parts were in progress.
fn crash(n: u64, age_ms: u64, parts: impl IntoIterator<Item = u64>) -> Crash {
    Crash {
        instance: format!("i{n}"),
        age: ms(age_ms),
        parts: Suspect::of_request(parts.into_iter().map(PartId), ELAPSED).collect(),
        attempts: vec![Attempt {
            request: n,
            number: 1,
            elapsed: ELAPSED,
        }],
    }
}

fn evidence(crashes: Vec<Crash>, served: &[(u64, u64)]) -> Evidence {
    let served = served.iter().map(|(part, age_ms)| Served {
        part: PartId(*part),
        age: ms(*age_ms),
    });
    Evidence {
        crashes,
        served: served.collect(),
    }
}

/// A record of two crashes, a second apart.
fn two() -> Record {
    let mut record = Record::default();
    let crashes = vec![crash(1, 1000, [1, 2]), crash(2, 0, [1, 3])];
    record.add(START_MS, &evidence(crashes, &[(1, 5000)]));
    record
}

/// The instances on record with their suspects.
fn held(record: &Record) -> Vec<(String, Vec<u64>)> {
    let crashes = record.evidence(record.at_ms()).crashes.into_iter();
    let parts = |crash: &Crash| crash.parts.iter().map(|suspect| suspect.part.0).collect();
    crashes
        .map(|crash| (crash.instance.clone(), parts(&crash)))
        .collect()
}

case::cases! {
    what_is_on_record_is_not_missing: {
        let record = two();
        let again = record.evidence(START_MS + 700);
        assert!(record.missing(START_MS + 700, again).is_empty());
    };
    // Other clocks, and so other ages, after a change of the leader.
    crash_is_recognized_by_its_attempt: {
        let record = two();
        let crashes = vec![crash(1, 40_000, [1, 2]), crash(2, 70_000, [1, 3])];
        assert!(record.missing(START_MS, evidence(crashes, &[])).is_empty());
    };
    later_crash_of_an_instance_with_the_same_name_is_another: {
        let record = two();
        let mut later = crash(1, 0, [1, 2]);
        later.attempts[0].request = 9;
        let missing = record.missing(START_MS + 5000, evidence(vec![later.clone()], &[]));
        assert_eq!(missing.crashes, [later]);
    };
    further_suspect_of_a_crash_is_added_alone: {
        let record = two();
        let crashes = vec![crash(2, 100, [1, 3, 4])];
        let missing = record.missing(START_MS + 100, evidence(crashes, &[]));
        let parts: Vec<_> = missing.crashes[0].parts.iter().map(|suspect| suspect.part.0).collect();
        assert_eq!((missing.crashes.len(), parts), (1, vec![4]));
    };
    service_after_a_crash_drops_the_suspect: {
        let mut record = two();
        let missing = record.missing(START_MS + 9000, evidence(Vec::new(), &[(1, 8500), (5, 0)]));
        assert_eq!(missing, evidence(Vec::new(), &[(1, 8500)]));
        record.add(START_MS + 9000, &missing);
        assert_eq!(held(&record), [("i1".to_owned(), vec![2]), ("i2".to_owned(), vec![3])]);
        // The part's later services change nothing.
        assert!(record.missing(START_MS + 9500, evidence(Vec::new(), &[(1, 0)])).is_empty());
    };
    service_between_two_crashes_drops_the_suspect_of_the_first: {
        let mut record = two();
        let missing = record.missing(START_MS, evidence(Vec::new(), &[(1, 500)]));
        record.add(START_MS, &missing);
        assert_eq!(held(&record), [("i1".to_owned(), vec![2]), ("i2".to_owned(), vec![1, 3])]);
    };
    clock_that_is_behind_does_not_set_the_record_back: {
        let mut record = two();
        record.add(START_MS - 60_000, &evidence(vec![crash(3, 10, [1])], &[]));
        assert_eq!(record.at_ms(), START_MS);
        let ages: Vec<_> = record.evidence(START_MS - 60_000).crashes.iter().map(|c| c.age).collect();
        assert_eq!(ages, [ms(1000), ms(10), ms(0)]);
    };
    old_crashes_are_dropped: {
        let mut record = two();
        record.add(START_MS + 599_500, &evidence(vec![crash(3, 0, [1])], &[]));
        let names: Vec<_> = held(&record).into_iter().map(|(instance, _)| instance).collect();
        assert_eq!(names, ["i2", "i3"]);
    };
    // Each addition is an entry of the log, and the record a part of each snapshot.
    record_is_bounded_and_additions_end: {
        let mut record = Record::default();
        let mut suspects = Suspects::default();
        for n in 0..200 {
            let parts = (0..400).map(|part| PartId(n * 1000 + part));
            let suspects_of = Suspect::of_request(parts, ELAPSED);
            suspects.crashed(Tick(1_000_000_000 + n * 200_000), &format!("i{n}"), suspects_of);
        }
        let now = Tick(1_000_000_000 + 200 * 200_000);
        let mut additions = 0;
        loop {
            let missing = record.missing(START_MS, suspects.all_evidence(now));
            if missing.is_empty() {
                break;
            }
            record.add(START_MS, &missing);
            additions += 1;
            assert!(additions < 40);
        }
        let total: usize = held(&record).iter().map(|(_, parts)| 1 + parts.len()).sum();
        assert!((12_000..=16_384).contains(&total), "{total}");
    };
}
