//! Durable state on a local disk: a snapshot and a checksummed journal, replaced atomically.
//!
//! A write returns only after its data is synced. After a failed write or sync the caller must stop
//! using the [`StateDir`], since the content of its files is unknown from then on.

mod frame;
mod journal;
mod state_dir;

pub use journal::Journal;
pub use state_dir::{
    Origin,
    Recovered,
    Replay,
    StateDir, //
};

use std::fmt;
use std::io;
use std::path::{
    Path,
    PathBuf, //
};

/// Why a state directory cannot be opened or written.
#[derive(Debug)]
pub enum StoreError {
    /// An operation of the operating system failed: path and error.
    Io(PathBuf, io::Error),
    /// A snapshot, or a journal record that valid ones follow, is corrupt: path and byte offset.
    Corrupt(PathBuf, u64),
    /// Another process has locked the directory: path of the lock file.
    Locked(PathBuf),
    /// The directory holds no state; it must be initialized first.
    Uninitialized(PathBuf),
    /// The directory to initialize holds state already.
    AlreadyInitialized(PathBuf),
    /// A file does not hold a decimal number: path.
    Malformed(PathBuf),
}

impl StoreError {
    /// Whether the disk has no space left.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Io(_, error) if error.kind() == io::ErrorKind::StorageFull)
    }

    fn io(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |error| Self::Io(path, error)
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Corrupt(path, at) => write!(
                f,
                "{}: corrupt record at byte {at}, before the end of the file",
                path.display()
            ),
            Self::Locked(path) => write!(f, "{}: locked by another process", path.display()),
            Self::Uninitialized(path) => {
                write!(f, "{}: state directory is not initialized", path.display())
            }
            Self::AlreadyInitialized(path) => write!(
                f,
                "{}: state directory is already initialized",
                path.display()
            ),
            Self::Malformed(path) => write!(
                f,
                "{}: does not contain a decimal 64-bit number",
                path.display()
            ),
        }
    }
}

impl std::error::Error for StoreError {}
