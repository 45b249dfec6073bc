//! Orders and what fronts need of them.

use std::fmt;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Longest name of a service or version, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Longest duration of a rollout, in seconds: 31 days.
const MAX_DURATION_S: f64 = 2_678_400.0;

/// Whether a rollout has ended, and how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// The rollout runs.
    #[default]
    Running,
    /// All requests go to the new version.
    Done,
    /// The new version gets no requests.
    RolledBack,
}

impl State {
    /// Whether the state is final.
    pub fn ended(self) -> bool {
        self != Self::Running
    }
}

/// An order, as replicated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Rises with each order of the group.
    pub id: u64,
    /// The service.
    pub service: String,
    /// The version that the service's requests are moved to.
    pub version: String,
    /// The state.
    pub state: State,
}

/// The part of a service's requests that the new version gets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Exposure {
    /// No requests: before the first step and after a roll-back.
    #[default]
    None,
    /// At most this part, between 0 and 1.
    Share(f64),
    /// All requests.
    All,
}

/// What fronts need of one running or ended order.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stage {
    /// The order's id.
    pub id: u64,
    /// The service.
    pub service: String,
    /// The new version.
    pub version: String,
    /// The part of the requests that the new version gets.
    pub exposure: Exposure,
}

/// The stages of all orders. Each change increments the version.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stages {
    /// The version: initially 0.
    pub version: u64,
    /// The newest order of each service.
    pub stages: Vec<Stage>,
}

/// An order as an operator sent it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawOrder {
    /// The service.
    pub service: String,
    /// The version that the service's requests are moved to.
    pub version: String,
    /// The time until the deadline, in seconds.
    pub duration_s: f64,
}

/// A valid request for a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRequest {
    service: String,
    version: String,
    duration: Duration,
}

impl OrderRequest {
    /// The service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// The version that the service's requests are moved to.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// The time from the order to its deadline.
    pub fn duration(&self) -> Duration {
        self.duration
    }
}

/// Why a request for a rollout is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The service's name is empty or too long.
    Service,
    /// The version's name is empty or too long.
    Version,
    /// The duration is not positive, or too long.
    Duration,
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Service => "the name of the service is empty or too long",
            Self::Version => "the version is empty or too long",
            Self::Duration => "the duration is not positive, or too long",
        })
    }
}

impl std::error::Error for OrderError {}

impl TryFrom<RawOrder> for OrderRequest {
    type Error = OrderError;

    fn try_from(raw: RawOrder) -> Result<Self, OrderError> {
        let valid = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        if !valid(&raw.service) {
            return Err(OrderError::Service);
        }
        if !valid(&raw.version) {
            return Err(OrderError::Version);
        }
        // The comparison also excludes a duration that is not a number.
        let positive = raw.duration_s > 0.0 && raw.duration_s <= MAX_DURATION_S;
        let duration = Duration::try_from_secs_f64(raw.duration_s).unwrap_or_default();
        if !positive || duration.is_zero() {
            return Err(OrderError::Duration);
        }
        Ok(Self {
            service: raw.service,
            version: raw.version,
            duration,
        })
    }
}
