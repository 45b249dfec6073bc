//! A state directory: an identity, a current snapshot and a current journal.
//!
//! A generation is a snapshot file and a journal file with the same number. The file `current`
//! holds the number of the current generation and is replaced by an atomic rename.

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

const CURRENT_FILE: &str = "current";
const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";

/// Receives the content of a state directory while it is opened.
pub trait Replay {
    /// Receives the current snapshot, before all records; it is empty if none was taken yet.
    fn snapshot(&mut self, bytes: Vec<u8>);

    /// Receives the next record of the journal, oldest first.
    fn record(&mut self, bytes: Vec<u8>);
}

/// What is known of a state directory besides its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The identity with which the directory was initialized.
    pub identity: u64,
    /// The length of the incomplete record that was truncated from the journal's end, in bytes.
    pub torn_bytes: u64,
}

/// The whole content of a state directory when it was opened.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The identity with which the directory was initialized.
    pub identity: u64,
    /// The current snapshot; empty if none was taken yet.
    pub snapshot: Vec<u8>,
    /// The journal's records since the snapshot, oldest first.
    pub records: Vec<Vec<u8>>,
    /// The length of the incomplete record that was truncated from the journal's end, in bytes.
    pub torn_bytes: u64,
}

impl Replay for Recovered {
    fn snapshot(&mut self, bytes: Vec<u8>) {
        self.snapshot = bytes;
    }

    fn record(&mut self, bytes: Vec<u8>) {
        self.records.push(bytes);
    }
}

/// An open state directory, locked against other processes.
#[derive(Debug)]
pub struct StateDir {
    dir: PathBuf,
    generation: u64,
    journal: Journal,
    lock: File,
}

impl StateDir {
    /// Initializes a directory with an identity and a first journal record. Creates it if needed.
    ///
    /// # Errors
    ///
    /// [`StoreError::AlreadyInitialized`] if the directory holds state; [`StoreError::Io`].
    pub fn init(dir: &Path, identity: u64, first: &[u8]) -> Result<(), StoreError> {
        fs::create_dir_all(dir).map_err(StoreError::io(dir))?;
        // Files without `current` are left by an initialization that did not finish. Its identity
        // was never used, so the files are overwritten.
        if Self::exists(dir) {
            return Err(StoreError::AlreadyInitialized(dir.to_owned()));
        }
        write_atomic(dir, IDENTITY_FILE, identity.to_string().as_bytes())?;
        write_atomic(dir, &snapshot_name(0), &[])?;
        Journal::create(&dir.join(journal_name(0)), first)?.close();
        write_atomic(dir, CURRENT_FILE, b"0")
    }

    /// Whether the directory was initialized.
    pub fn exists(dir: &Path) -> bool {
        dir.join(CURRENT_FILE).exists()
    }

    /// As [`StateDir::replay`], with the whole content in memory.
    ///
    /// # Errors
    ///
    /// As [`StateDir::replay`].
    pub fn open(dir: &Path) -> Result<(Self, Recovered), StoreError> {
        let mut recovered = Recovered::default();
        let (state, origin) = Self::replay(dir, &mut recovered)?;
        recovered.identity = origin.identity;
        recovered.torn_bytes = origin.torn_bytes;
        Ok((state, recovered))
    }

    /// Opens and locks a directory, and passes its current snapshot and the journal's records to
    /// `replay` one after the other.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but [`StoreError::AlreadyInitialized`]. A failed call changes no file,
    /// except that it may create the lock file and truncate an incomplete record from the journal's
    /// end.
    pub fn replay(dir: &Path, replay: &mut impl Replay) -> Result<(Self, Origin), StoreError> {
        if !Self::exists(dir) {
            return Err(StoreError::Uninitialized(dir.to_owned()));
        }
        let lock = acquire_lock(&dir.join(LOCK_FILE))?;
        let identity = read_number(&dir.join(IDENTITY_FILE))?;
        let generation = read_number(&dir.join(CURRENT_FILE))?;
        let snapshot = dir.join(snapshot_name(generation));
        let snapshot = fs::read(&snapshot).map_err(StoreError::io(&snapshot))?;
        let snapshot = decode_snapshot(&dir.join(snapshot_name(generation)), snapshot)?;
        replay.snapshot(snapshot);
        let path = dir.join(journal_name(generation));
        let (journal, torn_bytes) = Journal::open(&path, |record| replay.record(record))?;
        let state = Self {
            dir: dir.to_owned(),
            generation,
            journal,
            lock,
        };
        state.remove_stale_files();
        let origin = Origin {
            identity,
            torn_bytes,
        };
        Ok((state, origin))
    }

