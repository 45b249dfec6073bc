//! What survives on disk, and what is refused.

use std::fs::{
    self,
    OpenOptions, //
};
use std::io::Write;
use std::path::Path;

use assert_matches::assert_matches;
use store::{
    StoreError,
    Vault, //
};
use tempfile::TempDir;

fn fresh() -> TempDir {
    let dir = TempDir::new().unwrap();
    Vault::init(dir.path(), 7, b"first").unwrap();
    dir
}

fn append(dir: &Path, records: &[&[u8]]) {
    let (mut vault, _) = Vault::open(dir).unwrap();
    records
        .iter()
        .for_each(|record| vault.append(record).unwrap());
    vault.close();
}

fn records(dir: &Path) -> Vec<Vec<u8>> {
    let (vault, recovered) = Vault::open(dir).unwrap();
    vault.close();
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

case::cases! {
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
        let (vault, recovered) = Vault::open(dir.path()).unwrap();
        vault.close();
        assert_eq!((recovered.records.len(), recovered.torn), (2, 18));
        append(dir.path(), &[b"next"]);
        assert_eq!(records(dir.path()), [&b"first"[..], b"whole", b"next"]);
    };
    damage_in_the_middle_is_refused: {
        let dir = fresh();
        append(dir.path(), &[b"one", b"two"]);
        flip(&journal(dir.path(), 0), 21 + 17);
        assert_matches!(Vault::open(dir.path()), Err(StoreError::Damaged(_, 21)));
    };
    damaged_length_in_the_middle_is_refused: {
        let dir = fresh();
        append(dir.path(), &[b"one", b"two"]);
        flip(&journal(dir.path(), 0), 21 + 6);
        assert_matches!(Vault::open(dir.path()), Err(StoreError::Damaged(_, 21)));
    };
    zeros_at_the_end_are_cut: {
        let dir = fresh();
        let mut file = OpenOptions::new().append(true).open(journal(dir.path(), 0)).unwrap();
        file.write_all(&[0; 4096]).unwrap();
        assert_eq!(records(dir.path()).len(), 1);
    };
    rotation_replaces_both: {
        let dir = fresh();
        let (mut vault, _) = Vault::open(dir.path()).unwrap();
        vault.append(b"old").unwrap();
        vault.rotate(b"state", b"tail").unwrap();
        vault.append(b"new").unwrap();
        vault.close();
        let (_, recovered) = Vault::open(dir.path()).unwrap();
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
        let (mut vault, _) = Vault::open(dir.path()).unwrap();
        vault.rotate(b"state", b"tail").unwrap();
        vault.close();
        flip(&dir.path().join("snapshot-1"), 18);
        assert_matches!(Vault::open(dir.path()), Err(StoreError::Damaged(..)));
    };
    second_process_is_refused: {
        let dir = fresh();
        let (vault, _) = Vault::open(dir.path()).unwrap();
        assert_matches!(Vault::open(dir.path()), Err(StoreError::Locked(_)));
        vault.close();
    };
    second_init_is_refused: {
        let dir = fresh();
        assert_matches!(Vault::init(dir.path(), 8, b""), Err(StoreError::Exists(_)));
    };
    empty_folder_is_refused: {
        let dir = TempDir::new().unwrap();
        assert_matches!(Vault::open(dir.path()), Err(StoreError::Empty(_)));
    };
}
