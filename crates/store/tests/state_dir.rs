//! Recovery of a state directory after crashes, and rejection of corrupt files.

use std::fs::{
    self,
    OpenOptions, //
};
use std::io::Write;
use std::path::Path;

use assert_matches::assert_matches;
use store::{
    StateDir,
    StoreError, //
};
use tempfile::TempDir;

/// A state directory with identity 7 and the journal record `first`.
fn initialized() -> TempDir {
    let dir = TempDir::new().unwrap();
    StateDir::init(dir.path(), 7, b"first").unwrap();
    dir
}

fn append(dir: &Path, records: &[&[u8]]) {
    let (mut state, _) = StateDir::open(dir).unwrap();
    records
        .iter()
        .for_each(|record| state.append(record).unwrap());
    state.close();
}

fn records(dir: &Path) -> Vec<Vec<u8>> {
    let (state, recovered) = StateDir::open(dir).unwrap();
    state.close();
    recovered.records
}

fn journal_path(dir: &Path, generation: u64) -> std::path::PathBuf {
    dir.join(format!("journal-{generation}"))
}

fn flip_bit(path: &Path, at: usize) {
    let mut bytes = fs::read(path).unwrap();
    bytes[at] ^= 0x40;
    fs::write(path, bytes).unwrap();
}

/// After a power failure, a file that was renamed but whose directory was not synced since may be
/// present or missing.
const PRESENT_OR_MISSING: [bool; 2] = [true, false];

/// A state directory after a power failure during a rotation, before the new `current` was durable:
/// each new file may be present or missing, and so may temporary files.
fn crashed_before_switch(
    snapshot_present: bool,
    journal_present: bool,
    temp_files: bool,
) -> TempDir {
    let dir = initialized();
    append(dir.path(), &[b"kept"]);
    let rotated = rotated_copy(dir.path());
    let at = |name: &str| dir.path().join(name);
    if snapshot_present {
        fs::copy(rotated.path().join("snapshot-1"), at("snapshot-1")).unwrap();
    }
    if journal_present {
        fs::copy(rotated.path().join("journal-1"), at("journal-1")).unwrap();
    }
    if temp_files {
        fs::write(at("current.tmp"), b"").unwrap();
        fs::write(at("snapshot-1.tmp"), b"ha").unwrap();
    }
    dir
}

/// A state directory after a power failure during a rotation, after the new `current` was durable:
/// each file of the old generation may be present or missing.
fn crashed_after_switch(snapshot_present: bool, journal_present: bool) -> TempDir {
    let old = initialized();
    append(old.path(), &[b"kept"]);
    let dir = rotated_copy(old.path());
    if snapshot_present {
        fs::copy(old.path().join("snapshot-0"), dir.path().join("snapshot-0")).unwrap();
    }
    if journal_present {
        fs::copy(journal_path(old.path(), 0), journal_path(dir.path(), 0)).unwrap();
    }
    dir
}

/// A copy of a state directory, rotated to generation 1.
fn rotated_copy(from: &Path) -> TempDir {
    let to = TempDir::new().unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), to.path().join(entry.file_name())).unwrap();
    }
    let (mut state, _) = StateDir::open(to.path()).unwrap();
    state.rotate(b"state", b"tail").unwrap();
    state.close();
    to
}

/// Opens a state directory, checks its content, and checks that it can be appended to, rotated and
/// opened again.
fn assert_usable(dir: &Path, snapshot: &[u8], expected: &[&[u8]]) {
    let (mut state, recovered) = StateDir::open(dir).unwrap();
    assert_eq!(recovered.snapshot, snapshot);
    assert_eq!(recovered.records, expected);
    state.append(b"more").unwrap();
    state.rotate(b"later", b"first").unwrap();
    state.append(b"last").unwrap();
    state.close();
    let (state, recovered) = StateDir::open(dir).unwrap();
    state.close();
    assert_eq!(recovered.snapshot, b"later");
    assert_eq!(recovered.records, [&b"first"[..], b"last"]);
}

