//! What callers ask: three classes of streams with prompts that share parts.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg32;
use relay::Prompt;

/// A class of requests. The figures are those of the first users' sheet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    pub(crate) path: &'static str,
    /// Requests a second at a load of 1.
    pub(crate) rate: f64,
    /// Parts that all share: how many there are, and tokens of each.
    common: (u64, u64),
    /// Sessions: how many there are, and tokens of the part that each has to itself.
    sessions: (u64, u64),
    /// Tokens of the request's own part.
    own: u64,
    /// Tokens of the answer.
    pub(crate) output: u64,
    pub(crate) target: Duration,
    pub(crate) pause: Duration,
    pub(crate) patience: Duration,
}

/// Bytes of a prompt for each of its tokens, as measured on a quiet day.
const BYTES: f64 = 3.0;

pub(crate) const CLASSES: [Class; 3] = [
    Class {
        path: "/review/",
        rate: 39.1,
        common: (4, 2520),
        sessions: (415, 3780),
        own: 2890,
        output: 54,
        target: Duration::from_millis(1200),
        pause: Duration::from_millis(800),
        patience: Duration::from_millis(4000),
    },
    Class {
        path: "/notes/",
        rate: 27.7,
        common: (40, 341),
        sessions: (130, 227),
        own: 1800,
        output: 24,
        target: Duration::from_millis(400),
        pause: Duration::from_millis(300),
        patience: Duration::from_millis(3000),
    },
    Class {
        path: "/live/",
        rate: 14.5,
        common: (8, 103),
        sessions: (102, 69),
        own: 543,
        output: 282,
        target: Duration::from_millis(300),
        pause: Duration::from_millis(200),
        patience: Duration::from_millis(12_000),
    },
];

impl Class {
    /// A prompt of this class; `serial` makes its own part unlike any other.
    pub(crate) fn prompt(&self, at: usize, serial: u64, rng: &mut Pcg32) -> Prompt {
        let class = (at as u64 + 1) << 40;
        let session = rng.random_range(0..self.sessions.0);
        let common = session % self.common.0;
        let parts = vec![
            (class | 1 << 32 | common, self.common.1),
            (class | 2 << 32 | session, self.sessions.1),
            (class | 3 << 32 | serial, self.own),
        ];
        Prompt {
            input_tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
            max_output: self.output,
            parts,
        }
    }

    /// Bytes of a request's body.
    pub(crate) fn size(prompt: &Prompt) -> usize {
        (prompt.input_tokens as f64 * BYTES) as usize
    }
}
