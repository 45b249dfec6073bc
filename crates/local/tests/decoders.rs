//! Generated input for every decoder: whatever comes, the answer is a value or an error.
//!
//! `BERG_INPUTS` sets how many inputs each decoder gets; the seed is fixed.

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
    Frame,
    Mail,
    Propose,
    ViewAnswer,
    ViewAsk, //
};

/// Inputs for each decoder unless the environment says otherwise.
const DEFAULT_INPUTS: u32 = 2000;

fn inputs() -> u32 {
    let set = std::env::var("BERG_INPUTS")
        .ok()
        .and_then(|n| n.parse().ok());
    set.unwrap_or(DEFAULT_INPUTS)
}

/// Bytes that are a valid sample with some of them changed, cut or repeated, or mere noise.
fn mangled(samples: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let change = (any::<prop::sample::Index>(), any::<u8>());
    let sample = prop::sample::select(samples);
    let near = (
        sample,
        prop::collection::vec(change, 0..6),
        any::<prop::sample::Index>(),
        any::<bool>(),
    );
    let near = near.prop_map(|(mut bytes, changes, cut, cuts)| {
        for (at, byte) in changes {
            if !bytes.is_empty() {
                let at = at.index(bytes.len());
                bytes[at] = byte;
            }
        }
        if cuts && !bytes.is_empty() {
            bytes.truncate(cut.index(bytes.len()));
        }
        bytes
    });
    prop_oneof![4 => near, 1 => prop::collection::vec(any::<u8>(), 0..200)]
}

fn feed(samples: Vec<Vec<u8>>, decode: impl Fn(&[u8])) {
    let config = Config {
        cases: inputs(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&mangled(samples), |bytes| {
        let done = panic::catch_unwind(panic::AssertUnwindSafe(|| decode(&bytes)));
        prop_assert!(done.is_ok(), "panicked");
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
    feed(samples, |bytes| {
        let _ = wire::decode::<Update>(bytes);
        let _ = wire::decode::<Frame>(bytes);
        let _ = wire::decode::<Attempt>(bytes);
        let _ = wire::decode::<Mail>(bytes);
        let _ = wire::decode::<ViewAsk>(bytes);
        let _ = wire::decode::<ViewAnswer>(bytes);
        let _ = wire::read_frame(bytes);
    });
}

fn sealed() {
    let sealer = wire::Sealer::new("quito".try_into().unwrap(), "a secret of enough bytes");
    let sample = sealer.seal("/peer/view", &(1u8, "x")).unwrap();
    feed(vec![sample.clone()], |bytes| {
        let opened = sealer.open::<(u8, String)>("/peer/view", bytes);
        assert!(
            opened.is_err() || bytes == sample,
            "a changed message was taken"
        );
    });
}

fn journal() {
    use store::StateDir;
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("vault");
    StateDir::init(&path, 1, b"first").unwrap();
    let (mut vault, _) = StateDir::open(&path).unwrap();
    vault.append(b"second record").unwrap();
    vault.append(b"third").unwrap();
    vault.close();
    let file = path.join("journal-0");
    let sample = std::fs::read(&file).unwrap();
    // Each input is a file, written and synced, so there are fewer of them.
    let count = std::cell::Cell::new(0);
    feed(vec![sample], |bytes| {
        count.set(count.get() + 1);
        if count.get() % 20 != 0 {
            return;
        }
        std::fs::write(&file, bytes).unwrap();
        if let Ok((vault, recovered)) = StateDir::open(&path) {
            let known: [&[u8]; 3] = [b"first", b"second record", b"third"];
            let prefix = recovered.records.iter().zip(known).all(|(a, b)| a == b);
            assert!(prefix, "a record came back changed");
            vault.close();
        }
    });
}

fn commands() {
    use govern::Codec;
    let command = govern::Command::SealWindow { number: 1, end: 2 };
    let state = govern::Machine::default().export();
    let samples = vec![
        wire::Packed.encode_command(&command).unwrap(),
        wire::Packed.encode_snapshot(&state).unwrap(),
    ];
    feed(samples, |bytes| {
        let _ = wire::Packed.decode_command(bytes);
        let _ = wire::Packed.decode_snapshot(bytes);
    });
}

fn plans() {
    feed(
        vec![
            example("hidrovigia/plan.toml"),
            example("cruinneog/plan.toml"),
        ],
        |bytes| {
            let text = String::from_utf8_lossy(bytes);
            if let Ok(plan) = ops::parse_config_file(&text) {
                let _ = conf::Config::default().apply_all(&plan);
            }
        },
    );
}

fn sheets() {
    let mut config = conf::Config::default();
    config.apply_all(&changes()).unwrap();
    let sample = ops::export_sheet("hidrovigia", &config).into_bytes();
    feed(vec![sample], |bytes| {
        let text = String::from_utf8_lossy(bytes);
        if let Ok(sheet) = ops::Sheet::try_from(&*text) {
            let _ = sheet.changes(&config, true);
        }
    });
}

fn settings() {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("x.toml");
    std::fs::write(folder.path().join("secret"), "a secret of enough bytes").unwrap();
    let samples =
        ["control-0", "entry-0", "agent-0"].map(|n| example(&format!("hidrovigia/{n}.toml")));
    feed(samples.to_vec(), |bytes| {
        std::fs::write(&path, bytes).unwrap();
        let _ = entry::Settings::try_from(path.as_path());
        let _ = agent::Settings::try_from(path.as_path());
        let _ = control::Settings::try_from(path.as_path());
    });
}

fn operators_bodies() {
    let propose = Propose {
        name: "p".try_into().unwrap(),
        base: ids::Revision(1),
        changes: changes(),
    };
    feed(vec![serde_json::to_vec(&propose).unwrap()], |bytes| {
        if let Ok(propose) = serde_json::from_slice::<Propose>(bytes) {
            let _ = conf::Config::default().apply_all(&propose.changes);
        }
    });
}

fn callers_bodies() {
    let chat =
        br#"{"model":"crew","stream":true,"messages":[{"role":"user","content":"a\u0062"}]}"#;
    feed(vec![chat.to_vec()], entry::fuzz_model_body);
}

fn engines_events() {
    let events = b"data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n";
    feed(vec![events.to_vec()], agent::fuzz_event_stream);
}

case::cases! {
    messages_between_processes: messages();
    sealed_messages: sealed();
    journal_files: journal();
    commands_and_snapshots: commands();
    plan_files: plans();
    sheet_files: sheets();
    settings_files: settings();
    bodies_of_operators: operators_bodies();
    bodies_of_callers: callers_bodies();
    events_of_engines: engines_events();
}
