//! Which parts are the cause of crashes, and which are not.

use std::time::Duration;

use ids::{
    PartId,
    Tick, //
};
use quarantine::{
    Crash,
    Evidence,
    Served,
    Suspect,
    Suspects, //
};

/// Time from the dispatch of a request to the crash that it causes.
const ELAPSED: Duration = Duration::from_millis(30);
/// A request as a whole.
const REQUEST: u64 = (1 << 63) | 5;
/// A time later than all that these tests record, in milliseconds.
const SETTLED: u64 = 100_000;

fn at(ms: u64) -> Tick {
    Tick(ms * 1000)
}

/// The suspects of a request that was sent shortly before a crash.
fn of(parts: impl IntoIterator<Item = u64>) -> impl Iterator<Item = Suspect> {
    Suspect::of_request(parts.into_iter().map(PartId), ELAPSED)
}

/// Suspects that observed crashes: the time in milliseconds, the instance and the parts of each.
fn crashes(list: &[(u64, &str, &[u64])]) -> Suspects {
    let mut suspects = Suspects::default();
    for (ms, instance, parts) in list {
        suspects.crashed(at(*ms), instance, of(parts.iter().copied()));
    }
    suspects
}

/// Three crashes of different instances, with the same parts.
fn three_crashes(parts: &[u64]) -> Suspects {
    crashes(&[
        (10_000, "a", parts),
        (11_000, "b", parts),
        (12_000, "c", parts),
    ])
}

/// The condemned parts at a time in milliseconds, with parts in quarantine.
fn condemned_with(suspects: &Suspects, ms: u64, quarantined: &[u64]) -> Vec<u64> {
    let verdicts = suspects.verdicts(at(ms), |part| quarantined.contains(&part.0));
    let mut parts: Vec<_> = verdicts.iter().map(|verdict| verdict.part.0).collect();
    parts.sort_unstable();
    parts
}

fn condemned(suspects: &Suspects) -> Vec<u64> {
    condemned_with(suspects, SETTLED, &[])
}

/// A front's report of one crash.
fn report(instance: &str, age_ms: u64, parts: &[u64]) -> Evidence {
    Evidence {
        crashes: vec![Crash {
            instance: instance.to_owned(),
            age: Duration::from_millis(age_ms),
            parts: of(parts.iter().copied()).collect(),
            attempts: Vec::new(),
        }],
        served: Vec::new(),
    }
}

