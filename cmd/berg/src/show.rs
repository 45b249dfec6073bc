//! Prints results as tables, or as JSON with `--json`.

use agree::Stage;
use conf::Change;
use ids::Revision;
use serde::Serialize;
use wire::{
    ConfigResponse,
    KeyResponse,
    StatusResponse,
    UsageResponse, //
};

fn json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("berg: the result cannot be encoded as JSON: {error}"),
    }
}

pub(crate) fn revision(revision: Revision, as_json: bool) {
    if as_json {
        json(&serde_json::json!({"revision": revision}));
    } else {
        println!("revision {revision}");
    }
}

pub(crate) fn key(response: &KeyResponse, as_json: bool) {
    if as_json {
        json(response);
    } else {
        println!(
            "name {}\nkey {}\nrevision {}",
            response.name, response.key, response.revision
        );
    }
}

pub(crate) fn changes(changes: &[Change], as_json: bool) {
    if as_json {
        json(&changes);
    } else {
        changes.iter().for_each(|change| println!("{change}"));
    }
}

pub(crate) fn config(response: &ConfigResponse, as_json: bool) {
    if as_json {
        json(response);
    } else {
        println!("revision {}", response.revision);
        changes(&response.changes, false);
    }
}

/// Prints the records of one kind, one per line.
pub(crate) fn list(kind: &str, response: &ConfigResponse, as_json: bool) {
    let of_kind = response
        .changes
        .iter()
        .filter(|change| change.subject().0 == kind);
    let rows: Vec<_> = of_kind.cloned().collect();
    if as_json {
        return json(&rows);
    }
    for change in &rows {
        let fields = match serde_json::to_value(change) {
            Ok(serde_json::Value::Object(map)) => map.into_values().next().unwrap_or_default(),
            _ => continue,
        };
        match (change, fields.as_object()) {
            (Change::WithdrawGrant(name), _) => println!("{name} withdrawn"),
            (Change::CloseAccount(name), _) => println!("{name} closed"),
            (_, Some(fields)) => println!("{}", row(fields)),
            (_, None) => {}
        }
    }
}

/// Formats a record as its name and its other fields.
fn row(fields: &serde_json::Map<String, serde_json::Value>) -> String {
    let text = |value: &serde_json::Value| match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let name = fields.get("name").map(text).unwrap_or_default();
    let other_fields = fields.iter().filter(|(field, _)| *field != "name");
    other_fields.fold(format!("{name:<20}"), |line, (field, value)| {
        format!("{line} {field}={}", text(value))
    })
}

pub(crate) fn status(hosts: &[StatusResponse], as_json: bool) {
    if as_json {
        return json(&hosts);
    }
    for host in hosts {
        let leads = host
            .members
            .iter()
            .any(|member| member.leads && member.host == host.host);
        println!(
            "{:<20} term {} revision {} log {} claims {}{}",
            host.host,
            host.term,
            host.revision,
            host.log,
            host.claims,
            if leads { " leader" } else { "" }
        );
    }
    let subscribers = hosts.iter().flat_map(|host| &host.viewers);
    for subscriber in subscribers.filter(|subscriber| subscriber.fresh_ms > 0) {
        println!(
            "  {:<18} {:<6} revision {} good for {} ms",
            subscriber.host,
            format!("{:?}", subscriber.kind).to_lowercase(),
            subscriber.revision,
            subscriber.fresh_ms
        );
    }
}

pub(crate) fn members(hosts: &[StatusResponse], as_json: bool) {
    let newest = hosts.iter().max_by_key(|host| (host.term, host.revision));
    let Some(newest) = newest else {
        return;
    };
    if as_json {
        return json(&newest.members);
    }
    for member in &newest.members {
        let stage = match member.stage {
            Stage::Learner => "learner",
            Stage::Voter => "voter",
        };
        let leads = if member.leads { " leader" } else { "" };
        println!(
            "{:<20} {} {} {stage}{leads}",
            member.host, member.id, member.address
        );
    }
}

pub(crate) fn usage(response: &UsageResponse, as_json: bool) {
    if as_json {
        return json(response);
    }
    for window in &response.windows {
        let end = window.end.map_or("now".to_owned(), |end| end.to_string());
        println!("window {} until {end} {}", window.number, window.state);
        for line in &window.lines {
            println!(
                "  {:<18} {:<12} runs {} input {} output {}",
                line.account, line.class, line.runs, line.input, line.output
            );
        }
    }
}