    /// Appends a record to the journal and syncs it.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]; the `StateDir` must not be used afterwards.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        self.journal.append(record)
    }

    /// Atomically replaces the snapshot, and the journal by one that contains one record.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]; the `StateDir` must not be used afterwards, except that the call may be
    /// repeated if [`StoreError::is_full`]: it has changed nothing then.
    pub fn rotate(&mut self, snapshot: &[u8], first: &[u8]) -> Result<(), StoreError> {
        let next = self.generation + 1;
        let switched = self
            .write_generation(next, snapshot, first)
            .and_then(|journal| {
                write_atomic(&self.dir, CURRENT_FILE, next.to_string().as_bytes())?;
                Ok(journal)
            });
        let current = read_number(&self.dir.join(CURRENT_FILE));
        let unchanged = current.is_ok_and(|number| number == self.generation);
        if switched.as_ref().is_err_and(StoreError::is_full) && unchanged {
            self.remove_stale_files();
        }
        let journal = switched?;
        self.generation = next;
        std::mem::replace(&mut self.journal, journal).close();
        self.remove_stale_files();
        Ok(())
    }

    /// Writes the files of a generation, which does not become the current one.
    fn write_generation(
        &self,
        number: u64,
        snapshot: &[u8],
        first: &[u8],
    ) -> Result<Journal, StoreError> {
        let mut framed = Vec::new();
        crate::frame::append(&mut framed, snapshot);
        write_atomic(&self.dir, &snapshot_name(number), &framed)?;
        Journal::create(&self.dir.join(journal_name(number)), first)
    }

    /// Closes the directory and releases its lock. All data is synced already.
    pub fn close(self) {
        self.journal.close();
        drop(self.lock);
    }

    /// Removes the files of other generations. Ignores errors, since files that remain are never
    /// read and the next call removes them.
    fn remove_stale_files(&self) {
        let keep = [
            journal_name(self.generation),
            snapshot_name(self.generation),
        ];
        let Ok(entries) = fs::read_dir(&self.dir) else {
            return;
        };
        for entry in entries.flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            let is_generation_file = name.starts_with("journal-") || name.starts_with("snapshot-");
            if is_generation_file && !keep.contains(&name) {
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

/// Writes a file atomically and durably: to a temporary file that is synced and renamed, with a
/// sync of the directory after that.
fn write_atomic(dir: &Path, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let tmp = dir.join(format!("{name}.tmp"));
    let mut file = File::create(&tmp).map_err(StoreError::io(&tmp))?;
    file.write_all(bytes).map_err(StoreError::io(&tmp))?;
    file.sync_all().map_err(StoreError::io(&tmp))?;
    let path = dir.join(name);
    fs::rename(&tmp, &path).map_err(StoreError::io(&path))?;
    let parent = File::open(dir).map_err(StoreError::io(dir))?;
    parent.sync_all().map_err(StoreError::io(dir))
}

/// Locks a file exclusively, without waiting. The lock is released when the returned file is closed
/// or the process ends.
fn acquire_lock(path: &Path) -> Result<File, StoreError> {
    let file = File::create(path).map_err(StoreError::io(path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(StoreError::Locked(path.to_owned())),
        Err(fs::TryLockError::Error(error)) => Err(StoreError::Io(path.to_owned(), error)),
    }
}

fn read_number(path: &Path) -> Result<u64, StoreError> {
    let text = fs::read_to_string(path).map_err(StoreError::io(path))?;
    text.trim()
        .parse()
        .map_err(|_| StoreError::Malformed(path.to_owned()))
}

/// The payload of a snapshot file; an empty file, as written by [`StateDir::init`], has none.
fn decode_snapshot(path: &Path, bytes: Vec<u8>) -> Result<Vec<u8>, StoreError> {
    use crate::frame::{
        Frame,
        HEADER_BYTES,
        read, //
    };
    if bytes.is_empty() {
        return Ok(bytes);
    }
    match read(&bytes) {
        Frame::Valid(len) => Ok(bytes[HEADER_BYTES..HEADER_BYTES + len].to_vec()),
        Frame::Invalid => Err(StoreError::Corrupt(path.to_owned(), 0)),
    }
}
