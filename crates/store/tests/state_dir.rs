//! What survives on disk, and what is refused.

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

fn fresh() -> TempDir {
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

fn journal(dir: &Path, generation: u64) -> std::path::PathBuf {
    dir.join(format!("journal-{generation}"))
}

fn flip(path: &Path, at: usize) {
    let mut bytes = fs::read(path).unwrap();
    bytes[at] ^= 0x40;
    fs::write(path, bytes).unwrap();
}

/// What a loss of power may leave of a file that was renamed without a sync of the folder after it.
const KEPT_OR_LOST: [bool; 2] = [true, false];

/// A folder that lost power during a rotation, before `current` was durable: each new file is kept
/// or lost by itself.
fn lost_before_switch(snapshot: bool, journal_kept: bool, torn: bool) -> TempDir {
    let dir = fresh();
    append(dir.path(), &[b"kept"]);
    let whole = copy_of_rotated(dir.path());
    let at = |name: &str| dir.path().join(name);
    if snapshot {
        fs::copy(whole.path().join("snapshot-1"), at("snapshot-1")).unwrap();
    }
    if journal_kept {
        fs::copy(whole.path().join("journal-1"), at("journal-1")).unwrap();
    }
    if torn {
        fs::write(at("current.tmp"), b"").unwrap();
        fs::write(at("snapshot-1.tmp"), b"ha").unwrap();
    }
    dir
}

/// A folder that lost power after `current` was durable: each old file is still there or gone.
fn lost_after_switch(snapshot: bool, journal_kept: bool) -> TempDir {
    let old = fresh();
    append(old.path(), &[b"kept"]);
    let dir = copy_of_rotated(old.path());
    if snapshot {
        fs::copy(old.path().join("snapshot-0"), dir.path().join("snapshot-0")).unwrap();
    }
    if journal_kept {
        fs::copy(journal(old.path(), 0), journal(dir.path(), 0)).unwrap();
    }
    dir
}

fn copy_of_rotated(from: &Path) -> TempDir {
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

/// Opens a folder, checks what it holds, and that it can be written and rotated from there.
fn serves(dir: &Path, snapshot: &[u8], expected: &[&[u8]]) {
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
    power_lost_before_the_switch_keeps_the_old_generation: {
        for snapshot in KEPT_OR_LOST {
            for journal in KEPT_OR_LOST {
                for torn in KEPT_OR_LOST {
                    let dir = lost_before_switch(snapshot, journal, torn);
                    serves(dir.path(), b"", &[b"first", b"kept"]);
                }
            }
        }
    };
    power_lost_after_the_switch_keeps_the_new_generation: {
        for snapshot in KEPT_OR_LOST {
            for journal in KEPT_OR_LOST {
                let dir = lost_after_switch(snapshot, journal);
                serves(dir.path(), b"state", &[b"tail"]);
            }
        }
    };
    power_lost_during_initialisation_starts_anew: {
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
    appended_records_survive: {
        let dir = fresh();
        append(dir.path(), &[b"a", b"", b"bc"]);
        assert_eq!(records(dir.path()), [&b"first"[..], b"a", b"", b"bc"]);
    };
    torn_tail_is_cut_and_reported: {
        let dir = fresh();
        append(dir.path(), &[b"whole", b"torn"]);
        let path = journal(dir.path(), 0);
        let len = fs::metadata(&path).unwrap().len();
        OpenOptions::new().write(true).open(&path).unwrap().set_len(len - 2).unwrap();
        let (state, recovered) = StateDir::open(dir.path()).unwrap();
        state.close();
        assert_eq!((recovered.records.len(), recovered.torn_bytes), (2, 18));
        append(dir.path(), &[b"next"]);
        assert_eq!(records(dir.path()), [&b"first"[..], b"whole", b"next"]);
    };
    damage_in_the_middle_is_refused: {
        let dir = fresh();
        append(dir.path(), &[b"one", b"two"]);
        flip(&journal(dir.path(), 0), 21 + 17);
        assert_matches!(StateDir::open(dir.path()), Err(StoreError::Corrupt(_, 21)));
    };
    damaged_length_in_the_middle_is_refused: {
        let dir = fresh();
        append(dir.path(), &[b"one", b"two"]);
        flip(&journal(dir.path(), 0), 21 + 6);
        assert_matches!(StateDir::open(dir.path()), Err(StoreError::Corrupt(_, 21)));
    };
    zeros_at_the_end_are_cut: {
        let dir = fresh();
        let mut file = OpenOptions::new().append(true).open(journal(dir.path(), 0)).unwrap();
        file.write_all(&[0; 4096]).unwrap();
        assert_eq!(records(dir.path()).len(), 1);
    };
    rotation_replaces_both: {
        let dir = fresh();
        let (mut state, _) = StateDir::open(dir.path()).unwrap();
        state.append(b"old").unwrap();
        state.rotate(b"state", b"tail").unwrap();
        state.append(b"new").unwrap();
        state.close();
        let (_, recovered) = StateDir::open(dir.path()).unwrap();
        assert_eq!(recovered.snapshot, b"state");
        assert_eq!(recovered.records, [b"tail".to_vec(), b"new".to_vec()]);
        assert_eq!(recovered.identity, 7);
        assert!(!journal(dir.path(), 0).exists());
    };
    unfinished_rotation_is_ignored: {
        let dir = fresh();
        append(dir.path(), &[b"kept"]);
        fs::write(dir.path().join("snapshot-1"), b"half").unwrap();
        fs::write(journal(dir.path(), 1), b"half").unwrap();
        assert_eq!(records(dir.path()), [&b"first"[..], b"kept"]);
        assert!(!dir.path().join("snapshot-1").exists());
    };
    damaged_snapshot_is_refused: {
        let dir = fresh();
        let (mut state, _) = StateDir::open(dir.path()).unwrap();
        state.rotate(b"state", b"tail").unwrap();
        state.close();
        flip(&dir.path().join("snapshot-1"), 18);
        assert_matches!(StateDir::open(dir.path()), Err(StoreError::Corrupt(..)));
    };
    second_process_is_refused: {
        let dir = fresh();
        let (state, _) = StateDir::open(dir.path()).unwrap();
        assert_matches!(StateDir::open(dir.path()), Err(StoreError::Locked(_)));
        state.close();
    };
    second_init_is_refused: {
        let dir = fresh();
        assert_matches!(StateDir::init(dir.path(), 8, b""), Err(StoreError::AlreadyInitialized(_)));
    };
    empty_folder_is_refused: {
        let dir = TempDir::new().unwrap();
        assert_matches!(StateDir::open(dir.path()), Err(StoreError::Uninitialized(_)));
    };
}
