//! The directives of the scenario language.

use std::collections::BTreeMap;
use std::fmt;

use crate::node::Node;

/// A directive of a scenario: its name, its positional arguments and its named ones.
#[derive(Clone, Debug, Default)]
pub struct Directive {
    /// The name of the directive.
    pub name: String,
    /// Arguments without a name, in order.
    pub positional: Vec<String>,
    /// Arguments of the form `name=value`.
    pub named: BTreeMap<String, String>,
}

/// Why a directive cannot be executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectiveError {
    /// No directive has this name.
    Unknown(String),
    /// An argument is missing or invalid: the directive, and the name or position of the argument.
    Argument(String, String),
}

impl fmt::Display for DirectiveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(name) => write!(f, "unknown directive {name:?}"),
            Self::Argument(name, argument) => {
                write!(f, "{name}: argument {argument} is missing or not valid")
            }
        }
    }
}

impl std::error::Error for DirectiveError {}

impl Directive {
    /// A positional argument as a node.
    ///
    /// # Errors
    ///
    /// [`DirectiveError::Argument`] if the argument is missing or invalid.
    pub fn node(&self, index: usize) -> Result<Node, DirectiveError> {
        let invalid = || DirectiveError::Argument(self.name.clone(), format!("{}", index + 1));
        self.positional
            .get(index)
            .and_then(|text| text.parse().ok())
            .ok_or_else(invalid)
    }

    /// A positional argument as text.
    ///
    /// # Errors
    ///
    /// [`DirectiveError::Argument`] if the argument is missing or invalid.
    pub fn text(&self, index: usize) -> Result<&str, DirectiveError> {
        let invalid = || DirectiveError::Argument(self.name.clone(), format!("{}", index + 1));
        self.positional
            .get(index)
            .map(String::as_str)
            .ok_or_else(invalid)
    }

    /// A positional argument as a number.
    ///
    /// # Errors
    ///
    /// [`DirectiveError::Argument`] if the argument is missing or invalid.
    pub fn number(&self, index: usize) -> Result<u64, DirectiveError> {
        let invalid = |_| DirectiveError::Argument(self.name.clone(), format!("{}", index + 1));
        self.text(index)?.parse().map_err(invalid)
    }

    /// A named argument as a number, or the default if it is absent.
    ///
    /// # Errors
    ///
    /// [`DirectiveError::Argument`] if the argument is invalid.
    pub fn option(&self, name: &str, default: u64) -> Result<u64, DirectiveError> {
        let invalid = |_| DirectiveError::Argument(self.name.clone(), name.to_owned());
        self.named
            .get(name)
            .map_or(Ok(default), |text| text.parse().map_err(invalid))
    }
}
