//! The disturbances that a run can inject.

/// The disturbance of a run. It starts after one third of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// Clients send four times as many requests of the second class for 10 s.
    Burst,
    /// One engine runs at a quarter of its speed; its load report does not show this.
    Straggler,
    /// One engine crashes and restarts cold.
    Crash,
    /// One engine loses its prefix cache and is cold again, but does not report the flush.
    Cold,
    /// An operator closes a zone and reopens it 20 s later with cold engines.
    Zone,
    /// One account sends six times its share of requests until the end of the run.
    Flood,
}

impl Disturbance {
    /// Every disturbance.
    pub const ALL: [Self; 7] = [
        Self::None,
        Self::Burst,
        Self::Straggler,
        Self::Crash,
        Self::Cold,
        Self::Zone,
        Self::Flood,
    ];

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Burst => "burst",
            Self::Straggler => "straggler",
            Self::Crash => "crash",
            Self::Cold => "cold",
            Self::Zone => "zone",
            Self::Flood => "flood",
        }
    }
}
