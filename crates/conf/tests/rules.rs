//! Tests of the configuration's invariants, authorization and replication through the public API.

use assert_matches::assert_matches;
use conf::{
    AccessError,
    Change,
    ChangeError,
    Config,
    Content,
    Proposal,
    Registry,
    Verdict, //
};
use ids::{
    Digest,
    Revision, //
};

/// The changes of the first proposal.
const INITIAL_CHANGES: &str = r#"[
    {"put-zone": {"name": "quito-norte", "region": "ec-sierra"}},
    {"put-class": {"name": "field", "tier": 0, "first_ms": 650, "gap_ms": 66}},
    {"put-class": {"name": "office", "tier": 2, "first_ms": 3000, "gap_ms": 200}},
    {"put-account": {"name": "norte"}},
    {"put-account": {"name": "sur"}},
    {"put-route": {"name": "crew", "serves": {"model": "crew-assistant"}, "class": "office"}},
    {"put-route": {"name": "maps", "serves": {"service": {"prefix": "/maps"}}, "class": "office",
        "access": {"open": "sur"}}},
    {"put-route": {"name": "valves", "serves": {"service": {"prefix": "/valves"}}, "class": "field",
        "access": {"only": ["norte"]}}},
    {"put-endpoint": {"name": "e1", "zone": "quito-norte", "routes": ["crew"],
        "agent": "127.0.0.1:9000", "slots": 4}}
]"#;

fn changes(json: &str) -> Vec<Change> {
    serde_json::from_str(json).unwrap()
}

fn grant(name: &str, account: &str, digest: u8) -> Change {
    let digest = Digest([digest; 32]);
    let json = format!(
        r#"[{{"put-grant": {{"name": "{name}", "account": "{account}", "digest": "{digest}"}}}}]"#
    );
    changes(&json).remove(0)
}

fn config() -> Config {
    let mut config = Config::default();
    config.apply_all(&changes(INITIAL_CHANGES)).unwrap();
    config
        .apply_all(&[grant("k-norte", "norte", 1), grant("k-sur", "sur", 2)])
        .unwrap();
    config
}

fn authorize(config: &Config, digest: Option<u8>, route: &str) -> Result<String, AccessError> {
    let route = config.find_route(&route.try_into().unwrap()).unwrap();
    let permit = config.authorize(digest.map(|d| Digest([d; 32])), route)?;
    Ok(config
        .account(permit.account)
        .unwrap()
        .spec
        .name
        .to_string())
}

/// Applies changes that must be rejected, checks that the configuration is unchanged, and returns
/// the error.
fn rejected(json: &str) -> ChangeError {
    let mut config = config();
    let before = config.export();
    let error = config.apply_all(&changes(json)).unwrap_err();
    assert_eq!(config.export(), before);
    error
}

fn proposal(name: &str, base: u64, change: &str) -> Proposal {
    Proposal {
        name: name.try_into().unwrap(),
        operator: "ana".try_into().unwrap(),
        base: Some(Revision(base)),
        changes: changes(change),
    }
}

fn registry() -> Registry {
    let mut registry = Registry::default();
    let first = proposal("p0", 0, INITIAL_CHANGES);
    assert_eq!(registry.decide(&first), Verdict::Accepted(Revision(1)));
    registry
}

const ADD_ACCOUNT: &str = r#"[{"put-account": {"name": "valle"}}]"#;
const ADD_OTHER_ACCOUNT: &str = r#"[{"put-account": {"name": "costa"}}]"#;

