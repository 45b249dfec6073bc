//! Durable state on a local disk: a checksummed journal and snapshots, switched atomically.
//!
//! Nothing is reported as written before it is synced. A failed write or sync is final: the
//! caller must stop using the [`StateDir`], since the state of the file is unknown from then on.

mod frame;
mod journal;
mod state_dir;

pub use journal::{
    Journal,
    Replay, //
};
pub use state_dir::{
    Recovered,
    StateDir, //
};

use std::fmt;
use std::io;
use std::path::{
    Path,
    PathBuf, //
};

/// Why durable state cannot be opened or written.
#[derive(Debug)]
pub enum StoreError {
    /// The operating system refused: path and reason.
    Io(PathBuf, io::Error),
    /// A record before intact ones is damaged: path and byte offset.
    Corrupt(PathBuf, u64),
    /// Another process uses the folder.
    Locked(PathBuf),
    /// The folder holds no state; it must be initialised first.
    Uninitialized(PathBuf),
    /// The folder holds state already.
    AlreadyInitialized(PathBuf),
    /// A file holds something else than was expected.
    Malformed(PathBuf),
}

impl StoreError {
    fn io(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |fault| Self::Io(path, fault)
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, fault) => write!(f, "{}: {fault}", path.display()),
            Self::Corrupt(path, at) => write!(
                f,
                "{}: the record at byte {at} is damaged and intact records follow it",
                path.display()
            ),
            Self::Locked(path) => write!(f, "{}: another process uses it", path.display()),
            Self::Uninitialized(path) => write!(f, "{}: holds no state", path.display()),
            Self::AlreadyInitialized(path) => write!(f, "{}: holds state already", path.display()),
            Self::Malformed(path) => write!(f, "{}: is not a file of this store", path.display()),
        }
    }
}

impl std::error::Error for StoreError {}