case::cases! {
    crash_before_the_switch_keeps_the_old_generation: {
        for snapshot in PRESENT_OR_MISSING {
            for journal in PRESENT_OR_MISSING {
                for temp_files in PRESENT_OR_MISSING {
                    let dir = crashed_before_switch(snapshot, journal, temp_files);
                    assert_usable(dir.path(), b"", &[b"first", b"kept"]);
                }
            }
        }
    };
    crash_after_the_switch_keeps_the_new_generation: {
        for snapshot in PRESENT_OR_MISSING {
            for journal in PRESENT_OR_MISSING {
                let dir = crashed_after_switch(snapshot, journal);
                assert_usable(dir.path(), b"state", &[b"tail"]);
            }
        }
    };
    unfinished_initialization_is_repeated: {
        for names in [&["identity"][..], &["snapshot-0", "journal-0"], &["current.tmp"]] {
            let dir = TempDir::new().unwrap();
            names.iter().for_each(|name| fs::write(dir.path().join(name), b"9").unwrap());
            assert!(!StateDir::exists(dir.path()));
            StateDir::init(dir.path(), 7, b"first").unwrap();
            let (state, recovered) = StateDir::open(dir.path()).unwrap();
            state.close();
            assert_eq!((recovered.identity, recovered.records), (7, vec![b"first".to_vec()]));
        }
    };
    appended_records_are_read_back: {
        let dir = initialized();
        append(dir.path(), &[b"a", b"", b"bc"]);
        assert_eq!(records(dir.path()), [&b"first"[..], b"a", b"", b"bc"]);
    };
    incomplete_last_record_is_truncated_and_reported: {
        let dir = initialized();
        append(dir.path(), &[b"whole", b"torn"]);
        let path = journal_path(dir.path(), 0);
        let len = fs::metadata(&path).unwrap().len();
        OpenOptions::new().write(true).open(&path).unwrap().set_len(len - 2).unwrap();
        let (state, recovered) = StateDir::open(dir.path()).unwrap();
        state.close();
        assert_eq!((recovered.records.len(), recovered.torn_bytes), (2, 18));
        append(dir.path(), &[b"next"]);
        assert_eq!(records(dir.path()), [&b"first"[..], b"whole", b"next"]);
    };
    corrupt_record_in_the_middle_is_rejected: {
        let dir = initialized();
        append(dir.path(), &[b"one", b"two"]);
        flip_bit(&journal_path(dir.path(), 0), 21 + 17);
        assert_matches!(StateDir::open(dir.path()), Err(StoreError::Corrupt(_, 21)));
    };
    corrupt_length_in_the_middle_is_rejected: {
        let dir = initialized();
        append(dir.path(), &[b"one", b"two"]);
        flip_bit(&journal_path(dir.path(), 0), 21 + 6);
        assert_matches!(StateDir::open(dir.path()), Err(StoreError::Corrupt(_, 21)));
    };
    trailing_zeros_are_truncated: {
        let dir = initialized();
        let mut file = OpenOptions::new().append(true).open(journal_path(dir.path(), 0)).unwrap();
        file.write_all(&[0; 4096]).unwrap();
        assert_eq!(records(dir.path()).len(), 1);
    };
    rotation_replaces_snapshot_and_journal: {
        let dir = initialized();
        let (mut state, _) = StateDir::open(dir.path()).unwrap();
        state.append(b"old").unwrap();
        state.rotate(b"state", b"tail").unwrap();
        state.append(b"new").unwrap();
        state.close();
        let (_, recovered) = StateDir::open(dir.path()).unwrap();
        assert_eq!(recovered.snapshot, b"state");
        assert_eq!(recovered.records, [b"tail".to_vec(), b"new".to_vec()]);
        assert_eq!(recovered.identity, 7);
        assert!(!journal_path(dir.path(), 0).exists());
    };
    unfinished_rotation_is_ignored_and_removed: {
        let dir = initialized();
        append(dir.path(), &[b"kept"]);
        fs::write(dir.path().join("snapshot-1"), b"half").unwrap();
        fs::write(journal_path(dir.path(), 1), b"half").unwrap();
        assert_eq!(records(dir.path()), [&b"first"[..], b"kept"]);
        assert!(!dir.path().join("snapshot-1").exists());
    };
    corrupt_snapshot_is_rejected: {
        let dir = initialized();
        let (mut state, _) = StateDir::open(dir.path()).unwrap();
        state.rotate(b"state", b"tail").unwrap();
        state.close();
        flip_bit(&dir.path().join("snapshot-1"), 18);
        assert_matches!(StateDir::open(dir.path()), Err(StoreError::Corrupt(..)));
    };
    locked_directory_is_rejected: {
        let dir = initialized();
        let (state, _) = StateDir::open(dir.path()).unwrap();
        assert_matches!(StateDir::open(dir.path()), Err(StoreError::Locked(_)));
        state.close();
    };
    initializing_twice_is_rejected: {
        let dir = initialized();
        assert_matches!(StateDir::init(dir.path(), 8, b""), Err(StoreError::AlreadyInitialized(_)));
    };
    uninitialized_directory_is_rejected: {
        let dir = TempDir::new().unwrap();
        assert_matches!(StateDir::open(dir.path()), Err(StoreError::Uninitialized(_)));
    };
}
