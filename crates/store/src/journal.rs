//! An append-only file of checksummed records.

use std::fs::{
    File,
    OpenOptions, //
};
use std::io::{
    BufReader,
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
    HEADER_BYTES,
    Header, //
};

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

    /// Opens a journal, passes each record to `receive`, oldest first, and truncates an incomplete
    /// record at the end: a crash during [`Journal::append`] leaves one, and it was never reported
    /// as written. Returns the journal and the length of the incomplete record in bytes. Holds one
    /// record in memory at a time.
    ///
    /// # Errors
    ///
    /// [`StoreError::Corrupt`] if valid records follow an invalid one, since a crash cannot cause
    /// that; [`StoreError::Io`].
    pub fn open(path: &Path, receive: impl FnMut(Vec<u8>)) -> Result<(Self, u64), StoreError> {
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(path)
            .map_err(StoreError::io(path))?;
        let end = file.metadata().map_err(StoreError::io(path))?.len();
        let at = read_records(&file, end, receive).map_err(StoreError::io(path))?;
        let mut rest = Vec::new();
        file.seek(SeekFrom::Start(at))
            .map_err(StoreError::io(path))?;
        file.read_to_end(&mut rest).map_err(StoreError::io(path))?;
        if frame::contains_valid(&rest) {
            return Err(StoreError::Corrupt(path.to_owned(), at));
        }
        file.set_len(at).map_err(StoreError::io(path))?;
        file.seek(SeekFrom::End(0)).map_err(StoreError::io(path))?;
        file.sync_all().map_err(StoreError::io(path))?;
        let journal = Self {
            file,
            path: path.to_owned(),
        };
        Ok((journal, end.saturating_sub(at)))
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

/// Passes the records from the start of a file of `end` bytes to `receive`. Returns the offset of the
/// first byte that belongs to no valid record.
fn read_records(file: &File, end: u64, mut receive: impl FnMut(Vec<u8>)) -> std::io::Result<u64> {
    let mut reader = BufReader::new(file);
    let mut at = 0;
    loop {
        let mut header = [0; HEADER_BYTES];
        let payload_at = at + HEADER_BYTES as u64;
        if payload_at > end {
            return Ok(at);
        }
        reader.read_exact(&mut header)?;
        let Some(header) = Header::read(&header) else {
            return Ok(at);
        };
        let next = payload_at + header.len as u64;
        if next > end {
            return Ok(at);
        }
        let mut payload = vec![0; header.len];
        reader.read_exact(&mut payload)?;
        if !header.matches(&payload) {
            return Ok(at);
        }
        receive(payload);
        at = next;
    }
}
