//! The disk thread: writes what is due in one go, syncs it, and says so.

use std::fmt;
use std::thread::{
    self,
    JoinHandle, //
};

use agree::{
    Record,
    SnapshotMeta, //
};
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

/// Most records synced together.
const BATCH_RECORDS: usize = 1024;

/// What the disk thread is asked to do.
pub(crate) enum Job {
    /// Append a record.
    Append(u64, Record),
    /// Replace snapshot and journal.
    Rotate(u64, SnapshotMeta, Vec<u8>, Record),
}

enum Fault {
    Store(StoreError),
    Wire(WireError),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(fault) => fault.fmt(f),
            Self::Wire(fault) => fault.fmt(f),
        }
    }
}

/// A running disk thread.
pub(crate) struct Disk {
    thread: JoinHandle<()>,
}

impl Disk {
    /// Starts the thread; it ends when the sender is gone. A failed disk is told to `failed`.
    pub(crate) fn start(
        vault: StateDir,
        jobs: Receiver<Job>,
        inbox: ControlInbox,
        failed: Sender<String>,
        log: Logger,
    ) -> std::io::Result<Self> {
        let thread = thread::Builder::new()
            .name("control-disk".to_owned())
            .spawn(move || run(vault, &jobs, &inbox, &failed, &log))?;
        Ok(Self { thread })
    }

    pub(crate) fn close(self) {
        let _ = self.thread.join();
    }
}

/// The channel to a disk thread.
pub(crate) fn channel() -> (Sender<Job>, Receiver<Job>) {
    unbounded()
}

fn run(
    mut vault: StateDir,
    jobs: &Receiver<Job>,
    inbox: &ControlInbox,
    failed: &Sender<String>,
    log: &Logger,
) {
    while let Ok(first) = jobs.recv() {
        let more = jobs.try_iter().take(BATCH_RECORDS);
        let batch: Vec<_> = std::iter::once(first).chain(more).collect();
        match write(&mut vault, batch) {
            Ok(seq) => {
                if inbox.send(Input::Synced(seq)).is_err() {
                    break;
                }
            }
            Err(fault) => {
                event!(log, DiskFailed, "fault" => fault.to_string());
                let _ = inbox.send(Input::Halt);
                let _ = failed.send(fault.to_string());
                return;
            }
        }
    }
    vault.close();
}

/// Writes a batch, the records between two rotations as one frame. Returns the last number.
fn write(vault: &mut StateDir, batch: Vec<Job>) -> Result<u64, Fault> {
    let mut last = 0;
    let mut records = Vec::new();
    for job in batch {
        match job {
            Job::Append(seq, record) => {
                records.push(record);
                last = seq;
            }
            Job::Rotate(seq, meta, state, record) => {
                append(vault, &mut records)?;
                let snapshot = codec::snapshot(&meta, &state).map_err(Fault::Wire)?;
                let first = codec::frame(&[record]).map_err(Fault::Wire)?;
                vault.rotate(&snapshot, &first).map_err(Fault::Store)?;
                last = seq;
            }
        }
    }
    append(vault, &mut records)?;
    Ok(last)
}

fn append(vault: &mut StateDir, records: &mut Vec<Record>) -> Result<(), Fault> {
    if records.is_empty() {
        return Ok(());
    }
    let frame = codec::frame(records).map_err(Fault::Wire)?;
    records.clear();
    vault.append(&frame).map_err(Fault::Store)
}
