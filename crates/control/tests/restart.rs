//! What a control host has acknowledged is there after it died without warning.

use std::fs;
use std::path::Path;

use conf::{
    AccountSpec,
    Change, //
};
use control::{
    Settings,
    Start, //
};
use edge::{
    Limits,
    reserve, //
};
use ids::{
    DigestKey,
    Revision,
    Secret, //
};
use obs::{
    Counters,
    LogFormat, //
};
use ops::OperatorClient;
use setting::Common;
use tempfile::TempDir;
use wire::Operator;

const SECRET: &str = "a secret of enough bytes";

fn settings(data: &Path, key: &Secret) -> Settings {
    Settings {
        common: Common {
            host: "control-0".try_into().unwrap(),
            cluster: "test".try_into().unwrap(),
            secret: SECRET.to_owned(),
            listen: reserve().unwrap(),
            limits: Limits::default(),
            format: LogFormat::Terminal,
            statsd: None,
        },
        advertise: None,
        data: data.to_owned(),
        operators: vec![Operator {
            name: "ana".try_into().unwrap(),
            digest: DigestKey::derive(SECRET).digest(key),
        }],
        platform: None,
        window: std::time::Duration::from_secs(60),
        plan: None,
    }
}

fn start(settings: &Settings) -> control::Handle {
    control::run(settings, obs::discard(), Counters::local()).unwrap()
}

fn account(n: u64) -> Vec<Change> {
    vec![Change::PutAccount(AccountSpec {
        name: format!("a{n}").as_str().try_into().unwrap(),
        weight: 1,
    })]
}

/// Copies the data folder as it is while the host runs: what a killed host would find.
fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

fn killed_after(changes: u64) {
    let key = Secret::generate();
    let folder = TempDir::new().unwrap();
    let live = settings(&folder.path().join("live"), &key);
    control::init(&live, Start::Group).unwrap();
    let host = start(&live);
    let ops = OperatorClient::new(vec![live.common.listen], key.clone());
    for n in 0..changes {
        assert_eq!(
            ops.propose(Revision(n), account(n)).unwrap(),
            Revision(n + 1)
        );
    }
    let dead = settings(&folder.path().join("dead"), &key);
    copy(&live.data, &dead.data);
    let before = ops.config().unwrap();
    host.close();
    let host = start(&dead);
    let ops = OperatorClient::new(vec![dead.common.listen], key);
    assert_eq!(ops.config().unwrap(), before);
    assert_eq!(
        ops.propose_on_latest(&account(changes)).unwrap(),
        Revision(changes + 1)
    );
    host.close();
}

fn starts_without_state() {
    let key = Secret::generate();
    let folder = TempDir::new().unwrap();
    let settings = settings(&folder.path().join("none"), &key);
    let fault = control::run(&settings, obs::discard(), Counters::local())
        .err()
        .unwrap();
    assert!(
        fault
            .to_string()
            .contains("holds no state; start a new group with --init"),
        "{fault}"
    );
}

fn stranger_is_refused() {
    let key = Secret::generate();
    let folder = TempDir::new().unwrap();
    let settings = settings(&folder.path().join("live"), &key);
    control::init(&settings, Start::Group).unwrap();
    let host = start(&settings);
    let stranger = OperatorClient::new(vec![settings.common.listen], Secret::generate());
    let fault = stranger.config().unwrap_err();
    assert_eq!(fault.to_string(), "the operator key is not valid");
    host.close();
}

case::cases! {
    killed_after_300_changes: killed_after(300);
    no_state_is_a_clear_refusal: starts_without_state();
    unknown_operator_is_refused: stranger_is_refused();
}
