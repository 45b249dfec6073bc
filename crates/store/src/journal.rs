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
    Found,
    HEAD_BYTES, //
};

/// What a journal held when it was opened.
#[derive(Debug, Default)]
pub struct Replay {
    /// The payloads, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Bytes cut from the end because their record was never completed.
    pub torn_bytes: u64,
}

/// An open journal.
#[derive(Debug)]
pub struct Journal {
    file: File,
    path: PathBuf,
}

impl Journal {
    /// Creates a journal with one first record, synced.
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

    /// Opens a journal, reads it whole and cuts a record that was never completed.
    ///
    /// # Errors
    ///
    /// [`StoreError::Corrupt`] if intact records follow a damaged one; [`StoreError::Io`].
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
        while let Found::Intact(len) = frame::look(&bytes[at..]) {
            let payload = at + HEAD_BYTES;
            replay.records.push(bytes[payload..payload + len].to_vec());
            at = payload + len;
        }
        if frame::any(&bytes[at..]) {
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

    /// Appends one record and syncs it.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`]; the journal must not be used afterwards.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        let mut buf = Vec::with_capacity(HEAD_BYTES + record.len());
        frame::put(&mut buf, record);
        self.file
            .write_all(&buf)
            .map_err(StoreError::io(&self.path))?;
        self.file.sync_data().map_err(StoreError::io(&self.path))
    }

    /// Closes the file. Everything appended is synced already.
    pub fn close(self) {
        drop(self.file);
    }
}
