//! The simulated requests: three classes of streams whose prompts share parts.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg32;
use relay::Prompt;

/// A class of requests. The figures come from the first users' workload description.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    pub(crate) path: &'static str,
    /// Requests per second at a load of 1.
    pub(crate) rate: f64,
    /// Prompt beginnings shared by several sessions: their number and the tokens of each.
    shared_parts: (u64, u64),
    /// Sessions: their number and the tokens of the prompt part that the requests of one session
    /// share.
    session_parts: (u64, u64),
    /// Tokens of the prompt part that no other request shares.
    unique_tokens: u64,
    /// Tokens of the response.
    pub(crate) output_tokens: u64,
    /// Limit for the time to the first event of a response that counts as on time.
    pub(crate) latency_target: Duration,
    /// Limit for the pause between two events of a response that counts as on time.
    pub(crate) event_gap: Duration,
    /// Time after which the client cancels the request.
    pub(crate) timeout: Duration,
}

/// Bytes of a request's body for each prompt token.
const BYTES_PER_TOKEN: f64 = 3.0;

pub(crate) const CLASSES: [Class; 3] = [
    Class {
        path: "/review/",
        rate: 39.1,
        shared_parts: (4, 2520),
        session_parts: (415, 3780),
        unique_tokens: 2890,
        output_tokens: 54,
        latency_target: Duration::from_millis(1200),
        event_gap: Duration::from_millis(800),
        timeout: Duration::from_millis(4000),
    },
    Class {
        path: "/notes/",
        rate: 27.7,
        shared_parts: (40, 341),
        session_parts: (130, 227),
        unique_tokens: 1800,
        output_tokens: 24,
        latency_target: Duration::from_millis(400),
        event_gap: Duration::from_millis(300),
        timeout: Duration::from_millis(3000),
    },
    Class {
        path: "/live/",
        rate: 14.5,
        shared_parts: (8, 103),
        session_parts: (102, 69),
        unique_tokens: 543,
        output_tokens: 282,
        latency_target: Duration::from_millis(300),
        event_gap: Duration::from_millis(200),
        timeout: Duration::from_millis(12_000),
    },
];

pub(crate) const SURVEY_CLASSES: [Class; 3] = [
    Class {
        path: "/digest/",
        rate: 208.0,
        shared_parts: (1, 0),
        session_parts: (1034, 13_300),
        unique_tokens: 3720,
        output_tokens: 119,
        latency_target: Duration::from_millis(1200),
        event_gap: Duration::from_millis(800),
        timeout: Duration::from_millis(8000),
    },
    Class {
        path: "/quote/",
        rate: 119.0,
        shared_parts: (4, 2520),
        session_parts: (514, 3780),
        unique_tokens: 2890,
        output_tokens: 49,
        latency_target: Duration::from_millis(400),
        event_gap: Duration::from_millis(300),
        timeout: Duration::from_millis(4000),
    },
    Class {
        path: "/query/",
        rate: 172.0,
        shared_parts: (80, 210),
        session_parts: (742, 140),
        unique_tokens: 1110,
        output_tokens: 175,
        latency_target: Duration::from_millis(250),
        event_gap: Duration::from_millis(200),
        timeout: Duration::from_millis(8000),
    },
];

/// The classes of the workload with uneven fronts. Only the short streams state a limit for pauses;
/// the others use their latency target. Prompts are divided as in [`CLASSES`], with sessions in
/// proportion to the rates.
pub(crate) const UNEVEN_CLASSES: [Class; 3] = [
    Class {
        path: "/long/",
        rate: 133.0,
        shared_parts: (4, 2520),
        session_parts: (1411, 3780),
        unique_tokens: 2890,
        output_tokens: 52,
        latency_target: Duration::from_millis(1500),
        event_gap: Duration::from_millis(1500),
        timeout: Duration::from_millis(6000),
    },
    Class {
        path: "/middle/",
        rate: 68.5,
        shared_parts: (40, 341),
        session_parts: (321, 227),
        unique_tokens: 1800,
        output_tokens: 24,
        latency_target: Duration::from_millis(500),
        event_gap: Duration::from_millis(500),
        timeout: Duration::from_millis(4000),
    },
    Class {
        path: "/short/",
        rate: 60.1,
        shared_parts: (8, 103),
        session_parts: (423, 69),
        unique_tokens: 543,
        output_tokens: 280,
        latency_target: Duration::from_millis(300),
        event_gap: Duration::from_millis(200),
        timeout: Duration::from_millis(15_000),
    },
];

/// The classes of the workload with engines of three speeds, divided in the same way.
pub(crate) const MIXED_CLASSES: [Class; 3] = [
    Class {
        path: "/long/",
        rate: 132.0,
        shared_parts: (4, 2520),
        session_parts: (1401, 3780),
        unique_tokens: 2890,
        output_tokens: 52,
        latency_target: Duration::from_millis(1500),
        event_gap: Duration::from_millis(1500),
        timeout: Duration::from_millis(4000),
    },
    Class {
        path: "/middle/",
        rate: 124.0,
        shared_parts: (40, 341),
        session_parts: (582, 227),
        unique_tokens: 1800,
        output_tokens: 24,
        latency_target: Duration::from_millis(500),
        event_gap: Duration::from_millis(500),
        timeout: Duration::from_millis(3000),
    },
    Class {
        path: "/short/",
        rate: 42.3,
        shared_parts: (8, 103),
        session_parts: (298, 69),
        unique_tokens: 543,
        output_tokens: 280,
        latency_target: Duration::from_millis(400),
        event_gap: Duration::from_millis(250),
        timeout: Duration::from_millis(12_000),
    },
];

impl Class {
    /// The class at engines of another speed: the same work in less or more time.
    pub(crate) fn at_speed(&self, speed: f64) -> Self {
        Self {
            rate: self.rate * speed,
            latency_target: self.latency_target.div_f64(speed),
            event_gap: self.event_gap.div_f64(speed),
            timeout: self.timeout.div_f64(speed),
            ..*self
        }
    }

    /// Draws a prompt of this class from a random session. `serial` makes the identity of the last
    /// part unique.
    pub(crate) fn prompt(&self, class_index: usize, serial: u64, rng: &mut Pcg32) -> Prompt {
        let class = (class_index as u64 + 1) << 40;
        let session = rng.random_range(0..self.session_parts.0);
        let shared = session % self.shared_parts.0;
        let parts = vec![
            (class | 1 << 32 | shared, self.shared_parts.1),
            (class | 2 << 32 | session, self.session_parts.1),
            (class | 3 << 32 | serial, self.unique_tokens),
        ];
        Prompt {
            input_tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
            max_output: self.output_tokens,
            parts,
        }
    }

    /// Returns the size of the request body that contains a prompt.
    pub(crate) fn body_bytes(prompt: &Prompt) -> usize {
        (prompt.input_tokens as f64 * BYTES_PER_TOKEN) as usize
    }
}
