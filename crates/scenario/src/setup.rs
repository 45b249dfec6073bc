//! The nodes and the first configuration of a simulation, and conversions between types of the
//! cores.

use std::net::SocketAddr;

use agree::{
    Member,
    MemberId,
    Stage, //
};
use conf::{
    Change,
    Verdict, //
};
use fault::Kind;
use ids::{
    Digest,
    Incarnation, //
};
use ledger::Claimed;
use route::{
    ClaimResult,
    Entry,
    LoadReport,
    PowerOfTwo, //
};

/// Port of the first agent. Ports only identify agents; the simulation opens no sockets.
pub(crate) const BASE_PORT: u16 = 9000;

pub(crate) fn new_entry(n: usize) -> Result<Entry<PowerOfTwo>, String> {
    let options = route::EntryOptions {
        incarnation: Incarnation(n as u64 + 1),
        zone: "zone-0"
            .try_into()
            .map_err(|error: ids::NameError| error.to_string())?,
        rng_seed: n as u64,
    };
    Ok(Entry::new(options, PowerOfTwo))
}

pub(crate) fn member(n: usize) -> Result<Member, String> {
    Ok(Member {
        id: MemberId(n as u64 + 1),
        host: format!("c{n}")
            .as_str()
            .try_into()
            .map_err(|error: ids::NameError| error.to_string())?,
        address: address(n),
        stage: Stage::Voter,
    })
}

pub(crate) fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

/// A digest of a short text. Not cryptographic, and distinct for the texts of the scenarios.
pub(crate) fn digest(text: &str) -> Digest {
    let mut bytes = [0; 32];
    for (i, byte) in text.bytes().enumerate() {
        bytes[i % 32] ^= byte.rotate_left(i as u32 / 32);
    }
    Digest(bytes)
}

pub(crate) fn first_configuration(agents: usize) -> Result<Vec<Change>, String> {
    use serde_json::json;
    let zones =
        (0..2).map(|n| json!({"put-zone": {"name": format!("zone-{n}"), "region": "home"}}));
    let fixed = [
        json!({"put-class": {"name": "field", "tier": 0, "first_ms": 650, "gap_ms": 66}}),
        json!({"put-account": {"name": "norte"}}),
        json!({"put-account": {"name": "sur"}}),
        json!({"put-route": {"name": "crew", "class": "field", "serves": {"model": "crew"}}}),
        json!({"put-route": {"name": "permits", "class": "field",
            "serves": {"service": {"prefix": "/permits"}}}}),
        json!({"put-grant": {"name": "k-norte", "account": "norte", "digest": digest("k-norte")}}),
        json!({"put-grant": {"name": "k-sur", "account": "sur", "digest": digest("k-sur")}}),
    ];
    let endpoints = (0..agents).map(|n| {
        json!({"put-endpoint": {"name": format!("agent-{n}"), "zone": format!("zone-{}", n % 2),
            "routes": ["crew", "permits"], "slots": 4,
            "agent": format!("127.0.0.1:{}", BASE_PORT + n as u16)}})
    });
    let rows = zones.chain(fixed).chain(endpoints);
    rows.map(|row| serde_json::from_value(row).map_err(|error| error.to_string()))
        .collect()
}

pub(crate) fn load_report(load: admit::Load) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        busy: load.busy,
        limit: load.limit,
    }
}

pub(crate) fn claim_result(claimed: Claimed) -> ClaimResult {
    match claimed {
        Claimed::Granted => ClaimResult::Granted,
        Claimed::Running => ClaimResult::Rejected(Kind::ClaimRunning),
        Claimed::Answered(response) => ClaimResult::Completed(response),
        Claimed::Unknown => ClaimResult::Rejected(Kind::ClaimUnknown),
        Claimed::Conflict => ClaimResult::Rejected(Kind::ClaimConflict),
    }
}

pub(crate) fn verdict_text(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted(revision) => format!("accepted as revision {revision}"),
        Verdict::Conflict { current, since } => {
            let changes = since.iter().flat_map(|accepted| &accepted.changes);
            let changes: Vec<_> = changes.map(ToString::to_string).collect();
            format!("conflict, revision {current} has {}", changes.join(", "))
        }
        Verdict::Invalid(error) => format!("invalid: {error}"),
        Verdict::NameReused(_) => "name reused".to_owned(),
    }
}
