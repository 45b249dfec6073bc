//! The modelled deployment: the first users' zones, fronts, engines and routes.

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

use crate::engine::Shape;
use crate::traffic::{
    CLASSES,
    Class, //
};

pub(crate) const ZONES: usize = 3;
/// Engines and fronts of the first users' deployment.
pub(crate) const ENGINES: usize = 12;
pub(crate) const FRONTS: usize = 7;
/// One way within a zone, and between zones.
pub(crate) const NEAR: Duration = Duration::from_micros(500);
pub(crate) const FAR: Duration = Duration::from_micros(1400);
/// Time before anything happens, so that fronts have views.
pub(crate) const START: Tick = Tick(10_000_000);

pub(crate) fn zone(n: usize) -> String {
    format!("z{}", n % ZONES)
}

pub(crate) fn hop(front: usize, engine: usize) -> Duration {
    if front % ZONES == engine % ZONES {
        NEAR
    } else {
        FAR
    }
}

pub(crate) fn listing(n: usize, now: Tick) -> EndpointInfo {
    let shape = Shape::default();
    EndpointInfo {
        instance: format!("e{n}"),
        service: "m".to_owned(),
        // The port is the engine's number.
        address: ([10, 0, 0, 1], u16::try_from(n).unwrap_or(u16::MAX)).into(),
        zone: zone(n),
        slots: u32::try_from(shape.slots).unwrap_or(u32::MAX),
        draining: false,
        cold_remaining: Duration::ZERO,
        started_at_ms: u64::from(now > START && n < ZONES),
    }
}

pub(crate) fn plan() -> Result<Plan, PlanError> {
    let shape = Shape::default();
    let route = |(rank, class): (usize, &Class)| RouteSpec {
        name: class.path.to_owned(),
        host: "h".to_owned(),
        prefix: class.path.to_owned(),
        retry: RetryPolicy::AtMostOnceStream,
        timeout: class.patience,
        latency_target: class.target,
        event_gap: class.pause,
        rank: u8::try_from(CLASSES.len() - rank).unwrap_or(u8::MAX),
        shares: vec![Share {
            service: "m".to_owned(),
            weight: 1,
        }],
        attempts: 2,
        open: false,
    };
    let spec = PlanSpec {
        version: 1,
        routes: CLASSES.iter().enumerate().map(route).collect(),
        services: vec![ServiceSpec {
            name: "m".to_owned(),
            connections: 380,
            cold_start: None,
            engine: Some(EngineLimits {
                slots: u32::try_from(shape.slots).unwrap_or(u32::MAX),
                kv_tokens: shape.memory,
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
