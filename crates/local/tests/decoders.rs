//! Fuzz tests of all decoders: no input makes a decoder panic.
//!
//! `BERG_INPUTS` sets the number of inputs for each decoder; the seed is fixed.

use std::panic;

use conf::Update;
use proptest::prelude::*;
use proptest::test_runner::{
    Config,
    RngAlgorithm,
    TestRng,
    TestRunner, //
};
use wire::{
    Attempt,
    Envelope,
    Frame,
    ProposeRequest,
    ViewRequest,
    ViewResponse, //
};

/// Inputs for each decoder if `BERG_INPUTS` is not set.
const DEFAULT_INPUTS: u32 = 2000;

fn inputs() -> u32 {
    let configured = std::env::var("BERG_INPUTS")
        .ok()
        .and_then(|n| n.parse().ok());
    configured.unwrap_or(DEFAULT_INPUTS)
}

/// Valid samples with some bytes changed or the end cut off (4 of 5 inputs), and random bytes.
fn mutated(samples: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let change = (any::<prop::sample::Index>(), any::<u8>());
    let sample = prop::sample::select(samples);
    let mutation = (
        sample,
        prop::collection::vec(change, 0..6),
        any::<prop::sample::Index>(),
        any::<bool>(),
    );
    let mutation = mutation.prop_map(|(mut bytes, changes, cut, truncate)| {
        for (index, byte) in changes {
            if !bytes.is_empty() {
                let index = index.index(bytes.len());
                bytes[index] = byte;
            }
        }
        if truncate && !bytes.is_empty() {
            bytes.truncate(cut.index(bytes.len()));
        }
        bytes
    });
    prop_oneof![4 => mutation, 1 => prop::collection::vec(any::<u8>(), 0..200)]
}

