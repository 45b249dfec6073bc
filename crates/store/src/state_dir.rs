//! A folder with one identity, one current snapshot and one current journal.
//!
//! A generation is a snapshot file and a journal file with the same number. The file `current`
//! names the generation in force and is replaced by an atomic rename.

use std::fs::{
    self,
    File, //
};
use std::io::Write;
use std::path::{
    Path,
    PathBuf, //
};

use crate::StoreError;
use crate::journal::Journal;

const CURRENT: &str = "current";
const IDENTITY: &str = "identity";
const LOCK: &str = "lock";

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct Recovered {
    /// The identity written when the folder was initialised.
    pub identity: u64,
    /// The snapshot in force; empty if none was made yet.
    pub snapshot: Vec<u8>,
    /// The journal's records since the snapshot, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Bytes cut from the journal's end.
    pub torn_bytes: u64,
}

/// An open folder, locked against other processes.
#[derive(Debug)]
pub struct StateDir {
    dir: PathBuf,
    generation: u64,
    journal: Journal,
    lock: File,
}

impl StateDir {
    /// Initialises an empty folder with an identity and a first journal record.
    ///
    /// # Errors
    ///
    /// [`StoreError::AlreadyInitialized`] if the folder holds state; [`StoreError::Io`].
    pub fn init(dir: &Path, identity: u64, first: &[u8]) -> Result<(), StoreError> {
        fs::create_dir_all(dir).map_err(StoreError::io(dir))?;
        // Without `current`, an earlier initialisation was not finished and nothing was said by it.
        if Self::exists(dir) {
            return Err(StoreError::AlreadyInitialized(dir.to_owned()));
        }
        write_whole(dir, IDENTITY, identity.to_string().as_bytes())?;
        write_whole(dir, &snapshot_name(0), &[])?;
        Journal::create(&dir.join(journal_name(0)), first)?.close();
        write_whole(dir, CURRENT, b"0")
    }

    /// Whether the folder was initialised.
    pub fn exists(dir: &Path) -> bool {
        dir.join(CURRENT).exists()
    }

    /// Opens a folder and reads everything in force.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; nothing is changed but for a torn end of the journal.
    pub fn open(dir: &Path) -> Result<(Self, Recovered), StoreError> {
        if !Self::exists(dir) {
            return Err(StoreError::Uninitialized(dir.to_owned()));
        }
        let lock = take_lock(&dir.join(LOCK))?;
        let identity = read_number(&dir.join(IDENTITY))?;
        let generation = read_number(&dir.join(CURRENT))?;
        let snapshot = dir.join(snapshot_name(generation));
        let snapshot = fs::read(&snapshot).map_err(StoreError::io(&snapshot))?;
        let snapshot = unframe(&dir.join(snapshot_name(generation)), snapshot)?;
        let (journal, replay) = Journal::open(&dir.join(journal_name(generation)))?;
        let state = Self {
            dir: dir.to_owned(),
            generation,
            journal,
            lock,
        };
        state.sweep();
        let recovered = Recovered {
            identity,
            snapshot,
            records: replay.records,
            torn_bytes: replay.torn_bytes,
        };
        Ok((state, recovered))
    }

    /// Appends one record and syncs it.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]; the `StateDir` must not be used afterwards.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        self.journal.append(record)
    }

    /// Puts a snapshot and a journal with one first record in force, in one step.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]; the `StateDir` must not be used afterwards.
    pub fn rotate(&mut self, snapshot: &[u8], first: &[u8]) -> Result<(), StoreError> {
        let next = self.generation + 1;
        let mut framed = Vec::new();
        crate::frame::put(&mut framed, snapshot);
        write_whole(&self.dir, &snapshot_name(next), &framed)?;
        let journal = Journal::create(&self.dir.join(journal_name(next)), first)?;
        write_whole(&self.dir, CURRENT, next.to_string().as_bytes())?;
        self.generation = next;
        std::mem::replace(&mut self.journal, journal).close();
        self.sweep();
        Ok(())
    }

    /// Closes the folder and releases its lock. Everything written is synced already.
    pub fn close(self) {
        self.journal.close();
        drop(self.lock);
    }

    /// Removes files of other generations. Failing is harmless: the next call tries again.
    fn sweep(&self) {
        let keep = [
            journal_name(self.generation),
            snapshot_name(self.generation),
        ];
        let Ok(entries) = fs::read_dir(&self.dir) else {
            return;
        };
        for entry in entries.flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            let ours = name.starts_with("journal-") || name.starts_with("snapshot-");
            if ours && !keep.contains(&name) {
                let _ = fs::remove_file(entry.path());
            }
        }
    }
}

fn journal_name(generation: u64) -> String {
    format!("journal-{generation}")
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot-{generation}")
}

/// Writes a file so that it appears whole or not at all, and synced.
fn write_whole(dir: &Path, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let tmp = dir.join(format!("{name}.tmp"));
    let mut file = File::create(&tmp).map_err(StoreError::io(&tmp))?;
    file.write_all(bytes).map_err(StoreError::io(&tmp))?;
    file.sync_all().map_err(StoreError::io(&tmp))?;
    let path = dir.join(name);
    fs::rename(&tmp, &path).map_err(StoreError::io(&path))?;
    let folder = File::open(dir).map_err(StoreError::io(dir))?;
    folder.sync_all().map_err(StoreError::io(dir))
}

fn take_lock(path: &Path) -> Result<File, StoreError> {
    let file = File::create(path).map_err(StoreError::io(path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(StoreError::Locked(path.to_owned())),
        Err(fs::TryLockError::Error(fault)) => Err(StoreError::Io(path.to_owned(), fault)),
    }
}

fn read_number(path: &Path) -> Result<u64, StoreError> {
    let text = fs::read_to_string(path).map_err(StoreError::io(path))?;
    text.trim()
        .parse()
        .map_err(|_| StoreError::Malformed(path.to_owned()))
}

fn unframe(path: &Path, bytes: Vec<u8>) -> Result<Vec<u8>, StoreError> {
    use crate::frame::{
        Found,
        HEAD_BYTES,
        look, //
    };
    if bytes.is_empty() {
        return Ok(bytes);
    }
    match look(&bytes) {
        Found::Intact(len) => Ok(bytes[HEAD_BYTES..HEAD_BYTES + len].to_vec()),
        Found::Bad => Err(StoreError::Corrupt(path.to_owned(), 0)),
    }
}
