//! What goes wrong in a run, and when.

/// One disturbance of a run; all begin a third into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// The second class sends four times as much for 10 s.
    Burst,
    /// One engine runs at a quarter of its speed; its report does not say so.
    Straggler,
    /// One engine crashes and comes back cold.
    Crash,
    /// One engine loses its caches and its warmth without a word.
    Cold,
    /// Operators take a zone out; it returns cold 20 s later.
    Zone,
    /// One account sends six times its share until the end.
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

    /// Its name.
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
