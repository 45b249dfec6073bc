//! The simulated deployment: zones, fronts, engines and routes as at the first users.

use std::time::Duration;

use ids::Tick;
use plan::{
    AccountSpec,
    EngineLimits,
    Plan,
    PlanError,
    PlanSpec,
    RetryPolicy,
    RouteSpec,
    ServiceSpec,
    Share, //
};
use relay::EndpointInfo;

use crate::traffic::Class;
use crate::workload::Workload;

/// Availability zones; fronts and engines are spread over them in turn.
pub(crate) const ZONES: usize = 3;
/// One-way network delay within a zone.
pub(crate) const SAME_ZONE_DELAY: Duration = Duration::from_micros(500);
/// One-way network delay between zones.
pub(crate) const CROSS_ZONE_DELAY: Duration = Duration::from_micros(1400);
/// Virtual time at the start of a run, when all fronts receive their view of the deployment.
pub(crate) const START_TIME: Tick = Tick(10_000_000);

pub(crate) fn zone_name(n: usize) -> String {
    format!("z{}", n % ZONES)
}

/// Returns the one-way network delay between a front and an engine.
pub(crate) fn network_delay(front: usize, engine: usize) -> Duration {
    if front % ZONES == engine % ZONES {
        SAME_ZONE_DELAY
    } else {
        CROSS_ZONE_DELAY
    }
}

/// Returns an engine's entry in the endpoint list that fronts receive.
pub(crate) fn endpoint_info(workload: Workload, n: usize, now: Tick) -> EndpointInfo {
    let spec = workload.engine();
    EndpointInfo {
        instance: format!("e{n}"),
        service: "m".to_owned(),
        // The simulation reads the engine's number back from the port.
        address: ([10, 0, 0, 1], u16::try_from(n).unwrap_or(u16::MAX)).into(),
        zone: zone_name(n),
        slots: u32::try_from(spec.slots).unwrap_or(u32::MAX),
        draining: false,
        cold_remaining: Duration::ZERO,
        // Engines below `ZONES` are those that crash; a list after the start of the run shows
        // them with a later start time.
        started_ms: u64::from(now > START_TIME && n < ZONES),
        version: String::new(),
    }
}

/// Returns the plan of all fronts: one route for each class, in order of priority.
pub(crate) fn plan(workload: Workload, speed: f64) -> Result<Plan, PlanError> {
    let engine = workload.engine();
    let classes = workload.classes(speed);
    let route = |(rank, class): (usize, &Class)| RouteSpec {
        name: class.path.to_owned(),
        host: "h".to_owned(),
        prefix: class.path.to_owned(),
        retry: RetryPolicy::AtMostOnceStream,
        timeout: class.timeout,
        latency_target: class.latency_target,
        event_gap: class.event_gap,
        rank: u8::try_from(classes.len() - rank).unwrap_or(u8::MAX),
        shares: vec![Share {
            service: "m".to_owned(),
            weight: 1,
        }],
        attempts: 2,
        open: false,
    };
    let spec = PlanSpec {
        version: 1,
        routes: classes.iter().enumerate().map(route).collect(),
        services: vec![ServiceSpec {
            name: "m".to_owned(),
            connections: 380,
            cold_start: None,
            engine: Some(EngineLimits {
                slots: u32::try_from(engine.slots).unwrap_or(u32::MAX),
                kv_tokens: engine.kv_tokens,
            }),
        }],
        accounts: Some(vec![AccountSpec {
            name: "ana".to_owned(),
            keys: vec!["k".to_owned()],
            rank: None,
        }]),
        limits: None,
    };
    Plan::try_from(spec)
}
