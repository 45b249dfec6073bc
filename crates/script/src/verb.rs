//! The verbs of the language.

use std::collections::BTreeMap;
use std::fmt;

use crate::node::Node;

/// A line of a scenario: a verb, its plain arguments and its named ones.
#[derive(Clone, Debug, Default)]
pub struct Verb {
    /// The verb.
    pub name: String,
    /// Arguments without a name, in order.
    pub plain: Vec<String>,
    /// Arguments of the form `name=value`.
    pub named: BTreeMap<String, String>,
}

/// A verb that cannot be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VerbError {
    /// There is no such verb.
    Unknown(String),
    /// An argument is missing or not valid: the verb, and which.
    Argument(String, String),
}

impl fmt::Display for VerbError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(verb) => write!(f, "there is no verb {verb:?}"),
            Self::Argument(verb, which) => write!(f, "{verb}: argument {which} is not valid"),
        }
    }
}

impl std::error::Error for VerbError {}

impl Verb {
    /// The node named by a plain argument.
    ///
    /// # Errors
    ///
    /// [`VerbError::Argument`].
    pub fn node(&self, at: usize) -> Result<Node, VerbError> {
        let fault = || VerbError::Argument(self.name.clone(), format!("{}", at + 1));
        self.plain
            .get(at)
            .and_then(|text| text.parse().ok())
            .ok_or_else(fault)
    }

    /// A plain argument as text.
    ///
    /// # Errors
    ///
    /// [`VerbError::Argument`].
    pub fn text(&self, at: usize) -> Result<&str, VerbError> {
        let fault = || VerbError::Argument(self.name.clone(), format!("{}", at + 1));
        self.plain.get(at).map(String::as_str).ok_or_else(fault)
    }

    /// A plain argument as a number.
    ///
    /// # Errors
    ///
    /// [`VerbError::Argument`].
    pub fn number(&self, at: usize) -> Result<u64, VerbError> {
        let fault = |_| VerbError::Argument(self.name.clone(), format!("{}", at + 1));
        self.text(at)?.parse().map_err(fault)
    }

    /// A named argument as a number, or what it is unless given.
    ///
    /// # Errors
    ///
    /// [`VerbError::Argument`].
    pub fn option(&self, name: &str, unless: u64) -> Result<u64, VerbError> {
        let fault = |_| VerbError::Argument(self.name.clone(), name.to_owned());
        self.named
            .get(name)
            .map_or(Ok(unless), |text| text.parse().map_err(fault))
    }
}