case::cases! {
    key_authorizes_its_account: assert_eq!(authorize(&config(), Some(1), "crew"), Ok("norte".into()));
    missing_key_on_keyed_route_is_rejected: assert_eq!(authorize(&config(), None, "crew"), Err(AccessError::KeyMissing));
    unknown_key_is_rejected: assert_eq!(authorize(&config(), Some(9), "crew"), Err(AccessError::KeyInvalid));
    unknown_key_on_open_route_is_rejected: assert_eq!(authorize(&config(), Some(9), "maps"), Err(AccessError::KeyInvalid));
    missing_key_on_open_route_uses_the_route_account: assert_eq!(authorize(&config(), None, "maps"), Ok("sur".into()));
    key_on_open_route_authorizes_its_account: assert_eq!(authorize(&config(), Some(1), "maps"), Ok("norte".into()));
    account_not_listed_by_route_is_rejected: assert_eq!(authorize(&config(), Some(2), "valves"), Err(AccessError::Forbidden));
    withdrawn_key_is_rejected_and_cannot_be_recreated: {
        let mut config = config();
        config.apply_all(&changes(r#"[{"withdraw-grant": "k-norte"}]"#)).unwrap();
        assert_eq!(authorize(&config, Some(1), "crew"), Err(AccessError::KeyInvalid));
        let same_name = config.apply_all(&[grant("k-norte", "norte", 1)]);
        assert_matches!(same_name, Err(ChangeError::GrantExists(_)));
        let other_name = config.apply_all(&[grant("k-new", "norte", 1)]);
        assert_matches!(other_name, Err(ChangeError::DigestTaken(_)));
    };
    closed_account_is_rejected_and_cannot_be_reopened: {
        let mut config = config();
        config.apply_all(&changes(r#"[{"close-account": "norte"}]"#)).unwrap();
        assert_eq!(authorize(&config, Some(1), "crew"), Err(AccessError::KeyInvalid));
        let reopened = config.apply_all(&changes(r#"[{"put-account": {"name": "norte"}}]"#));
        assert_matches!(reopened, Err(ChangeError::AccountClosed(_)));
        let rebuilt = Config::import(config.revision(), &config.export()).unwrap();
        assert_eq!(rebuilt.export(), config.export());
    };
    import_of_export_rebuilds_the_configuration: {
        let config = config();
        let rebuilt = Config::import(config.revision(), &config.export()).unwrap();
        assert_eq!(rebuilt.export(), config.export());
    };
    zone_in_use_cannot_be_dropped: assert_matches!(rejected(r#"[{"drop-zone": "quito-norte"}]"#), ChangeError::InUse(..));
    class_in_use_cannot_be_dropped: assert_matches!(rejected(r#"[{"drop-class": "office"}]"#), ChangeError::InUse(..));
    route_in_use_cannot_be_dropped: assert_matches!(rejected(r#"[{"drop-route": "crew"}]"#), ChangeError::InUse(..));
    second_route_for_a_model_is_rejected: assert_matches!(
        rejected(r#"[{"put-route": {"name": "b", "serves": {"model": "crew-assistant"}, "class": "field"}}]"#),
        ChangeError::RouteTaken(..)
    );
    proposal_with_one_invalid_change_changes_nothing: assert_matches!(
        rejected(r#"[{"put-account": {"name": "x"}}, {"drop-endpoint": "nope"}]"#),
        ChangeError::Missing(..)
    );
    reserves_above_100_percent_are_rejected: assert_matches!(
        rejected(r#"[{"put-class": {"name": "a", "tier": 3, "first_ms": 1, "gap_ms": 1, "reserve": 60}},
            {"put-class": {"name": "b", "tier": 3, "first_ms": 1, "gap_ms": 1, "reserve": 60}}]"#),
        ChangeError::ReserveExceeded(120)
    );
    caller_can_lower_but_not_raise_its_class: {
        let config = config();
        let [field, office] = ["field", "office"].map(|n| config.find_class(&n.try_into().unwrap()).unwrap());
        assert_eq!(config.lower_class(field, &"office".try_into().unwrap()), office);
        assert_eq!(config.lower_class(office, &"field".try_into().unwrap()), office);
    };
    concurrent_proposals_conflict: {
        let mut registry = registry();
        assert_eq!(registry.decide(&proposal("a", 1, ADD_ACCOUNT)), Verdict::Accepted(Revision(2)));
        let second = registry.decide(&proposal("b", 1, ADD_OTHER_ACCOUNT));
        assert_matches!(second, Verdict::Conflict { current: Revision(2), since } if since.len() == 1
            && since[0].changes == changes(ADD_ACCOUNT));
    };
    retry_after_restore_gets_the_first_verdict: {
        let mut registry = registry();
        let first = registry.decide(&proposal("a", 1, ADD_ACCOUNT));
        registry.decide(&proposal("b", 2, ADD_OTHER_ACCOUNT));
        let mut restored = Registry::try_from(registry.export()).unwrap();
        assert_eq!(restored.decide(&proposal("a", 1, ADD_ACCOUNT)), first);
        assert_eq!(restored.config().revision(), Revision(3));
    };
    name_reused_for_different_content_is_rejected: {
        let mut registry = registry();
        registry.decide(&proposal("a", 1, ADD_ACCOUNT));
        assert_matches!(registry.decide(&proposal("a", 1, ADD_OTHER_ACCOUNT)), Verdict::NameReused(_));
    };
    replica_applies_delta_and_rejects_older_update: {
        let mut registry = registry();
        let mut replica = Config::default();
        let old = registry.update_since(Revision(0));
        replica.apply_update(&old).unwrap();
        registry.decide(&proposal("a", 1, ADD_ACCOUNT));
        let update = registry.update_since(replica.revision());
        assert_matches!(&update.content, Content::Delta(d) if d.len() == 1);
        assert_eq!(replica.apply_update(&update), Ok(true));
        assert_eq!(replica.export(), registry.config().export());
        assert!(replica.apply_update(&old).is_err());
        assert_eq!(replica.revision(), Revision(2));
    };
    replica_behind_the_history_gets_a_full_update: {
        let mut registry = registry();
        for i in 1..=1100 {
            let json = format!(r#"[{{"put-account": {{"name": "a{i}"}}}}]"#);
            registry.decide(&proposal(&format!("p{i}"), i, &json));
        }
        let update = registry.update_since(Revision(1));
        assert_matches!(&update.content, Content::Full(_));
        let mut replica = Config::default();
        assert_eq!(replica.apply_update(&update), Ok(true));
        assert_eq!(replica.revision(), Revision(1101));
    };
}
