//! Crashes whose reports state times that contradict the order in which they happened.

use std::time::Duration;

use ids::{
    PartId,
    Tick, //
};
use quarantine::{
    Attempt,
    Crash,
    Evidence,
    Suspect,
    Suspects, //
};

/// A time later than all that these tests record, in milliseconds.
const SETTLED: u64 = 100_000;
/// Time of a judgement at which all reports have arrived, in milliseconds.
const NOW: u64 = 20_000;
/// Requests of two classes, as a whole.
const CLASSES: [u64; 2] = [(1 << 63) | 5, (1 << 63) | 6];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Tick {
    Tick(ms * 1000)
}

/// A crash by an attempt: the instance, the time in milliseconds by the report's age, the parts, and
/// the attempt's request, number and time from its dispatch to the crash.
#[derive(Clone, Copy)]
struct Crashed<'a>(&'a str, u64, &'a [u64], (u64, u32, u64));

impl Crashed<'_> {
    /// The report of the crash, by a process of this version or of the one before.
    fn report(&self, numbered: bool) -> Evidence {
        let Self(instance, time, parts, (request, number, elapsed)) = *self;
        let attempt = Attempt {
            request,
            number,
            elapsed: ms(elapsed),
        };
        Evidence {
            crashes: vec![Crash {
                instance: instance.to_owned(),
                age: ms(NOW - time),
                parts: Suspect::of_request(parts.iter().map(|p| PartId(*p)), ms(elapsed)).collect(),
                attempts: numbered.then_some(attempt).into_iter().collect(),
            }],
            served: Vec::new(),
        }
    }
}

fn leader(crashes: &[Crashed<'_>], numbered: bool) -> Suspects {
    let mut suspects = Suspects::default();
    for crash in crashes {
        suspects.record(at(NOW), &crash.report(numbered));
    }
    suspects
}

fn condemned(crashes: &[Crashed<'_>], numbered: bool) -> Vec<u64> {
    let verdicts = leader(crashes, numbered).verdicts(at(SETTLED), |_| false);
    let mut parts: Vec<_> = verdicts.iter().map(|verdict| verdict.part.0).collect();
    parts.sort_unstable();
    parts
}

/// Two crashes by the attempts of one request and one by a repetition of it. The report of the first
/// crash says that it was `late` ms later, that of the second that it was `early` ms earlier. The time
/// from dispatch to crash is `elapsed`; `offset` tells the requests and engines of two classes apart.
fn three<'a>(parts: &'a [u64], offset: u64, [late, early, elapsed]: [u64; 3]) -> [Crashed<'a>; 3] {
    let names = [["a", "b", "c"], ["d", "e", "f"]][usize::try_from(offset).unwrap()];
    let first = 10_000 + offset * 1000;
    [
        Crashed(names[0], first + late, parts, (offset, 1, elapsed)),
        Crashed(
            names[1],
            first + elapsed - early,
            parts,
            (offset, 2, elapsed),
        ),
        Crashed(names[2], first + 2000, parts, (offset + 10, 1, elapsed)),
    ]
}

case::cases! {
    // Three crashes counted as two, and the verdict came only after the next three. A front sends the
    // retry 0.1 ms after the crash, less than the precision of an age.
    two_classes_are_condemned_though_the_ages_of_their_crashes_are_skewed:
        for [late, early] in [[1, 0], [0, 1], [12, 0], [0, 12], [9, 9], [31, 0], [40, 25]] {
            let classes = CLASSES.map(|class| [class]);
            let first = three(&classes[0], 0, [late, early, 30]);
            let second = three(&classes[1], 1, [early, late, 30]);
            let crashes = [first, second].concat();
            assert_eq!(condemned(&crashes, true), CLASSES, "{late} {early}");
        };
    // The same for parts of prompts, whose crashes count if they are 100 ms apart.
    two_parts_are_condemned_though_the_ages_of_their_crashes_are_skewed:
        for [late, early] in [[0, 0], [11, 0], [0, 11], [30, 30], [0, 120], [150, 0]] {
            let first = three(&[7], 0, [late, early, 110]);
            let second = three(&[8], 1, [early, late, 110]);
            assert_eq!(condemned(&[first, second].concat(), true), [7, 8], "{late} {early}");
        };
    // Guards against a corrected crash that overtakes a later one without being counted before it.
    order_holds_over_several_attempts: for skew in [0, 40, 90] {
        let attempts = [
            Crashed("a", 10_000 + skew, &CLASSES[..1], (1, 1, 30)),
            Crashed("b", 10_030, &CLASSES[..1], (1, 2, 30)),
            Crashed("c", 10_060 - skew, &CLASSES[..1], (1, 4, 30)),
        ];
        assert_eq!(condemned(&attempts, true), CLASSES[..1], "{skew}");
        assert_eq!(condemned(&[attempts[2], attempts[0], attempts[1]], true), CLASSES[..1], "{skew}");
    };
    // Guards against another judgement of evidence from processes of the version before.
    evidence_without_numbers_is_judged_by_its_ages: {
        let skewed = |late| three(&CLASSES[..1], 0, [late, 0, 30]);
        assert_eq!(condemned(&skewed(0), false), CLASSES[..1]);
        assert_eq!(condemned(&skewed(1), false), []);
    };
    // Guards against the condemnation of a request that is often made, by the loss of a rack.
    attempts_of_different_requests_have_no_order: {
        let rack = [("a", 10_000, 1), ("b", 10_010, 2), ("c", 10_020, 3), ("d", 10_029, 4)];
        let rack = rack.map(|(name, time, request)| Crashed(name, time, &CLASSES[..1], (request, 1, 30)));
        assert_eq!(condemned(&rack, true), []);
    };
    // Guards against parts that are condemned by the loss of a rack to which a retry was sent.
    order_alone_does_not_separate_moments: {
        let rack = [
            Crashed("a", 10_000, &[7], (1, 1, 30)),
            Crashed("b", 10_030, &[7], (1, 2, 30)),
            Crashed("c", 10_060, &[7], (1, 3, 30)),
        ];
        assert_eq!(condemned(&rack, true), []);
    };
    // Guards against a crash that counts twice because the retry went to the same endpoint.
    attempts_at_one_instance_within_a_second_are_of_one_crash: {
        let crashes = [
            Crashed("a", 10_000, &CLASSES[..1], (1, 1, 30)),
            Crashed("a", 10_001, &CLASSES[..1], (1, 2, 0)),
            Crashed("b", 10_040, &CLASSES[..1], (1, 3, 30)),
        ];
        assert_eq!(leader(&crashes, true).evidence(at(NOW - 5000)).crashes.len(), 2);
        assert_eq!(condemned(&crashes, true), []);
    };
    // A report of contradictory numbers must not stop the judgement.
    contradictory_numbers_are_judged: {
        let cycle = [
            Crashed("a", 10_000, &CLASSES[..1], (1, 1, 30)),
            Crashed("b", 10_030, &CLASSES[..1], (1, 2, 30)),
            Crashed("a", 10_000, &CLASSES[..1], (2, 2, 30)),
            Crashed("b", 10_030, &CLASSES[..1], (2, 1, 30)),
        ];
        assert_eq!(condemned(&cycle, true), []);
    };
    numbers_are_passed_on_with_the_evidence: {
        let crashes = three(&CLASSES[..1], 0, [12, 0, 30]);
        let passed_on = leader(&crashes, true).evidence(at(NOW - 5000));
        let mut next = Suspects::default();
        next.record(at(NOW - 5000), &passed_on);
        assert_eq!(next.verdicts(at(SETTLED), |_| false).len(), 1);
    };
}
