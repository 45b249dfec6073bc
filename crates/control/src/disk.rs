//! The disk thread: writes the queued records as a batch, syncs them, and notifies the core.

use std::fmt;
use std::thread::{
    self,
    JoinHandle, //
};

use agree::{
    Record,
    SnapshotMeta, //
};
use bytes::Bytes;
use crossbeam::channel::{
    Receiver,
    Sender,
    unbounded, //
};
use govern::Input;
use obs::{
    Logger,
    event, //
};
use store::{
    StateDir,
    StoreError, //
};
use wire::WireError;

use crate::codec;
use crate::effects::ControlInbox;

/// Maximum number of queued jobs that are added to the first job of a batch.
const MAX_ADDITIONAL_JOBS: usize = 1024;

/// A write to durable state, with its sequence number.
pub(crate) enum Job {
    /// Append a record to the journal.
    Append(u64, Record),
    /// Replace the snapshot, and start a new journal with the record.
    Rotate(u64, SnapshotMeta, Bytes, Record),
}

enum DiskError {
    Store(StoreError),
    Wire(WireError),
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::Wire(error) => error.fmt(f),
        }
    }
}

/// A running disk thread.
pub(crate) struct Disk {
    thread: JoinHandle<()>,
}

impl Disk {
    /// Starts the thread. It ends when all senders of jobs are dropped, or when a write fails; the
    /// error is then sent to `failed`, and the core is halted.
    pub(crate) fn start(
        state_dir: StateDir,
        jobs: Receiver<Job>,
        inbox: ControlInbox,
        failed: Sender<String>,
        log: Logger,
    ) -> std::io::Result<Self> {
        let thread = thread::Builder::new()
            .name("control-disk".to_owned())
            .spawn(move || run(state_dir, &jobs, &inbox, &failed, &log))?;
        Ok(Self { thread })
    }

    pub(crate) fn close(self) {
        let _ = self.thread.join();
    }
}

/// The channel to the disk thread.
pub(crate) fn channel() -> (Sender<Job>, Receiver<Job>) {
    unbounded()
}

fn run(
    mut state_dir: StateDir,
    jobs: &Receiver<Job>,
    inbox: &ControlInbox,
    failed: &Sender<String>,
    log: &Logger,
) {
    while let Ok(first) = jobs.recv() {
        let more = jobs.try_iter().take(MAX_ADDITIONAL_JOBS);
        let batch: Vec<_> = std::iter::once(first).chain(more).collect();
        match write(&mut state_dir, batch, log) {
            Ok(seq) => {
                if inbox.send(Input::Synced(seq)).is_err() {
                    break;
                }
            }
            Err(error) => {
                event!(log, DiskFailed, "fault" => error.to_string());
                let _ = inbox.send(Input::Halt);
                let _ = failed.send(error.to_string());
                return;
            }
        }
    }
    state_dir.close();
}

/// Writes a batch and returns its last sequence number. The records between two rotations form one
/// frame.
fn write(state_dir: &mut StateDir, batch: Vec<Job>, log: &Logger) -> Result<u64, DiskError> {
    let mut last = 0;
    let mut records = Vec::new();
    for job in batch {
        match job {
            Job::Append(seq, record) => {
                records.push(record);
                last = seq;
            }
            Job::Rotate(seq, meta, state, record) => {
                append(state_dir, &mut records)?;
                rotate(state_dir, &meta, &state, record, log)?;
                last = seq;
            }
        }
    }
    append(state_dir, &mut records)?;
    Ok(last)
}

/// Replaces snapshot and journal. On a full disk the snapshot is compressed, since the old journal,
/// which takes most of the space, can be removed only afterwards.
fn rotate(
    state_dir: &mut StateDir,
    meta: &SnapshotMeta,
    state: &[u8],
    record: Record,
    log: &Logger,
) -> Result<(), DiskError> {
    let snapshot = codec::encode_snapshot(meta, state).map_err(DiskError::Wire)?;
    let first = codec::encode_frame(&[record]).map_err(DiskError::Wire)?;
    match state_dir.rotate(&snapshot, &first) {
        Err(error) if error.is_full() => {
            let packed = codec::pack_snapshot(&snapshot).map_err(DiskError::Wire)?;
            event!(log, SnapshotPacked, "fault" => error.to_string(),
                "bytes" => snapshot.len(), "packed" => packed.len());
            state_dir.rotate(&packed, &first).map_err(DiskError::Store)
        }
        result => result.map_err(DiskError::Store),
    }
}

fn append(state_dir: &mut StateDir, records: &mut Vec<Record>) -> Result<(), DiskError> {
    if records.is_empty() {
        return Ok(());
    }
    let frame = codec::encode_frame(records).map_err(DiskError::Wire)?;
    records.clear();
    state_dir.append(&frame).map_err(DiskError::Store)
}
