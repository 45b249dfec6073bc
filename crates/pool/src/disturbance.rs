//! What goes wrong in a run, and when.

/// One disturbance of a run, from its first third to its second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// The class with the longest prompts asks four times as often.
    Burst,
    /// One engine of each zone crashes and comes back empty.
    Crash,
    /// One engine takes four times as long for each step and does not say so.
    Slow,
}

impl Disturbance {
    /// Every disturbance.
    pub const ALL: [Self; 4] = [Self::None, Self::Burst, Self::Crash, Self::Slow];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Burst => "burst",
            Self::Crash => "crash",
            Self::Slow => "slow",
        }
    }
}
