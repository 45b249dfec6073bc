//! A control host keeps all acknowledged changes when its process is killed.

use std::fs;
use std::path::Path;

use conf::{
    AccountSpec,
    Change, //
};
use control::{
    InitMode,
    Settings, //
};
use edge::{
    Limits,
    reserve_address, //
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
            listen: reserve_address().unwrap(),
            limits: Limits::default(),
            format: LogFormat::Terminal,
            statsd: None,
        },
        advertise: None,
        data_dir: Some(data.to_owned()),
        operators: vec![Operator {
            name: "ana".try_into().unwrap(),
            digest: DigestKey::derive(SECRET).digest(key),
        }],
        platform: None,
        usage_window: std::time::Duration::from_secs(60),
        bounds: Default::default(),
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

/// Copies the data directory while the host runs. The copy has the state that a host reads when it
/// starts after a kill.
fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

fn keeps_changes_after_kill(changes: u64) {
    let key = Secret::generate();
    let dir = TempDir::new().unwrap();
    let live = settings(&dir.path().join("live"), &key);
    control::init(&live, InitMode::Bootstrap).unwrap();
    let host = start(&live);
    let ops = OperatorClient::new(vec![live.common.listen], key.clone());
    for n in 0..changes {
        assert_eq!(
            ops.propose(Revision(n), account(n)).unwrap(),
            Revision(n + 1)
        );
    }
    let restarted = settings(&dir.path().join("restarted"), &key);
    copy(&dir.path().join("live"), &dir.path().join("restarted"));
    let before = ops.config().unwrap();
    host.close();
    let host = start(&restarted);
    let ops = OperatorClient::new(vec![restarted.common.listen], key);
    assert_eq!(ops.config().unwrap(), before);
    assert_eq!(
        ops.propose_on_latest(&account(changes)).unwrap(),
        Revision(changes + 1)
    );
    host.close();
}

fn fails_without_state() {
    let key = Secret::generate();
    let dir = TempDir::new().unwrap();
    let settings = settings(&dir.path().join("none"), &key);
    let error = control::run(&settings, obs::discard(), Counters::local())
        .err()
        .unwrap();
    assert!(
        error
            .to_string()
            .contains("holds no state; start a new group with --init"),
        "{error}"
    );
}

fn rejects_unknown_operator() {
    let key = Secret::generate();
    let dir = TempDir::new().unwrap();
    let settings = settings(&dir.path().join("live"), &key);
    control::init(&settings, InitMode::Bootstrap).unwrap();
    let host = start(&settings);
    let unknown = OperatorClient::new(vec![settings.common.listen], Secret::generate());
    let error = unknown.config().unwrap_err();
    assert_eq!(error.to_string(), "the operator key is not valid");
    host.close();
}

case::cases! {
    changes_survive_kill_after_300_changes: keeps_changes_after_kill(300);
    start_without_state_names_the_options: fails_without_state();
    unknown_operator_is_rejected: rejects_unknown_operator();
}
