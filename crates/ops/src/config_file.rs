//! A whole configuration in a file, and what separates it from the one in force.

use std::fmt;

use conf::{
    AccountSpec,
    Change,
    ClassSpec,
    Config,
    EndpointSpec,
    RouteSpec,
    ZoneSpec, //
};
use ids::Revision;
use serde::Deserialize;

/// Why a plan cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigFileError {
    /// The text is not a plan.
    Malformed(String),
    /// The configuration in force was not understood.
    InvalidConfig(String),
}

impl fmt::Display for ConfigFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(fault) => write!(f, "not a configuration: {fault}"),
            Self::InvalidConfig(fault) => write!(f, "the configuration in force: {fault}"),
        }
    }
}

impl std::error::Error for ConfigFileError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    zone: Vec<ZoneSpec>,
    #[serde(default)]
    class: Vec<ClassSpec>,
    #[serde(default)]
    account: Vec<AccountSpec>,
    #[serde(default)]
    route: Vec<RouteSpec>,
    #[serde(default)]
    endpoint: Vec<EndpointSpec>,
}

/// Reads a plan: everything but the keys, which have no place in a file.
///
/// # Errors
///
/// [`ConfigFileError::Malformed`], with the place.
pub fn parse_config_file(text: &str) -> Result<Vec<Change>, ConfigFileError> {
    let raw: Raw = toml::from_str(text).map_err(|f| ConfigFileError::Malformed(f.to_string()))?;
    let mut changes = Vec::new();
    changes.extend(raw.zone.into_iter().map(Change::PutZone));
    changes.extend(raw.class.into_iter().map(Change::PutClass));
    changes.extend(raw.account.into_iter().map(Change::PutAccount));
    changes.extend(raw.route.into_iter().map(Change::PutRoute));
    changes.extend(raw.endpoint.into_iter().map(Change::PutEndpoint));
    Ok(changes)
}

/// The changes that lead from the configuration in force to a plan. What the plan does not name
/// is removed, accounts are closed; keys of accounts that stay are left alone.
///
/// # Errors
///
/// [`ConfigFileError::InvalidConfig`] if the configuration in force does not build.
pub fn diff(
    revision: Revision,
    current: &[Change],
    plan: &[Change],
) -> Result<Vec<Change>, ConfigFileError> {
    let config = Config::import(revision, current)
        .map_err(|f| ConfigFileError::InvalidConfig(f.to_string()))?;
    let named = |kind: &str, name: &str| plan.iter().any(|change| change.subject() == (kind, name));
    let mut changes = Vec::new();
    // Endpoints go before what they refer to, and nothing that stays refers to what goes.
    for (_, endpoint) in config.endpoints() {
        if !named("endpoint", endpoint.spec.name.as_ref()) {
            changes.push(Change::DropEndpoint(endpoint.spec.name.clone()));
        }
    }
    changes.extend(
        plan.iter()
            .filter(|change| !current.contains(change))
            .cloned(),
    );
    for (_, route) in config.routes() {
        if !named("route", route.spec.name.as_ref()) {
            changes.push(Change::DropRoute(route.spec.name.clone()));
        }
    }
    for account in config.accounts().filter(|account| account.open) {
        if !named("account", account.spec.name.as_ref()) {
            changes.push(Change::CloseAccount(account.spec.name.clone()));
        }
    }
    for (_, class) in config.classes() {
        if !named("class", class.spec.name.as_ref()) {
            changes.push(Change::DropClass(class.spec.name.clone()));
        }
    }
    for zone in config.zones() {
        if !named("zone", zone.spec.name.as_ref()) {
            changes.push(Change::DropZone(zone.spec.name.clone()));
        }
    }
    Ok(changes)
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    const PLAN: &str = r#"
        [[zone]]
        name = "eire-a"
        region = "eire"
        [[class]]
        name = "sketch"
        tier = 1
        first_ms = 650
        gap_ms = 66
        [[account]]
        name = "galway"
        [[route]]
        name = "pool"
        class = "sketch"
        serves = { model = "model-pool" }
        [[endpoint]]
        name = "e1"
        zone = "eire-a"
        routes = ["pool"]
        agent = "127.0.0.1:9000"
        slots = 4
    "#;

    fn built(text: &str) -> Config {
        let mut config = Config::default();
        config.apply_all(&parse_config_file(text).unwrap()).unwrap();
        config
    }

    fn apply(from: &str, to: &str) -> Vec<Change> {
        let mut config = built(from);
        let changes = diff(
            config.revision(),
            &config.export(),
            &parse_config_file(to).unwrap(),
        )
        .unwrap();
        config.apply_all(&changes).unwrap();
        assert!(
            diff(
                config.revision(),
                &config.export(),
                &parse_config_file(to).unwrap()
            )
            .unwrap()
            .is_empty()
        );
        changes
    }

    case::cases! {
        same_plan_changes_nothing: assert_eq!(apply(PLAN, PLAN), []);
        other_value: assert_matches!(
            apply(PLAN, &PLAN.replace("slots = 4", "slots = 8")).as_slice(),
            [Change::PutEndpoint(e)] if e.slots == 8
        );
        everything_goes: assert_eq!(apply(PLAN, "").len(), 5);
        unknown_field: assert_matches!(parse_config_file("[[zone]]\ncolour = 1"), Err(ConfigFileError::Malformed(_)));
        unknown_table: assert_matches!(parse_config_file("[[colour]]"), Err(ConfigFileError::Malformed(_)));
    }
}
