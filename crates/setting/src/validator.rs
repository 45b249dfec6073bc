//! Reading a file and collecting its errors.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};

use serde::de::DeserializeOwned;

/// One fault: the field, its value and what is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The field, with its tables, such as `limits.body_bytes`.
    pub field: String,
    /// The value as written.
    pub value: String,
    /// What is wrong, as the end of a sentence.
    pub reason: String,
}

/// Why a settings file is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read: path and reason.
    Unreadable(PathBuf, String),
    /// It is not TOML, or a field is missing, unknown or of another type.
    Malformed(PathBuf, String),
    /// Fields have values that cannot be.
    Invalid(PathBuf, Vec<FieldError>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, reason) => {
                write!(f, "{}: cannot be read: {reason}", path.display())
            }
            Self::Malformed(path, reason) => write!(f, "{}: {reason}", path.display()),
            Self::Invalid(path, errors) => {
                for (i, error) in errors.iter().enumerate() {
                    let end = if i == 0 { "" } else { "\n" };
                    let FieldError {
                        field,
                        value,
                        reason,
                    } = error;
                    write!(f, "{end}{}: {field}: {value:?} {reason}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads a file into its raw form.
///
/// # Errors
///
/// [`SettingsError::Unreadable`] or [`SettingsError::Malformed`], the latter with line and column.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|error| SettingsError::Unreadable(path.to_owned(), error.to_string()))?;
    toml::from_str(&text).map_err(|error| {
        let position = error
            .span()
            .map_or(String::new(), |span| position(&text, span.start));
        let reason = error.message().replace('\n', " ");
        SettingsError::Malformed(path.to_owned(), format!("{position}{reason}"))
    })
}

fn position(text: &str, at: usize) -> String {
    let before = &text[..at.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |i| i + 1) + 1;
    format!("line {line}, column {column}: ")
}

/// Collects the errors of one file.
#[derive(Debug)]
pub struct Validator {
    path: PathBuf,
    errors: Vec<FieldError>,
}

impl Validator {
    /// Begins to check the values of a file.
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            errors: Vec::new(),
        }
    }

    /// Records an error.
    pub fn report(&mut self, field: &str, value: impl fmt::Display, reason: impl fmt::Display) {
        self.errors.push(FieldError {
            field: field.to_owned(),
            value: value.to_string(),
            reason: reason.to_string(),
        });
    }

    /// A value from its text.
    pub fn parse<T>(&mut self, field: &str, text: &str) -> Option<T>
    where
        T: std::str::FromStr<Err: fmt::Display>,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(field, text, format!("is not valid: {error}"));
                None
            }
        }
    }

    /// An address to listen on; it must be a loopback address unless `public` is set.
    pub fn listen(&mut self, field: &str, text: &str, public: bool) -> Option<SocketAddr> {
        let address = self.address(field, text)?;
        if !address.ip().is_loopback() && !public {
            let reason = "is not a loopback address; set public = true to allow it";
            self.report(field, text, reason);
            return None;
        }
        Some(address)
    }

    /// An address, by IP number and port.
    pub fn address(&mut self, field: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.report(
                field,
                text,
                "is not an IP number and port, such as 127.0.0.1:8080",
            );
        }
        address
    }

    /// Several addresses, at least one.
    pub fn addresses(&mut self, field: &str, texts: &[String]) -> Vec<SocketAddr> {
        if texts.is_empty() {
            self.report(field, "[]", "must name at least one address");
        }
        texts
            .iter()
            .filter_map(|text| self.address(field, text))
            .collect()
    }

    /// A number within bounds.
    pub fn in_range(&mut self, field: &str, n: u64, least: u64, most: u64) -> u64 {
        if n < least || n > most {
            self.report(field, n, format!("is not between {least} and {most}"));
        }
        n
    }

    /// A text from a file named relative to the settings file, without blanks at its ends.
    pub fn file(&mut self, field: &str, name: &str) -> Option<String> {
        let path = self.path.parent().unwrap_or(Path::new("")).join(name);
        match fs::read_to_string(&path) {
            Ok(text) => Some(text.trim().to_owned()),
            Err(error) => {
                self.report(field, name, format!("cannot be read: {error}"));
                None
            }
        }
    }

    /// Ends the check.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] if any was noted, or if `settings` is none.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, SettingsError> {
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(SettingsError::Invalid(self.path, self.errors)),
        }
    }
}