case::cases! {
    three_crashes_without_service_condemn_after_the_settling_time: {
        let suspects = three_crashes(&[1]);
        assert_eq!(condemned_with(&suspects, 12_699, &[]), []);
        assert_eq!(condemned_with(&suspects, 12_700, &[]), [1]);
    };
    verdict_counts_from_the_first_crash: {
        let verdicts = three_crashes(&[1]).verdicts(at(SETTLED), |_| false);
        assert_eq!(verdicts[0].since, at(10_000));
    };
    two_crashes_do_not_condemn: assert_eq!(
        condemned(&crashes(&[(10_000, "a", &[1]), (11_000, "b", &[1])])),
        []
    );
    crashes_in_a_row_of_one_instance_condemn: assert_eq!(
        condemned(&crashes(&[(10_000, "a", &[1]), (14_000, "a", &[1]), (18_000, "a", &[1])])),
        [1]
    );
    crashes_without_a_common_part_condemn_nothing: assert_eq!(
        condemned(&crashes(&[(10_000, "a", &[1]), (11_000, "b", &[2]), (12_000, "c", &[3]), (13_000, "d", &[])])),
        []
    );
    part_in_all_crashes_explains_those_of_a_part_in_some: assert_eq!(
        condemned(&crashes(&[
            (10_000, "a", &[1, 2]),
            (11_000, "b", &[1, 2]),
            (12_000, "c", &[1, 2]),
            (13_000, "d", &[1]),
        ])),
        [1]
    );
    // Guards against the rejection of sound prompts of the session from which all deadly ones came.
    part_that_always_comes_with_the_cause_is_explained_if_it_was_served_before: {
        let mut suspects = three_crashes(&[1, 2]);
        suspects.served(at(9_000), PartId(2));
        assert_eq!(condemned(&suspects), [1]);
        assert!(suspects.explained(at(SETTLED), PartId(2), |_| false));
        assert!(!suspects.explained(at(SETTLED), PartId(1), |_| false));
        assert!(!suspects.explained(at(SETTLED), PartId(3), |_| false));
    };
    of_parts_that_were_both_served_the_one_served_longest_ago_is_the_cause: {
        let mut suspects = three_crashes(&[1, 2]);
        suspects.served(at(9_000), PartId(1));
        suspects.served(at(9_500), PartId(2));
        assert_eq!(condemned(&suspects), [1]);
    };
    // Guards against the rejection of all prompts of a session that nobody has served.
    of_parts_that_come_together_the_deepest_is_the_cause: {
        assert_eq!(condemned(&three_crashes(&[3, 2, 1])), [1]);
        let mut suspects = three_crashes(&[2, 1]);
        suspects.crashed(at(11_000), "b", of([4, 5, 6, 7]));
        assert_eq!(condemned(&suspects), [1]);
    };
    part_before_the_condemned_one_is_condemned_by_further_crashes: {
        let mut suspects = three_crashes(&[1, 2]);
        for (ms, instance) in [(13_000, "d"), (14_000, "e"), (15_000, "f")] {
            assert_eq!(condemned_with(&suspects, SETTLED, &[2]), []);
            suspects.crashed(at(ms), instance, of([1]));
        }
        assert_eq!(condemned_with(&suspects, SETTLED, &[2]), [1]);
    };
    // Guards against a part that is condemned and released in turn, by crashes that count only once.
    crashes_of_a_part_in_quarantine_explain_no_other: {
        let mut suspects = crashes(&[(5_000, "u", &[7, 3]), (6_000, "v", &[7, 3]), (7_000, "w", &[7, 3])]);
        for (ms, instance) in [(10_000, "a"), (11_000, "b"), (12_000, "c")] {
            suspects.crashed(at(ms), instance, of([3, 1]));
        }
        assert_eq!(condemned_with(&suspects, SETTLED, &[7]), [1]);
        assert!(!suspects.explained(at(SETTLED), PartId(1), |part| part == PartId(7)));
    };
    // Guards against the rejection of a class whose first part was present in a crash more.
    part_served_before_is_no_cause_if_one_that_was_not_explains_its_crashes: {
        let mut suspects = three_crashes(&[1, 2]);
        suspects.crashed(at(13_000), "d", of([1]));
        suspects.served(at(9_000), PartId(1));
        assert_eq!(condemned(&suspects), [2]);
    };
    report_that_repeats_another_contains_nothing_new: {
        let mut suspects = Suspects::default();
        let evidence = three_crashes(&[1]).evidence(at(13_000));
        assert!(suspects.record(at(513_000), &evidence));
        assert!(!suspects.record(at(514_000), &evidence.clone().aged(Duration::from_secs(1))));
        assert!(suspects.record(at(514_100), &report("d", 100, &[1])));
        assert!(suspects.record(at(514_100), &report("d", 100, &[2])));
    };
    // Guards against the condemnation of a rare part by crashes of several engines at once.
    part_present_in_few_of_the_crashes_of_each_moment_is_no_cause: {
        let mut suspects = three_crashes(&[1]);
        for (ms, instance) in [(10_010, "p"), (11_010, "q"), (12_010, "r")] {
            suspects.crashed(at(ms), instance, of([2]));
        }
        assert_eq!(condemned(&suspects), []);
    };
    part_present_in_most_crashes_of_each_moment_is_the_cause: {
        let mut suspects = three_crashes(&[1]);
        for (ms, more) in [(10_010, ["p", "s"]), (11_010, ["q", "t"]), (12_010, ["r", "u"])] {
            suspects.crashed(at(ms), more[0], of([2]));
            suspects.crashed(at(ms), more[1], of([1]));
        }
        assert_eq!(condemned(&suspects), [1]);
    };
    two_causes_with_separate_crashes_are_both_condemned: assert_eq!(
        condemned(&crashes(&[
            (10_000, "a", &[1, 3]),
            (11_000, "b", &[2]),
            (12_000, "c", &[1]),
            (13_000, "d", &[2, 3]),
            (14_000, "e", &[1]),
            (15_000, "f", &[2]),
            (16_000, "g", &[1]),
        ])),
        [1, 2]
    );
    // The crashes of the part that has not settled yet explain those of the others.
    part_that_has_not_settled_still_explains_crashes: {
        let suspects = crashes(&[
            (10_000, "a", &[1, 2]),
            (10_300, "b", &[1, 2]),
            (10_600, "c", &[1, 2]),
            (10_900, "d", &[1]),
        ]);
        assert_eq!(condemned_with(&suspects, 11_000, &[]), []);
        assert_eq!(condemned_with(&suspects, 11_300, &[]), [1]);
    };
    part_served_after_the_crashes_is_cleared: {
        let mut suspects = three_crashes(&[1, 2]);
        suspects.served(at(12_001), PartId(2));
        assert_eq!(condemned(&suspects), [1]);
    };
    part_served_between_the_crashes_is_cleared_of_the_earlier_ones: {
        let mut suspects = three_crashes(&[1]);
        suspects.served(at(10_500), PartId(1));
        assert_eq!(condemned(&suspects), []);
        suspects.crashed(at(13_000), "d", of([1]));
        assert_eq!(condemned(&suspects), [1]);
        assert_eq!(suspects.verdicts(at(SETTLED), |_| false)[0].since, at(11_000));
    };
    part_served_before_the_crashes_is_not_cleared: {
        let mut suspects = three_crashes(&[1]);
        suspects.served(at(9_999), PartId(1));
        assert_eq!(condemned(&suspects), [1]);
    };
    earlier_service_does_not_replace_a_later_one: {
        let mut suspects = three_crashes(&[1]);
        suspects.served(at(12_500), PartId(1));
        suspects.served(at(5_000), PartId(1));
        assert_eq!(suspects.served_at(PartId(1)), Some(at(12_500)));
        assert_eq!(condemned(&suspects), []);
    };
    simultaneous_crashes_of_several_engines_count_once: {
        let rack = [(10_000, "a", [1]), (10_030, "b", [1]), (10_060, "c", [1]), (10_099, "d", [1])];
        let rack = rack.each_ref().map(|(ms, instance, parts)| (*ms, *instance, parts.as_slice()));
        let mut suspects = crashes(&rack);
        assert_eq!(condemned(&suspects), []);
        suspects.crashed(at(11_000), "e", of([1]));
        assert_eq!(condemned(&suspects), []);
        suspects.crashed(at(12_000), "f", of([1]));
        assert_eq!(condemned(&suspects), [1]);
    };
    reports_of_the_same_crash_by_several_fronts_are_one_crash: {
        let mut suspects = Suspects::default();
        for ms in [10_000, 10_010, 10_400, 10_900] {
            suspects.record(at(ms), &report("a", ms - 10_000 + 7, &[1]));
        }
        suspects.crashed(at(11_500), "b", of([1]));
        assert_eq!(condemned(&suspects), []);
        assert_eq!(suspects.evidence(at(12_000)).crashes.len(), 2);
    };
    same_crash_has_the_parts_of_all_reports: {
        let mut suspects = crashes(&[(10_000, "a", &[1]), (11_000, "b", &[1]), (12_000, "c", &[2])]);
        assert_eq!(condemned(&suspects), []);
        suspects.record(at(12_100), &report("c", 100, &[1]));
        assert_eq!(condemned(&suspects), [1]);
    };
    order_of_reports_does_not_matter: {
        let mut suspects = Suspects::default();
        for ms in [12_000, 10_000, 11_000] {
            suspects.record(at(13_000), &report(&ms.to_string(), 13_000 - ms, &[1]));
        }
        let verdicts = suspects.verdicts(at(SETTLED), |_| false);
        assert_eq!((verdicts[0].part, verdicts[0].since), (PartId(1), at(10_000)));
    };
    part_in_quarantine_explains_crashes: {
        let suspects = three_crashes(&[1, 2]);
        assert_eq!(condemned(&suspects), [2]);
        assert_eq!(condemned_with(&suspects, SETTLED, &[2]), []);
        assert_eq!(condemned_with(&suspects, SETTLED, &[1]), []);
    };
    // A leader whose record gets no further crash kept condemning the part after its quarantine.
    crashes_older_than_ten_minutes_do_not_condemn: {
        let suspects = three_crashes(&[1]);
        assert_eq!(condemned_with(&suspects, 10_000 + 599_000, &[]), [1]);
        assert_eq!(condemned_with(&suspects, 10_000 + 600_000, &[]), []);
    };
    only_the_latest_256_crashes_are_kept: for (others, expected) in [(253, &[1][..]), (254, &[])] {
        let mut suspects = three_crashes(&[1]);
        for n in 0..others {
            suspects.crashed(at(13_000 + n), &format!("other{n}"), of([100 + n]));
        }
        assert_eq!(condemned(&suspects), expected);
    };
    report_contains_the_latest_32_crashes: {
        let mut suspects = Suspects::default();
        for n in 0..40 {
            suspects.crashed(at(10_000 + n * 10), &n.to_string(), of([n]));
        }
        let crashes = suspects.evidence(at(14_000)).crashes;
        let parts: Vec<_> = crashes.iter().map(|crash| crash.parts[0].part.0).collect();
        assert_eq!(parts, (8..40).collect::<Vec<_>>());
    };
    only_parts_served_lately_are_kept: {
        let mut suspects = Suspects::default();
        for n in 0..100_000 {
            suspects.served(at(n), PartId(n));
        }
        let kept = (0..100_000).filter(|n| suspects.served_at(PartId(*n)).is_some()).count();
        assert!((4096..=8192).contains(&kept), "{kept}");
        assert!(suspects.served_at(PartId(99_999 - 4000)).is_some());
        assert!(suspects.served_at(PartId(0)).is_none());
    };
    evidence_repeats_the_crashes_of_ten_seconds: {
        let suspects = crashes(&[(10_000, "a", &[1]), (14_000, "b", &[2])]);
        let instances = |ms| {
            let evidence = suspects.evidence(at(ms));
            evidence.crashes.into_iter().map(|crash| crash.instance).collect::<Vec<_>>()
        };
        assert_eq!(instances(19_999), ["a", "b"]);
        assert_eq!(instances(20_000), ["b"]);
        assert!(suspects.evidence(at(24_000)).is_empty());
    };
    evidence_tells_when_the_parts_of_its_crashes_were_served: {
        let mut suspects = crashes(&[(10_000, "a", &[1, 2])]);
        suspects.served(at(9_000), PartId(2));
        suspects.served(at(9_500), PartId(3));
        let evidence = suspects.evidence(at(12_000));
        let age = Duration::from_millis(3000);
        assert_eq!(evidence.served, [Served { part: PartId(2), age }]);
    };
    evidence_passed_on_with_its_age_condemns_as_the_original_does: {
        let suspects = three_crashes(&[1]);
        let evidence = suspects.evidence(at(13_000)).aged(Duration::from_millis(700));
        let mut leader = Suspects::default();
        leader.record(at(513_700), &evidence);
        let verdicts = leader.verdicts(at(514_000), |_| false);
        assert_eq!((verdicts[0].part, verdicts[0].since), (PartId(1), at(510_000)));
    };
    appended_evidence_condemns_as_both_parts_do: {
        let mut evidence = report("a", 3000, &[1, 2]);
        evidence.append(report("b", 2000, &[1]));
        evidence.append(report("c", 1000, &[1, 2]));
        let served = Served { part: PartId(2), age: Duration::from_millis(500) };
        evidence.append(Evidence { crashes: Vec::new(), served: vec![served] });
        let mut suspects = Suspects::default();
        suspects.record(at(20_000), &evidence);
        assert_eq!(condemned(&suspects), [1]);
        assert_eq!(suspects.served_at(PartId(2)), Some(at(19_500)));
    };
    // Guards against the rejection of sound requests of the session whose one request crashes engines.
    repeated_request_is_condemned_and_its_session_is_not: {
        assert_eq!(condemned(&three_crashes(&[1, 2, REQUEST])), [REQUEST]);
        let mut suspects = three_crashes(&[1, 2, REQUEST]);
        suspects.served(at(9_000), PartId(1));
        suspects.served(at(12_500), PartId(2));
        assert_eq!(condemned(&suspects), [REQUEST]);
    };
    request_that_was_served_is_not_condemned: {
        let mut suspects = three_crashes(&[REQUEST]);
        suspects.served(at(11_500), PartId(REQUEST));
        assert_eq!(condemned(&suspects), []);
    };
    // Guards against a part that crashes more engines because the first prompt with it came again.
    part_is_condemned_after_a_request_that_was_the_first_with_it: {
        let mut suspects = three_crashes(&[1, 2, REQUEST]);
        suspects.served(at(13_000), PartId(1));
        assert_eq!(condemned_with(&suspects, SETTLED, &[REQUEST]), []);
        suspects.crashed(at(14_000), "d", of([1, 2, REQUEST + 1]));
        assert_eq!(condemned_with(&suspects, SETTLED, &[REQUEST]), [2]);
    };
    // Guards against the release of a request by crashes of its session's other requests.
    request_in_quarantine_explains_its_crashes: {
        let mut suspects = three_crashes(&[1, 2, REQUEST]);
        suspects.served(at(13_000), PartId(2));
        suspects.served(at(13_000), PartId(1));
        suspects.crashed(at(14_000), "d", of([1, 2, REQUEST + 1]));
        assert_eq!(condemned_with(&suspects, SETTLED, &[REQUEST]), []);
    };
    // Guards against a request that crashes three engines within the time that counts as one moment.
    repetitions_of_a_request_count_separately: assert_eq!(
        condemned(&crashes(&[(10_000, "a", &[REQUEST]), (10_031, "b", &[REQUEST]),
            (10_062, "c", &[REQUEST])])),
        [REQUEST]
    );
    // Guards against the condemnation of a request that is often made, by the loss of a rack.
    request_in_progress_at_several_engines_counts_once: assert_eq!(
        condemned(&crashes(&[(10_000, "a", &[REQUEST]), (10_010, "b", &[REQUEST]),
            (10_020, "c", &[REQUEST]), (10_029, "d", &[REQUEST])])),
        []
    );
    // Guards against a part that is found later because the first request with it was repeated.
    part_is_condemned_after_crashes_within_a_moment: {
        let mut suspects = crashes(&[(10_000, "a", &[2, REQUEST]), (10_031, "b", &[2, REQUEST]),
            (11_000, "c", &[2, REQUEST])]);
        assert_eq!(condemned(&suspects), [REQUEST]);
        suspects.crashed(at(14_000), "d", of([2, REQUEST + 1]));
        assert_eq!(condemned_with(&suspects, SETTLED, &[REQUEST]), [2]);
    };
}
