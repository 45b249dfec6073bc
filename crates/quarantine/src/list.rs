//! The replicated list of parts in quarantine.

use std::collections::BTreeMap;

use ids::PartId;
use serde::{
    Deserialize,
    Serialize, //
};

/// Parts in quarantine above which the one that ends first is dropped.
const MAX_PARTS: usize = 4096;

/// The span of a part's quarantine, in milliseconds of the leader's Unix time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Sentence {
    /// The first crash that counted. A later response to the part ends its quarantine.
    pub since_ms: u64,
    /// The end of the quarantine.
    pub until_ms: u64,
}

/// The parts in quarantine. Each change increments the version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Quarantine {
    version: u64,
    parts: BTreeMap<PartId, Sentence>,
}

impl Quarantine {
    /// The version: initially 0, incremented by each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A part's sentence, if it is in quarantine.
    pub fn sentence(&self, part: PartId) -> Option<Sentence> {
        self.parts.get(&part).copied()
    }

    /// The parts in quarantine.
    pub fn parts(&self) -> impl Iterator<Item = (PartId, Sentence)> + '_ {
        self.parts.iter().map(|(part, sentence)| (*part, *sentence))
    }

    /// Whether no part is in quarantine.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Puts parts into quarantine. A part that already is in quarantine keeps the start of its
    /// sentence.
    pub fn impose(&mut self, sentences: impl IntoIterator<Item = (PartId, Sentence)>) {
        let before = self.parts.clone();
        for (part, sentence) in sentences {
            let held = self.parts.entry(part).or_insert(sentence);
            held.until_ms = held.until_ms.max(sentence.until_ms);
        }
        while self.parts.len() > MAX_PARTS {
            let first = self.parts.iter().min_by_key(|(_, held)| held.until_ms);
            let Some(part) = first.map(|(part, _)| *part) else {
                break;
            };
            self.parts.remove(&part);
        }
        self.version += u64::from(self.parts != before);
    }

    /// Ends the quarantine of parts.
    pub fn lift(&mut self, parts: &[PartId]) {
        let before = self.parts.len();
        self.parts.retain(|part, _| !parts.contains(part));
        self.version += u64::from(self.parts.len() != before);
    }
}
