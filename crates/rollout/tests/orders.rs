//! Orders must be accepted once, and no change may follow the verdict on them.

use std::time::Duration;

use assert_matches::assert_matches;
use ids::Tick;
use rollout::{
    Ages,
    Change,
    Effect,
    Exposure,
    Judge,
    Order,
    OrderError,
    OrderRequest,
    Orders,
    Outcomes,
    RawOrder,
    RouteTally,
    Seen,
    State,
    Tally, //
};

fn raw(service: &str, version: &str, duration_s: f64) -> RawOrder {
    RawOrder {
        service: service.to_owned(),
        version: version.to_owned(),
        duration_s,
    }
}

fn open(version: &str) -> Change {
    OrderRequest::try_from(raw("s", version, 12.0))
        .unwrap()
        .into()
}

fn step(id: u64, exposure: Exposure, elapsed_ms: u64) -> Change {
    Change::Step {
        id,
        exposure,
        elapsed_ms,
        seen: Seen::default(),
    }
}

fn applied(changes: impl IntoIterator<Item = Change>) -> (Orders, Effect) {
    let mut orders = Orders::default();
    let effects = changes.into_iter().map(|change| orders.apply(change));
    let last = effects.last().unwrap();
    (orders, last)
}

fn invalid(raw: RawOrder, error: OrderError) {
    assert_eq!(OrderRequest::try_from(raw), Err(error));
}

case::cases! {
    empty_service_is_invalid: invalid(raw("", "v2", 1.0), OrderError::Service);
    empty_version_is_invalid: invalid(raw("s", "", 1.0), OrderError::Version);
    long_version_is_invalid: invalid(raw("s", &"v".repeat(257), 1.0), OrderError::Version);
    unusable_durations_are_invalid: for duration in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
        invalid(raw("s", "v2", duration), OrderError::Duration);
    };
    same_order_while_it_runs_is_in_progress: {
        assert_eq!(applied([open("v2"), open("v2")]).1, Effect::InProgress);
    };
    other_version_while_one_runs_is_in_progress: {
        let (orders, effect) = applied([open("v2"), open("v3")]);
        assert_eq!(effect, Effect::InProgress);
        assert_eq!(orders.of_service("s").unwrap().order.version, "v2");
    };
    order_after_an_ended_one_starts_anew: {
        let end = Change::End { id: 1, done: false };
        let (orders, effect) = applied([open("v2"), end, open("v2")]);
        assert_eq!(effect, Effect::Opened(2));
        let expected = Order {
            id: 2,
            service: "s".to_owned(),
            version: "v2".to_owned(),
            state: State::Running,
        };
        assert_eq!(orders.of_service("s").unwrap().order, expected);
        assert_eq!(orders.stages().stages[0].exposure, Exposure::None);
    };
    verdict_is_final: {
        let (done, rolled_back) = (Change::End { id: 1, done: true }, Change::End { id: 1, done: false });
        let later = step(1, Exposure::Share(0.1), 900);
        let (orders, effect) = applied([open("v2"), rolled_back, done, later]);
        assert_eq!(effect, Effect::Unchanged);
        assert_eq!(orders.get(1).unwrap().order.state, State::RolledBack);
        assert_eq!(orders.stages().stages[0].exposure, Exposure::None);
    };
    only_a_change_of_a_stage_makes_a_new_version: {
        let exposure = Exposure::Share(0.1);
        let (orders, effect) = applied([open("v2"), step(1, exposure, 500), step(1, exposure, 900)]);
        assert_eq!((effect, orders.version()), (Effect::Unchanged, 2));
        assert_matches!(orders.get(1).unwrap(), progress
            if (progress.elapsed_ms, progress.stepped_ms) == (900, 500));
    };
    orders_are_decoded_unchanged: {
        let (orders, _) = applied([open("v2"), step(1, Exposure::All, 500)]);
        let bytes = rmp_serde::to_vec(&orders).unwrap();
        assert_eq!(rmp_serde::from_slice::<Orders>(&bytes).unwrap(), orders);
    };
    // Guards against an order whose exposure stays for good after the settings were removed.
    order_ends_if_the_settings_allow_no_rollouts: {
        let (orders, _) = applied([open("v2"), step(1, Exposure::Share(0.1), 500)]);
        let mut judge = Judge::new(Tick::default());
        let decision = judge.decide(Tick::default(), None, None, &orders, |_| Duration::ZERO);
        assert_eq!(decision.unwrap().change, Change::End { id: 1, done: false });
    };
    // A front and a distributor repeat their counts, and may do so out of order.
    earlier_counts_change_nothing: {
        let tally = |sent| Tally {
            id: 1,
            routes: vec![RouteTally {
                route: "r".to_owned(),
                new: Outcomes { sent, ..Outcomes::default() },
                ..RouteTally::default()
            }],
        };
        let mut held = tally(5);
        held.merge(&tally(3));
        assert_eq!(held, tally(5));
    };
    // The clocks of two processes differ.
    new_leader_continues_at_the_committed_time: {
        let (orders, _) = applied([open("v2"), step(1, Exposure::All, 5000)]);
        let mut ages = Ages::default();
        let at = |ms| Tick::default() + Duration::from_millis(ms);
        ages.follow(at(700_000), &orders);
        ages.follow(at(700_400), &orders);
        assert_eq!(ages.elapsed(at(701_000), 1), Duration::from_secs(6));
    };
}
