//! The task of a request is dropped while the core decides on the request.

use std::pin::pin;

use ids::{
    Clock,
    Monotonic, //
};
use plan::{
    Plan,
    PlanSpec,
    RetryPolicy,
    RouteSpec,
    ServiceSpec, //
};
use relay::{
    EndpointInfo,
    Holdings,
    PredictedLatency,
    Relay,
    RelayOptions,
    View, //
};
use smol::future::poll_once;

use super::*;
use crate::control::FrontEffects;

/// A view of a plan with one route, which needs no key.
fn view(clock: Monotonic) -> View {
    let route = RouteSpec {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(60),
        latency_target: Duration::from_secs(1),
        event_gap: Duration::ZERO,
        rank: 0,
        shares: vec![plan::Share {
            service: "p".to_owned(),
            weight: 1,
        }],
        attempts: 1,
        open: true,
    };
    let service = ServiceSpec {
        name: "p".to_owned(),
        connections: 10,
        cold_start: None,
        engine: None,
    };
    let spec = PlanSpec {
        version: 1,
        routes: vec![route],
        services: vec![service],
        accounts: None,
        limits: None,
    };
    let plan = Plan::try_from(spec).unwrap();
    View {
        generation: 1,
        deployment: Some((Some(Arc::new(plan)), Vec::new())),
        valid_until: clock.now() + Duration::from_secs(60),
        fronts: 1,
        wall_clock: (1_000_000_000, clock.now()),
        requested_at: clock.now(),
        quarantine: None,
    }
}

fn endpoint() -> EndpointInfo {
    EndpointInfo {
        instance: "p0".to_owned(),
        service: "p".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".to_owned(),
        slots: 8,
        draining: false,
        cold_remaining: Duration::ZERO,
        started_ms: 0,
        version: String::new(),
    }
}

/// Starts a core with the inputs given. Drops the task of a request after the core has handled
/// the request and before the task has looked for the decision.
fn drop_task(inputs: impl FnOnce(Monotonic) -> Vec<Input>, before: Holdings) {
    let clock = Monotonic::start();
    let options = RelayOptions {
        zone: "a".to_owned(),
        usage_window: Duration::from_secs(5),
        retry_ratio: 0.2,
        retry_extra: 60.0,
        retry_window: Duration::from_secs(10),
        rng_seed: 7,
    };
    let (evidence, _reports) = crossbeam::channel::unbounded();
    let counters = Counters::local();
    let effects = FrontEffects::new(evidence, clock, counters.clone(), obs::discard());
    let core = Relay::new(options, PredictedLatency);
    let control = step::ControlThread::start("test-control", core, effects, clock).unwrap();
    for input in inputs(clock) {
        control.inbox().send(input).unwrap();
    }
    let tickets = Arc::new(AtomicU64::new(0));
    let client = || CoreClient::new(control.inbox(), Arc::clone(&tickets), counters.clone());
    let head = RequestHead {
        host: "h".to_owned(),
        path: "/x".to_owned(),
        ..RequestHead::default()
    };
    let usage = || smol::block_on(client().usage()).unwrap();
    {
        let client = client();
        let mut submit = pin!(client.submit(head));
        assert!(smol::block_on(poll_once(submit.as_mut())).is_none());
        assert_eq!(usage().holdings, before);
    }
    let after = usage();
    assert_eq!((after.holdings, after.replies), (Holdings::default(), 0));
    control.close().unwrap();
}

case::cases! {
    // The core kept the request for good, as load of its endpoint.
    task_that_never_sees_its_attempt_leaves_nothing: drop_task(
        |clock| vec![Input::View(Box::new(view(clock))), Input::Endpoints(vec![endpoint()])],
        Holdings { requests: 1, attempts: 1, ..Holdings::default() },
    );
    task_that_waits_for_a_view_leaves_nothing: drop_task(
        |_| Vec::new(),
        Holdings { held: 1, ..Holdings::default() },
    );
}
