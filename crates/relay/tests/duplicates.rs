//! Listings with several entries of one instance: another writer's entry must not displace an engine.

use std::sync::Arc;
use std::time::Duration;

use ids::{
    Tick,
    Ticket, //
};
use plan::{
    Plan,
    PlanSpec,
    RetryPolicy,
    RouteSpec,
    ServiceSpec,
    Share, //
};
use relay::{
    Decision,
    EndpointInfo,
    Input,
    Output,
    PredictedLatency,
    Relay,
    RelayOptions,
    RequestHead,
    View, //
};
use step::{
    Core,
    Outbox, //
};

const SECOND: Duration = Duration::from_secs(1);
const NOW: Tick = Tick(10_000_000);
/// The ports of the engine, and of the entry of another writer.
const ENGINE: u16 = 1;
const OTHER: u16 = 2;

struct Front(Relay<PredictedLatency>);

impl Front {
    fn new() -> Self {
        let options = RelayOptions {
            zone: "a".to_owned(),
            usage_window: 5 * SECOND,
            retry_ratio: 0.2,
            retry_extra: 60.0,
            retry_window: 10 * SECOND,
            rng_seed: 7,
        };
        Self(Relay::new(options, PredictedLatency))
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Outbox::default();
        self.0.step(NOW, input, &mut out);
        out.drain().collect()
    }

    /// Applies a plan that names the services.
    fn plan(&mut self, generation: u64, services: &[&str]) {
        let service = |name: &&str| ServiceSpec {
            name: (*name).to_owned(),
            connections: 100,
            cold_start: None,
            engine: None,
        };
        let route = |name: &&str| RouteSpec {
            name: (*name).to_owned(),
            host: "h".to_owned(),
            prefix: format!("/{name}/"),
            retry: RetryPolicy::Idempotent,
            timeout: 3 * SECOND,
            latency_target: SECOND,
            event_gap: SECOND,
            rank: 0,
            shares: vec![Share {
                service: (*name).to_owned(),
                weight: 1,
            }],
            attempts: 1,
            open: true,
        };
        let spec = PlanSpec {
            version: generation,
            routes: services.iter().map(route).collect(),
            services: services.iter().map(service).collect(),
            accounts: None,
            limits: None,
        };
        let plan = Arc::new(Plan::try_from(spec).unwrap());
        self.step(Input::View(Box::new(View {
            generation,
            deployment: Some((Some(plan), Vec::new())),
            valid_until: NOW + 60 * SECOND,
            fronts: 1,
            wall_clock: (1_000_000_000, NOW),
            requested_at: NOW,
            quarantine: None,
        })));
    }

    fn list(&mut self, entries: &[EndpointInfo]) {
        self.step(Input::Endpoints(entries.to_vec()));
    }

    /// The port to which a request is sent; none if it is rejected.
    fn port(&mut self, service: &str) -> Option<u16> {
        let head = RequestHead {
            host: "h".to_owned(),
            path: format!("/{service}/"),
            timeout: Some(2 * SECOND),
            ..RequestHead::default()
        };
        let outputs = self.step(Input::Request(Ticket(1), Box::new(head)));
        outputs.into_iter().find_map(|output| match output {
            Output::Reply(_, Decision::Dispatch(attempt)) => Some(attempt.address.port()),
            _ => None,
        })
    }
}

/// An entry of the one instance.
fn entry(service: &str, port: u16) -> EndpointInfo {
    EndpointInfo {
        instance: "i-1".to_owned(),
        service: service.to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".to_owned(),
        version: String::new(),
        slots: 8,
        draining: false,
        cold_remaining: Duration::ZERO,
        started_ms: 7,
    }
}

fn draining(port: u16) -> EndpointInfo {
    EndpointInfo {
        draining: true,
        ..entry("p", port)
    }
}

fn without_start(port: u16) -> EndpointInfo {
    EndpointInfo {
        started_ms: 0,
        ..entry("p", port)
    }
}

/// The port that gets a request after a plan and a listing with two entries, in either order.
fn ports(first: &EndpointInfo, second: &EndpointInfo) -> [Option<u16>; 2] {
    [[first, second], [second, first]].map(|entries| {
        let mut front = Front::new();
        front.plan(1, &["p"]);
        front.list(&entries.map(EndpointInfo::clone));
        front.port("p")
    })
}

case::cases! {
    // Of 30 requests none was served while such entries were listed.
    entry_of_an_unknown_service_does_not_displace_an_engine:
        assert_eq!(ports(&entry("p", ENGINE), &entry("other", OTHER)), [Some(ENGINE); 2]);
    entry_with_fewer_fields_does_not_displace_an_engine:
        assert_eq!(ports(&entry("p", ENGINE), &without_start(OTHER)), [Some(ENGINE); 2]);
    // The listing changed between the requests for two of its pages.
    instance_listed_as_ready_and_as_draining_is_draining:
        assert_eq!(ports(&entry("p", ENGINE), &draining(ENGINE)), [None; 2]);
    entry_elsewhere_does_not_displace_an_engine_in_use: for other in [entry("p", OTHER), draining(OTHER)] {
        for swapped in [false, true] {
            let mut front = Front::new();
            front.plan(1, &["p"]);
            front.list(&[entry("p", ENGINE)]);
            let mut entries = [entry("p", ENGINE), other.clone()];
            entries.rotate_left(usize::from(swapped));
            front.list(&entries);
            front.list(&entries);
            assert_eq!(front.port("p"), Some(ENGINE));
        }
    };
    // A front that starts gets the directory before the plan, and again only if the pages change.
    plan_that_comes_later_decides: {
        let mut front = Front::new();
        front.list(&[entry("p", ENGINE), entry("other", OTHER)]);
        front.plan(1, &["p"]);
        assert_eq!(front.port("p"), Some(ENGINE));
        front.plan(2, &["other"]);
        assert_eq!(front.port("other"), Some(OTHER));
    };
    engine_that_moves_is_used_at_its_new_address: {
        let mut front = Front::new();
        front.plan(1, &["p"]);
        front.list(&[entry("p", ENGINE), entry("other", OTHER)]);
        front.list(&[entry("p", 3)]);
        assert_eq!(front.port("p"), Some(3));
    };
}
