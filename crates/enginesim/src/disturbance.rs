//! The disturbances that a run can inject.

/// The disturbance of a run. It starts after one third of the run and ends after two thirds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// The class with the longest prompts sends four times as many requests.
    Burst,
    /// The class with the shortest prompts sends as many times more requests as in a burst.
    ShortBurst,
    /// One engine of each zone crashes, and restarts with an empty cache.
    Crash,
    /// Each step of one engine takes four times as long; its load report does not show this.
    Slow,
}

impl Disturbance {
    /// The disturbances that all workloads have.
    pub const ALL: [Self; 4] = [Self::None, Self::Burst, Self::Crash, Self::Slow];

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Burst => "burst",
            Self::ShortBurst => "burst-short",
            Self::Crash => "crash",
            Self::Slow => "slow",
        }
    }
}
