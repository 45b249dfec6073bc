//! Parses a configuration file and computes the changes that make the current configuration equal
//! to it.

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

/// Why no changes can be computed from a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigFileError {
    /// The text is not a valid configuration file.
    Malformed(String),
    /// The current configuration is invalid.
    InvalidConfig(String),
}

impl fmt::Display for ConfigFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "invalid configuration file: {error}"),
            Self::InvalidConfig(error) => {
                write!(f, "the current configuration is invalid: {error}")
            }
        }
    }
}

impl std::error::Error for ConfigFileError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigFile {
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

/// Parses a configuration file into the changes that create its records. A file contains every kind
/// of record but keys, which are secrets and are created by their own command.
///
/// # Errors
///
/// [`ConfigFileError::Malformed`] with the position in the text.
pub fn parse_config_file(text: &str) -> Result<Vec<Change>, ConfigFileError> {
    let file: ConfigFile =
        toml::from_str(text).map_err(|error| ConfigFileError::Malformed(error.to_string()))?;
    let mut changes = Vec::new();
    changes.extend(file.zone.into_iter().map(Change::PutZone));
    changes.extend(file.class.into_iter().map(Change::PutClass));
    changes.extend(file.account.into_iter().map(Change::PutAccount));
    changes.extend(file.route.into_iter().map(Change::PutRoute));
    changes.extend(file.endpoint.into_iter().map(Change::PutEndpoint));
    Ok(changes)
}

/// Returns the changes that lead from the current configuration to the target. Records that the
/// target does not contain are removed, and accounts are closed. Keys of remaining accounts are not
/// changed.
///
/// # Errors
///
/// [`ConfigFileError::InvalidConfig`] if the current configuration is invalid.
pub fn diff(
    revision: Revision,
    current: &[Change],
    target: &[Change],
) -> Result<Vec<Change>, ConfigFileError> {
    let config = Config::import(revision, current)
        .map_err(|error| ConfigFileError::InvalidConfig(error.to_string()))?;
    let in_target =
        |kind: &str, name: &str| target.iter().any(|change| change.subject() == (kind, name));
    let mut changes = Vec::new();
    // Each change has to leave the configuration valid. Endpoints are removed first, because they
    // refer to zones and routes; other records are removed after the remaining records are updated
    // and no longer refer to them.
    for (_, endpoint) in config.endpoints() {
        if !in_target("endpoint", endpoint.spec.name.as_ref()) {
            changes.push(Change::DropEndpoint(endpoint.spec.name.clone()));
        }
    }
    changes.extend(
        target
            .iter()
            .filter(|change| !current.contains(change))
            .cloned(),
    );
    for (_, route) in config.routes() {
        if !in_target("route", route.spec.name.as_ref()) {
            changes.push(Change::DropRoute(route.spec.name.clone()));
        }
    }
    for account in config.accounts().filter(|account| account.open) {
        if !in_target("account", account.spec.name.as_ref()) {
            changes.push(Change::CloseAccount(account.spec.name.clone()));
        }
    }
    for (_, class) in config.classes() {
        if !in_target("class", class.spec.name.as_ref()) {
            changes.push(Change::DropClass(class.spec.name.clone()));
        }
    }
    for zone in config.zones() {
        if !in_target("zone", zone.spec.name.as_ref()) {
            changes.push(Change::DropZone(zone.spec.name.clone()));
        }
    }
    Ok(changes)
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    const FILE: &str = r#"
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

    fn config_from(text: &str) -> Config {
        let mut config = Config::default();
        config.apply_all(&parse_config_file(text).unwrap()).unwrap();
        config
    }

    /// Applies the changes between two files, and checks that no difference remains.
    fn apply(from: &str, to: &str) -> Vec<Change> {
        let mut config = config_from(from);
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
        same_file_produces_no_changes: assert_eq!(apply(FILE, FILE), []);
        changed_value_updates_the_record: assert_matches!(
            apply(FILE, &FILE.replace("slots = 4", "slots = 8")).as_slice(),
            [Change::PutEndpoint(e)] if e.slots == 8
        );
        records_missing_from_the_file_are_removed: assert_eq!(apply(FILE, "").len(), 5);
        unknown_field_is_rejected: assert_matches!(parse_config_file("[[zone]]\ncolour = 1"), Err(ConfigFileError::Malformed(_)));
        unknown_table_is_rejected: assert_matches!(parse_config_file("[[colour]]"), Err(ConfigFileError::Malformed(_)));
    }
}
