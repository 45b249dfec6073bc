//! The rules of plans and of the deployment.

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

fn found(path: &str) -> Option<String> {
    let plan = Plan::try_from(spec()).unwrap();
    let route = plan.find_route("h", path)?;
    plan.route(route).map(|route| route.name.clone())
}

fn broken(change: impl FnOnce(&mut PlanSpec)) -> PlanError {
    let mut spec = spec();
    change(&mut spec);
    Plan::try_from(spec).unwrap_err()
}

fn document(version: u64, bytes: &[u8]) -> Document {
    Document {
        version,
        bytes: bytes.to_vec(),
    }
}

case::cases! {
    longest_prefix_wins: assert_eq!(found("/a/b/c").as_deref(), Some("long"));
    shorter_prefix_takes_the_rest: assert_eq!(found("/a/x").as_deref(), Some("short"));
    prefix_is_of_whole_segments: assert_eq!(found("/ab").as_deref(), None);
    key_names_its_account: {
        let plan = Plan::try_from(spec()).unwrap();
        let id = plan.account_for_key("k2").unwrap();
        assert_eq!(plan.account(id).unwrap().name, "one");
        assert_eq!(plan.account_for_key("k9"), None);
    };
    unknown_service: assert_matches!(
        broken(|s| s.routes[0].shares[0].service = "x".to_owned()),
        PlanError::UnknownService(..)
    );
    unknown_service_with_weight_zero: assert_matches!(
        broken(|s| s.routes[1].shares[1] = Share { service: "x".to_owned(), weight: 0 }),
        PlanError::UnknownService(..)
    );
    same_place: assert_matches!(
        broken(|s| s.routes[1].prefix = "/a/".to_owned()),
        PlanError::DuplicatePrefix(..)
    );
    no_weight: assert_matches!(broken(|s| s.routes[0].shares[0].weight = 0), PlanError::ZeroWeight(_));
    no_timeout: assert_matches!(
        broken(|s| s.routes[0].timeout = Duration::ZERO),
        PlanError::ZeroTimeout(_)
    );
    shared_key: assert_matches!(
        broken(|s| s.accounts.as_mut().unwrap()[1].keys.push("k1".to_owned())),
        PlanError::DuplicateKey(..)
    );
    higher_version_takes_effect: {
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
    other_content_under_the_same_version_changes_nothing: {
        let mut deployment = Deployment::default();
        deployment.install(document(7, b"a"));
        assert!(!deployment.install(document(7, b"b")));
        assert_eq!((deployment.document(), deployment.generation()), (Some(&document(7, b"a")), 1));
    };
    closing_a_zone_twice_is_one_change: {
        let mut deployment = Deployment::default();
        assert!(deployment.set_zone("z", true));
        assert!(!deployment.set_zone("z", true));
        assert_eq!(deployment.snapshot().closed, ["z"]);
        assert!(deployment.set_zone("z", false));
        assert_eq!((deployment.snapshot().closed.len(), deployment.generation()), (0, 2));
    };
}
