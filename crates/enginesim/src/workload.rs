//! The simulated workloads: a deployment and the classes of requests that it serves.

use crate::deployment::ZONES;
use crate::disturbance::Disturbance;
use crate::engine::EngineSpec;
use crate::traffic::{
    CLASSES,
    Class,
    MIXED_CLASSES,
    SURVEY_CLASSES,
    UNEVEN_CLASSES, //
};

/// Speeds of the engines of a workload with unequal engines, in equal numbers.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// Callers of the fronts of a workload with unequal fronts, in turn.
const CALLERS: [usize; 9] = [1, 1, 1, 1, 1, 1, 2, 3, 4];

/// A deployment and its traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Seven fronts and twelve engines. Sessions share moderately long prompts.
    Studio,
    /// Thirty fronts and 51 engines. The largest class shares documents of 13,300 tokens, so a front
    /// sends each engine a request only every few seconds, and each cache miss is expensive.
    Survey,
    /// 27 fronts, some of which have two to four times the callers of others, and 46 engines. Long
    /// prompts of the least urgent class interrupt the streams of the most urgent one.
    Uneven,
    /// 27 fronts and 38 engines of three speeds.
    Mixed,
}

impl Workload {
    /// Every workload.
    pub const ALL: [Self; 4] = [Self::Studio, Self::Survey, Self::Uneven, Self::Mixed];

    /// The disturbances to compare policies under.
    pub fn disturbances(self) -> Vec<Disturbance> {
        let mut disturbances = Disturbance::ALL.to_vec();
        if self.has_neighbors() {
            disturbances.push(Disturbance::ShortBurst);
        }
        disturbances
    }

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Studio => "studio",
            Self::Survey => "survey",
            Self::Uneven => "uneven",
            Self::Mixed => "mixed",
        }
    }

    pub(crate) fn fronts(self) -> usize {
        match self {
            Self::Studio => 7,
            Self::Survey => 30,
            Self::Uneven | Self::Mixed => 27,
        }
    }

    pub(crate) fn engines(self) -> usize {
        match self {
            Self::Studio => 12,
            Self::Survey => 51,
            Self::Uneven => 46,
            Self::Mixed => 38,
        }
    }

    /// The callers of a front, relative to those of others.
    pub(crate) fn callers(self, front: usize) -> usize {
        match self {
            Self::Uneven => CALLERS[front % CALLERS.len()],
            Self::Studio | Self::Survey | Self::Mixed => 1,
        }
    }

    /// The speed of an engine, as a multiple of the speed of [`Workload::engine`]. Each zone has
    /// engines of each speed.
    pub(crate) fn engine_speed(self, engine: usize) -> f64 {
        match self {
            Self::Mixed => SPEEDS[(engine + engine / ZONES) % SPEEDS.len()],
            Self::Studio | Self::Survey | Self::Uneven => 1.0,
        }
    }

    /// Whether engines share their machines with other workloads, whose load varies.
    pub(crate) fn has_neighbors(self) -> bool {
        matches!(self, Self::Uneven | Self::Mixed)
    }

    /// Response tokens in one event of a stream.
    pub(crate) fn event_tokens(self) -> u64 {
        match self {
            Self::Studio | Self::Survey => 6,
            Self::Uneven => 4,
            Self::Mixed => 8,
        }
    }

    /// The classes of requests, for engines at a multiple of their speed.
    pub(crate) fn classes(self, speed: f64) -> [Class; 3] {
        let classes = match self {
            Self::Studio => &CLASSES,
            Self::Survey => &SURVEY_CLASSES,
            Self::Uneven => &UNEVEN_CLASSES,
            Self::Mixed => &MIXED_CLASSES,
        };
        classes.each_ref().map(|class| class.at_speed(speed))
    }

    /// The engines of the workload.
    pub fn engine(self) -> EngineSpec {
        match self {
            Self::Studio => EngineSpec::default(),
            Self::Survey => EngineSpec {
                slots: 128,
                max_queued: 268,
                kv_tokens: 1_025_784,
                step_ms: 3.55,
                request_ms: 0.0444,
                prefill_rate: 157.0,
                chunk_tokens: 2048,
                preempts: false,
            },
            Self::Uneven => EngineSpec {
                kv_tokens: 308_776,
                step_ms: 5.95,
                request_ms: 0.0445,
                prefill_rate: 50.7,
                preempts: true,
                ..EngineSpec::default()
            },
            Self::Mixed => EngineSpec {
                kv_tokens: 348_781,
                chunk_tokens: 4096,
                preempts: true,
                ..EngineSpec::default()
            },
        }
    }

    /// Factor on the request rate of one class during a burst.
    pub(crate) fn burst_factor(self) -> f64 {
        match self {
            Self::Studio | Self::Mixed => 4.0,
            Self::Survey => 2.8,
            Self::Uneven => 3.0,
        }
    }
}
