//! A control host of a scenario, with its disk.

use agree::{
    DurableState,
    MemberId,
    NodeConfig,
    PromotionPolicy,
    Record,
    SnapshotMeta,
    Timing, //
};
use govern::Govern;
use ids::Tick;
use wire::Packed;

/// What a host has on its disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    pub(crate) meta: SnapshotMeta,
    pub(crate) state: Vec<u8>,
    pub(crate) records: Vec<Record>,
}

pub(crate) struct Host {
    pub(crate) id: MemberId,
    pub(crate) disk: Disk,
    pub(crate) core: Option<Govern<Packed>>,
    /// Rises with each start, so that what was meant for an earlier run is dropped.
    pub(crate) run: u64,
    /// Whether the disk refuses to sync.
    pub(crate) broken: bool,
}

impl Host {
    /// Starts the core from the disk.
    pub(crate) fn start(&mut self, now: Tick, random: u64) -> Result<(), String> {
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
                rng_seed: random,
            },
            unix_ms: 1_800_000_000_000,
            usage_window: std::time::Duration::from_secs(3600),
            plan: None,
        };
        self.run += 1;
        self.core = Some(Govern::new(now, options, Packed, saved)?);
        Ok(())
    }
}
