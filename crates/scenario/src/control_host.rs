//! A simulated control host and its disk.

use agree::{
    DurableState,
    Limits,
    MemberId,
    NodeConfig,
    PromotionPolicy,
    Record,
    SnapshotMeta,
    Timing, //
};
use govern::Govern;
use ids::Tick;
use wire::MessagePack;

/// Memory and disk space of a host, in bytes.
const HOST_BYTES: usize = 1 << 30;

/// The contents of a disk: a snapshot and the log records after it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    pub(crate) meta: SnapshotMeta,
    pub(crate) state: Vec<u8>,
    pub(crate) records: Vec<Record>,
}

/// A control host; its disk outlives crashes of the core.
pub(crate) struct ControlHost {
    pub(crate) id: MemberId,
    pub(crate) disk: Disk,
    /// None while the host is down.
    pub(crate) core: Option<Govern<MessagePack>>,
    /// Rises with each start, so that disk syncs of an earlier incarnation are ignored.
    pub(crate) incarnation: u64,
    /// Whether appends to the log fail.
    pub(crate) disk_failed: bool,
}

impl ControlHost {
    /// Starts a core from the contents of the disk.
    pub(crate) fn start(&mut self, now: Tick, rng_seed: u64) -> Result<(), String> {
        let mut saved = DurableState::new(self.disk.meta.clone(), self.disk.state.clone());
        self.disk
            .records
            .iter()
            .for_each(|record| saved.replay(record.clone()));
        let options = govern::Options {
            node: NodeConfig {
                id: self.id,
                timing: Timing::default(),
                promotion: PromotionPolicy::All,
                limits: Limits::new(HOST_BYTES, HOST_BYTES),
                rng_seed,
            },
            unix_ms: 1_800_000_000_000,
            usage_window: std::time::Duration::from_secs(3600),
            plan: None,
        };
        self.incarnation += 1;
        self.core = Some(Govern::new(now, options, MessagePack, saved)?);
        Ok(())
    }
}
