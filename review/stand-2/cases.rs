//! The cases.

use std::path::Path;

mod config;
mod cut_entry;
mod deadly;
mod foreign;
mod leavers;
mod uploads;

/// Runs a case. Returns whether the rule was broken.
pub fn run(case: &str, folder: &Path, trouble: bool) -> Result<bool, String> {
    match case {
        "config" => config::run(folder, trouble),
        "cut-entry" => cut_entry::run(folder, trouble),
        "leavers" => leavers::run(folder, trouble),
        "deadly" => deadly::run(folder, trouble),
        "foreign" => foreign::run(folder, trouble),
        "uploads" => uploads::run(folder, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

/// A configuration with the routes `/safe/`, `/once/`, `/history/` and `/note/` of the host `h.example`. The
/// first two go to the service `records`, like `asset-lookup` and `shutoff-booking` of `hidrovigia-fugas`;
/// the others to the service `models`, like `pipe-history` and `repair-note`.
pub fn configuration(version: u64) -> String {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 (timeout, aim): (u32, u32),
                 priority: u8,
                 more: &str| {
        format!(
            r#"{{"Name":"r-{name}","Host":"h.example","PathPrefix":"/{name}/","Kind":"{kind}","TimeoutMs":{timeout},"TargetLatencyMs":{aim},"Priority":{priority},"Service":"{service}","Public":false,{more}}}"#
        )
    };
    let routes = [
        route(
            "safe",
            "safe",
            "records",
            (1000, 150),
            1,
            r#""MaxAttempts":2"#,
        ),
        route(
            "once",
            "unsafe",
            "records",
            (1000, 150),
            1,
            r#""MaxAttempts":1"#,
        ),
        route(
            "history",
            "stream",
            "models",
            (4000, 1200),
            2,
            r#""MaxAttempts":1,"Sticky":true,"Resumable":false,"GapAimMs":1000"#,
        ),
        route(
            "note",
            "stream",
            "models",
            (10_000, 300),
            0,
            r#""MaxAttempts":2,"Sticky":true,"Resumable":true,"GapAimMs":250"#,
        ),
    ];
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{{"Name":"records","HealthPath":"/health","MaxConnections":130,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}},{{"Name":"models","HealthPath":"/health","MaxConnections":390,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"Engine":{{"Slots":64,"KvCapacity":327499}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"ana","ApiKeys":["key-ana"]}}]}}"#,
        routes.join(",")
    )
}

/// The head of a client's request without the fields of its body.
pub fn head(method: &str, path: &str, attempt: &str, deadline_ms: u32) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Bergamothinge-Attempt-Id: {attempt}\r\n\
         X-Bergamothinge-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-ana\r\n"
    )
}
