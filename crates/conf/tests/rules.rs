//! The configuration's rules, through its public face.

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

const SHEET: &str = r#"[
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
    config.apply_all(&changes(SHEET)).unwrap();
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

fn refused(json: &str) -> ChangeError {
    let mut config = config();
    let before = config.export();
    let fault = config.apply_all(&changes(json)).unwrap_err();
    assert_eq!(config.export(), before);
    fault
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
    let first = proposal("p0", 0, SHEET);
    assert_eq!(registry.decide(&first), Verdict::Accepted(Revision(1)));
    registry
}

const ADD: &str = r#"[{"put-account": {"name": "valle"}}]"#;
const ADD_OTHER: &str = r#"[{"put-account": {"name": "costa"}}]"#;

case::cases! {
    key_runs_for_its_account: assert_eq!(authorize(&config(), Some(1), "crew"), Ok("norte".into()));
    no_key_on_a_keyed_route: assert_eq!(authorize(&config(), None, "crew"), Err(AccessError::KeyMissing));
    unknown_key: assert_eq!(authorize(&config(), Some(9), "crew"), Err(AccessError::KeyInvalid));
    unknown_key_on_an_open_route: assert_eq!(authorize(&config(), Some(9), "maps"), Err(AccessError::KeyInvalid));
    no_key_on_an_open_route: assert_eq!(authorize(&config(), None, "maps"), Ok("sur".into()));
    key_on_an_open_route: assert_eq!(authorize(&config(), Some(1), "maps"), Ok("norte".into()));
    account_outside_the_list: assert_eq!(authorize(&config(), Some(2), "valves"), Err(AccessError::Forbidden));
    withdrawn_key: {
        let mut config = config();
        config.apply_all(&changes(r#"[{"withdraw-grant": "k-norte"}]"#)).unwrap();
        assert_eq!(authorize(&config, Some(1), "crew"), Err(AccessError::KeyInvalid));
        let back = config.apply_all(&[grant("k-norte", "norte", 1)]);
        assert_matches!(back, Err(ChangeError::GrantExists(_)));
        let other_name = config.apply_all(&[grant("k-new", "norte", 1)]);
        assert_matches!(other_name, Err(ChangeError::DigestTaken(_)));
    };
    closed_account: {
        let mut config = config();
        config.apply_all(&changes(r#"[{"close-account": "norte"}]"#)).unwrap();
        assert_eq!(authorize(&config, Some(1), "crew"), Err(AccessError::KeyInvalid));
        let back = config.apply_all(&changes(r#"[{"put-account": {"name": "norte"}}]"#));
        assert_matches!(back, Err(ChangeError::AccountClosed(_)));
        let rebuilt = Config::import(config.revision(), &config.export()).unwrap();
        assert_eq!(rebuilt.export(), config.export());
    };
    export_rebuilds: {
        let config = config();
        let rebuilt = Config::import(config.revision(), &config.export()).unwrap();
        assert_eq!(rebuilt.export(), config.export());
    };
    used_zone_stays: assert_matches!(refused(r#"[{"drop-zone": "quito-norte"}]"#), ChangeError::InUse(..));
    used_class_stays: assert_matches!(refused(r#"[{"drop-class": "office"}]"#), ChangeError::InUse(..));
    used_route_stays: assert_matches!(refused(r#"[{"drop-route": "crew"}]"#), ChangeError::InUse(..));
    second_route_for_a_model: assert_matches!(
        refused(r#"[{"put-route": {"name": "b", "serves": {"model": "crew-assistant"}, "class": "field"}}]"#),
        ChangeError::RouteTaken(..)
    );
    half_a_proposal_changes_nothing: assert_matches!(
        refused(r#"[{"put-account": {"name": "x"}}, {"drop-endpoint": "nope"}]"#),
        ChangeError::Missing(..)
    );
    reserves_above_the_whole: assert_matches!(
        refused(r#"[{"put-class": {"name": "a", "tier": 3, "first_ms": 1, "gap_ms": 1, "reserve": 60}},
            {"put-class": {"name": "b", "tier": 3, "first_ms": 1, "gap_ms": 1, "reserve": 60}}]"#),
        ChangeError::ReserveExceeded(120)
    );
    caller_lowers_its_class: {
        let config = config();
        let [field, office] = ["field", "office"].map(|n| config.find_class(&n.try_into().unwrap()).unwrap());
        assert_eq!(config.lower_class(field, &"office".try_into().unwrap()), office);
        assert_eq!(config.lower_class(office, &"field".try_into().unwrap()), office);
    };
    racing_operators: {
        let mut registry = registry();
        assert_eq!(registry.decide(&proposal("a", 1, ADD)), Verdict::Accepted(Revision(2)));
        let lost = registry.decide(&proposal("b", 1, ADD_OTHER));
        assert_matches!(lost, Verdict::Conflict { current: Revision(2), since } if since.len() == 1
            && since[0].changes == changes(ADD));
    };
    resend_gets_the_first_answer: {
        let mut registry = registry();
        let first = registry.decide(&proposal("a", 1, ADD));
        registry.decide(&proposal("b", 2, ADD_OTHER));
        let mut restored = Registry::try_from(registry.export()).unwrap();
        assert_eq!(restored.decide(&proposal("a", 1, ADD)), first);
        assert_eq!(restored.config().revision(), Revision(3));
    };
    name_used_for_other_content: {
        let mut registry = registry();
        registry.decide(&proposal("a", 1, ADD));
        assert_matches!(registry.decide(&proposal("a", 1, ADD_OTHER)), Verdict::NameReused(_));
    };
    follower_takes_delta_then_refuses_to_go_back: {
        let mut registry = registry();
        let mut view = Config::default();
        let old = registry.update_since(Revision(0));
        view.apply_update(&old).unwrap();
        registry.decide(&proposal("a", 1, ADD));
        let update = registry.update_since(view.revision());
        assert_matches!(&update.content, Content::Delta(d) if d.len() == 1);
        assert_eq!(view.apply_update(&update), Ok(true));
        assert_eq!(view.export(), registry.config().export());
        assert!(view.apply_update(&old).is_err());
        assert_eq!(view.revision(), Revision(2));
    };
    far_behind_gets_everything: {
        let mut registry = registry();
        for i in 1..=1100 {
            let json = format!(r#"[{{"put-account": {{"name": "a{i}"}}}}]"#);
            registry.decide(&proposal(&format!("p{i}"), i, &json));
        }
        let update = registry.update_since(Revision(1));
        assert_matches!(&update.content, Content::Full(_));
        let mut view = Config::default();
        assert_eq!(view.apply_update(&update), Ok(true));
        assert_eq!(view.revision(), Revision(1101));
    };
}
