//! Pauses in streams, wasted work and the use of unequal engines, as the users require them.

use std::time::Duration;

use enginesim::{
    Disturbance,
    Metrics,
    Policy,
    RunOptions,
    Workload,
    simulate, //
};

/// The users' limit for streams of the most urgent class that are late by a pause.
const MAX_PAUSED: f64 = 0.05;
/// The same share as a limit for requests on which work is started that their timeouts do not allow
/// to finish; the users state none.
const MAX_UNFINISHED: f64 = 0.05;
/// Several, as the share of late streams in a burst differs by a factor of nine and more between them.
const SEEDS: [u64; 3] = [1, 2, 3];

fn run(workload: Workload, disturbance: Disturbance, seed: u64) -> Metrics {
    simulate(RunOptions {
        workload,
        speed: 1.0,
        load: 1.0,
        disturbance,
        policy: Policy::Product,
        duration: Duration::from_secs(9),
        seed,
    })
    .unwrap()
}

/// Checks that few streams of the most urgent class are late by a pause.
fn assert_short_streams_flow(workload: Workload, disturbance: Disturbance) {
    for seed in SEEDS {
        let [.., short] = run(workload, disturbance, seed).classes;
        let (late, streams) = (short.paused, short.streams);
        assert!(
            short.pause_share() <= MAX_PAUSED,
            "seed {seed}: {late} of {streams}"
        );
    }
}

/// Checks that few requests of the least urgent class run until their client's timeout.
fn assert_long_requests_finish(workload: Workload) {
    for seed in SEEDS {
        let [long, ..] = run(workload, Disturbance::Burst, seed).classes;
        let (failed, requests) = (long.failed, long.requests);
        assert!(
            long.share(failed) <= MAX_UNFINISHED,
            "seed {seed}: {failed} of {requests}"
        );
    }
}

case::cases! {
    equal_options_give_equal_results: {
        let [a, b] = [(); 2].map(|()| run(Workload::Mixed, Disturbance::None, 7));
        assert_eq!((a.on_time, a.late, a.failed, a.preempted), (b.on_time, b.late, b.failed, b.preempted));
        assert_eq!(a.first_event, b.first_event);
    };
    // The report must neither lose nor repeat a request, and work is not wasted twice.
    classes_and_outcomes_add_up: {
        let metrics = run(Workload::Uneven, Disturbance::Burst, 2);
        let sum = metrics.classes.iter().map(|class| class.requests).sum::<usize>();
        assert_eq!((sum, metrics.on_time + metrics.late + metrics.rejected + metrics.failed), (metrics.requests, sum));
        assert!((0.0..1.0).contains(&metrics.wasted_share()), "{}", metrics.wasted_share());
        assert_eq!(metrics.spread.len(), 9);
        assert!(metrics.spread.iter().all(|spread| spread.busiest >= 1.0 && (0.0..=1.0).contains(&spread.idle)));
    };
    // Prompts of the least urgent class that are prefilled between the tokens of a stream delay its
    // events beyond the route's limit.
    uneven_fronts_keep_short_streams_flowing: assert_short_streams_flow(Workload::Uneven, Disturbance::None);
    engines_of_three_speeds_keep_short_streams_flowing: assert_short_streams_flow(Workload::Mixed, Disturbance::None);
    burst_of_short_streams_keeps_them_flowing: assert_short_streams_flow(Workload::Uneven, Disturbance::ShortBurst);
    burst_of_short_streams_at_three_speeds_lets_them_flow: assert_short_streams_flow(Workload::Mixed, Disturbance::ShortBurst);
    burst_of_long_prompts_keeps_short_streams_flowing: assert_short_streams_flow(Workload::Uneven, Disturbance::Burst);
    burst_of_long_prompts_at_three_speeds_lets_short_streams_flow: assert_short_streams_flow(Workload::Mixed, Disturbance::Burst);
    // A front that starts more requests than the engines can finish wastes the work on all that
    // reach their timeout.
    burst_of_long_prompts_starts_only_what_can_finish: assert_long_requests_finish(Workload::Uneven);
    burst_of_long_prompts_at_three_speeds_starts_only_what_can_finish: assert_long_requests_finish(Workload::Mixed);
}