/// Runs a decoder on generated inputs; fails if it panics.
fn fuzz(samples: Vec<Vec<u8>>, decode: impl Fn(&[u8])) {
    let config = Config {
        cases: inputs(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&mutated(samples), |bytes| {
        let result = panic::catch_unwind(panic::AssertUnwindSafe(|| decode(&bytes)));
        prop_assert!(result.is_ok(), "panicked");
        Ok(())
    });
    result.unwrap();
}

fn example(name: &str) -> Vec<u8> {
    let path = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read(path).unwrap()
}

fn changes() -> Vec<conf::Change> {
    ops::parse_config_file(std::str::from_utf8(&example("hidrovigia/plan.toml")).unwrap()).unwrap()
}

fn messages() {
    let update = Update {
        revision: ids::Revision(3),
        content: conf::Content::Full(changes()),
    };
    let frame = Frame::Data {
        offset: 3,
        bytes: vec![1, 2, 3],
    };
    let samples = vec![
        wire::encode(&update).unwrap(),
        wire::encode(&frame).unwrap(),
    ];
    fuzz(samples, |bytes| {
        let _ = wire::decode::<Update>(bytes);
        let _ = wire::decode::<Frame>(bytes);
        let _ = wire::decode::<Attempt>(bytes);
        let _ = wire::decode::<Envelope>(bytes);
        let _ = wire::decode::<ViewRequest>(bytes);
        let _ = wire::decode::<ViewResponse>(bytes);
        let _ = wire::read_frame(bytes);
    });
}

fn sealed() {
    let sealer = wire::Sealer::new("quito".try_into().unwrap(), "a secret of enough bytes");
    let sample = sealer.seal("/peer/view", &(1u8, "x")).unwrap();
    fuzz(vec![sample.clone()], |bytes| {
        let opened = sealer.open::<(u8, String)>("/peer/view", bytes);
        assert!(
            opened.is_err() || bytes == sample,
            "a changed message was accepted"
        );
    });
}

fn journal() {
    use store::StateDir;
    let dir = tempfile::TempDir::new().unwrap();
    let path = dir.path().join("state");
    StateDir::init(&path, 1, b"first").unwrap();
    let (mut state, _) = StateDir::open(&path).unwrap();
    state.append(b"second record").unwrap();
    state.append(b"third").unwrap();
    state.close();
    let file = path.join("journal-0");
    let sample = std::fs::read(&file).unwrap();
    // Each input is written to a file and synced, which is slow, so only one of 20 is used.
    let count = std::cell::Cell::new(0);
    fuzz(vec![sample], |bytes| {
        count.set(count.get() + 1);
        if count.get() % 20 != 0 {
            return;
        }
        std::fs::write(&file, bytes).unwrap();
        if let Ok((state, recovered)) = StateDir::open(&path) {
            let written: [&[u8]; 3] = [b"first", b"second record", b"third"];
            let prefix = recovered.records.iter().zip(written).all(|(a, b)| a == b);
            assert!(prefix, "a recovered record differs from the one written");
            state.close();
        }
    });
}

fn commands() {
    use govern::Codec;
    let command = govern::Command::SealWindow { number: 1, end: 2 };
    let state = govern::Machine::default().export();
    let samples = vec![
        wire::MessagePack.encode_command(&command).unwrap(),
        wire::MessagePack.encode_snapshot(&state).unwrap(),
    ];
    fuzz(samples, |bytes| {
        let _ = wire::MessagePack.decode_command(bytes);
        let _ = wire::MessagePack.decode_snapshot(bytes);
    });
}

fn config_files() {
    fuzz(
        vec![
            example("hidrovigia/plan.toml"),
            example("cruinneog/plan.toml"),
        ],
        |bytes| {
            let text = String::from_utf8_lossy(bytes);
            if let Ok(changes) = ops::parse_config_file(&text) {
                let _ = conf::Config::default().apply_all(&changes);
            }
        },
    );
}

fn sheets() {
    let mut config = conf::Config::default();
    config.apply_all(&changes()).unwrap();
    let sample = ops::export_sheet("hidrovigia", &config).into_bytes();
    fuzz(vec![sample], |bytes| {
        let text = String::from_utf8_lossy(bytes);
        if let Ok(sheet) = ops::Sheet::try_from(&*text) {
            let _ = sheet.changes(&config, true);
        }
    });
}

fn settings() {
    let dir = tempfile::TempDir::new().unwrap();
    let path = dir.path().join("x.toml");
    std::fs::write(dir.path().join("secret"), "a secret of enough bytes").unwrap();
    let samples =
        ["control-0", "entry-0", "agent-0"].map(|n| example(&format!("hidrovigia/{n}.toml")));
    fuzz(samples.to_vec(), |bytes| {
        std::fs::write(&path, bytes).unwrap();
        let _ = entry::Settings::try_from(path.as_path());
        let _ = agent::Settings::try_from(path.as_path());
        let _ = control::Settings::try_from(path.as_path());
    });
}

fn operator_bodies() {
    let propose = ProposeRequest {
        name: "p".try_into().unwrap(),
        base: ids::Revision(1),
        changes: changes(),
    };
    fuzz(vec![serde_json::to_vec(&propose).unwrap()], |bytes| {
        if let Ok(propose) = serde_json::from_slice::<ProposeRequest>(bytes) {
            let _ = conf::Config::default().apply_all(&propose.changes);
        }
    });
}

fn client_bodies() {
    let chat =
        br#"{"model":"crew","stream":true,"messages":[{"role":"user","content":"a\u0062"}]}"#;
    fuzz(vec![chat.to_vec()], entry::fuzz_model_body);
}

fn engine_events() {
    let events = b"data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n";
    fuzz(vec![events.to_vec()], agent::fuzz_event_stream);
}

case::cases! {
    messages_between_processes: messages();
    sealed_messages: sealed();
    journal_files: journal();
    commands_and_snapshots: commands();
    configuration_files: config_files();
    sheet_files: sheets();
    settings_files: settings();
    operator_request_bodies: operator_bodies();
    client_request_bodies: client_bodies();
    engine_stream_events: engine_events();
}
