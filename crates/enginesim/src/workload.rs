//! The simulated workloads: a deployment and the classes of requests that it serves.

use crate::engine::EngineSpec;
use crate::traffic::{
    CLASSES,
    Class,
    SURVEY_CLASSES, //
};

/// A deployment and its traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Seven fronts and twelve engines. Sessions share moderately long prompts.
    Studio,
    /// Thirty fronts and 51 engines. The largest class shares documents of 13,300 tokens, so a front
    /// sends each engine a request only every few seconds, and each cache miss is expensive.
    Survey,
}

impl Workload {
    /// Every workload.
    pub const ALL: [Self; 2] = [Self::Studio, Self::Survey];

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Studio => "studio",
            Self::Survey => "survey",
        }
    }

    pub(crate) fn fronts(self) -> usize {
        match self {
            Self::Studio => 7,
            Self::Survey => 30,
        }
    }

    pub(crate) fn engines(self) -> usize {
        match self {
            Self::Studio => 12,
            Self::Survey => 51,
        }
    }

    /// The classes of requests, for engines at a multiple of their speed.
    pub(crate) fn classes(self, speed: f64) -> [Class; 3] {
        let classes = match self {
            Self::Studio => &CLASSES,
            Self::Survey => &SURVEY_CLASSES,
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
            },
        }
    }

    /// Factor on the request rate of the class with the longest prompts during a burst.
    pub(crate) fn burst_factor(self) -> f64 {
        match self {
            Self::Studio => 4.0,
            Self::Survey => 2.8,
        }
    }
}
