//! An append-only file of checksummed records.

use std::fs::{
    File,
    OpenOptions, //
};
use std::io::{
    Read,
    Seek,
    SeekFrom,
    Write, //
};
use std::path::{
    Path,
    PathBuf, //
};

use crate::StoreError;
use crate::frame::{
    self,
    Frame,
    HEADER_BYTES, //
};

/// The content of a journal when it was opened.
#[derive(Debug, Default)]
pub struct Replay {
    /// The payloads of the records, oldest first.
    pub records: Vec<Vec<u8>>,
    /// The length of the incomplete record that was truncated from the end, in bytes.
    pub torn_bytes: u64,
}

/// A journal that is open for appending.
#[derive(Debug)]
pub struct Journal {
    file: File,
    path: PathBuf,
}

impl Journal {
    /// Creates a journal that contains one record, and syncs it. An existing file is overwritten.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`].
    pub fn create(path: &Path, first: &[u8]) -> Result<Self, StoreError> {
        let file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(path)
            .map_err(StoreError::io(path))?;
        let mut journal = Self {
            file,
            path: path.to_owned(),
        };
        journal.append(first)?;
        Ok(journal)
    }

    /// Opens a journal, reads all records, and truncates an incomplete record at the end: a crash
    /// during [`Journal::append`] leaves one, and it was never reported as written.
    ///
    /// # Errors
    ///
    /// [`StoreError::Corrupt`] if valid records follow an invalid one, since a crash cannot cause
    /// that; [`StoreError::Io`].
    pub fn open(path: &Path) -> Result<(Self, Replay), StoreError> {
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(path)
            .map_err(StoreError::io(path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(StoreError::io(path))?;
        let mut replay = Replay::default();
        let mut at = 0;
        while let Frame::Valid(len) = frame::read(&bytes[at..]) {
            let payload = at + HEADER_BYTES;
            replay.records.push(bytes[payload..payload + len].to_vec());
            at = payload + len;
        }
        if frame::contains_valid(&bytes[at..]) {
            return Err(StoreError::Corrupt(path.to_owned(), at as u64));
        }
        replay.torn_bytes = (bytes.len() - at) as u64;
        file.set_len(at as u64).map_err(StoreError::io(path))?;
        file.seek(SeekFrom::End(0)).map_err(StoreError::io(path))?;
        file.sync_all().map_err(StoreError::io(path))?;
        let journal = Self {
            file,
            path: path.to_owned(),
        };
        Ok((journal, replay))
    }

    /// Appends a record and syncs the file.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]; the journal must not be used afterwards, since the state of its file is
    /// unknown.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        let mut buf = Vec::with_capacity(HEADER_BYTES + record.len());
        frame::append(&mut buf, record);
        self.file
            .write_all(&buf)
            .map_err(StoreError::io(&self.path))?;
        self.file.sync_data().map_err(StoreError::io(&self.path))
    }

    /// Closes the file. All records are synced already.
    pub fn close(self) {
        drop(self.file);
    }
}
