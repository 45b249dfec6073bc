//! Tests of the invariants of plans and of the deployment.

use std::time::Duration;

use assert_matches::assert_matches;
use plan::{
    AccountSpec,
    Deployment,
    Document,
    Plan,
    PlanError,
    PlanSpec,
    RetryPolicy,
    RouteSpec,
    ServiceSpec,
    Share, //
};

fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        connections: 10,
        cold_start: None,
        engine: None,
    }
}

fn route(name: &str, prefix: &str, shares: &[(&str, u32)]) -> RouteSpec {
    let share = |(service, weight): &(&str, u32)| Share {
        service: (*service).to_owned(),
        weight: *weight,
    };
    RouteSpec {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        retry: RetryPolicy::AtMostOnce,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        event_gap: Duration::ZERO,
        rank: 1,
        shares: shares.iter().map(share).collect(),
        attempts: 1,
        open: false,
    }
}

fn account(name: &str, keys: &[&str]) -> AccountSpec {
    AccountSpec {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rank: None,
    }
}

fn spec() -> PlanSpec {
    PlanSpec {
        version: 3,
        routes: vec![
            route("short", "/a/", &[("s", 1)]),
            route("long", "/a/b/", &[("s", 90), ("t", 10)]),
        ],
        services: vec![service("s"), service("t")],
        accounts: Some(vec![account("one", &["k1", "k2"]), account("two", &["k3"])]),
        limits: None,
    }
}

fn find_route(path: &str) -> Option<String> {
    let plan = Plan::try_from(spec()).unwrap();
    let route = plan.find_route("h", path)?;
    plan.route(route).map(|route| route.name.clone())
}

/// Modifies the valid plan with `change` and returns the error of its validation.
fn validation_error(change: impl FnOnce(&mut PlanSpec)) -> PlanError {
    let mut spec = spec();
    change(&mut spec);
    Plan::try_from(spec).unwrap_err()
}

fn document(version: u64, bytes: &[u8]) -> Document {
    Document {
        version,
        bytes: bytes.to_vec().into(),
    }
}

case::cases! {
    longest_prefix_is_preferred: assert_eq!(find_route("/a/b/c").as_deref(), Some("long"));
    shorter_prefix_matches_other_paths: assert_eq!(find_route("/a/x").as_deref(), Some("short"));
    path_outside_all_prefixes_has_no_route: assert_eq!(find_route("/ab").as_deref(), None);
    key_resolves_to_its_account: {
        let plan = Plan::try_from(spec()).unwrap();
        let id = plan.account_for_key("k2").unwrap();
        assert_eq!(plan.account(id).unwrap().name, "one");
        assert_eq!(plan.account_for_key("k9"), None);
    };
    unknown_service_is_rejected: assert_matches!(
        validation_error(|s| s.routes[0].shares[0].service = "x".to_owned()),
        PlanError::UnknownService(..)
    );
    unknown_service_with_zero_weight_is_rejected: assert_matches!(
        validation_error(|s| s.routes[1].shares[1] = Share { service: "x".to_owned(), weight: 0 }),
        PlanError::UnknownService(..)
    );
    duplicate_prefix_is_rejected: assert_matches!(
        validation_error(|s| s.routes[1].prefix = "/a/".to_owned()),
        PlanError::DuplicatePrefix(..)
    );
    zero_weight_is_rejected: assert_matches!(validation_error(|s| s.routes[0].shares[0].weight = 0), PlanError::ZeroWeight(_));
    zero_timeout_is_rejected: assert_matches!(
        validation_error(|s| s.routes[0].timeout = Duration::ZERO),
        PlanError::ZeroTimeout(_)
    );
    duplicate_key_is_rejected: assert_matches!(
        validation_error(|s| s.accounts.as_mut().unwrap()[1].keys.push("k1".to_owned())),
        PlanError::DuplicateKey(..)
    );
    higher_version_replaces_the_plan: {
        let mut deployment = Deployment::default();
        assert!(deployment.install(document(7, b"a")));
        assert!(deployment.install(document(12, b"b")));
        assert_eq!(deployment.document(), Some(&document(12, b"b")));
        assert_eq!(deployment.generation(), 2);
    };
    older_version_changes_nothing: {
        let mut deployment = Deployment::default();
        deployment.install(document(7, b"a"));
        assert!(!deployment.install(document(3, b"b")));
        assert_eq!(deployment.document(), Some(&document(7, b"a")));
    };
    different_content_with_the_same_version_changes_nothing: {
        let mut deployment = Deployment::default();
        deployment.install(document(7, b"a"));
        assert!(!deployment.install(document(7, b"b")));
        assert_eq!((deployment.document(), deployment.generation()), (Some(&document(7, b"a")), 1));
    };
    closing_a_closed_zone_keeps_the_generation: {
        let mut deployment = Deployment::default();
        assert!(deployment.set_zone("z", true));
        assert!(!deployment.set_zone("z", true));
        assert_eq!(deployment.snapshot().closed, ["z"]);
        assert!(deployment.set_zone("z", false));
        assert_eq!((deployment.snapshot().closed.len(), deployment.generation()), (0, 2));
    };
}
