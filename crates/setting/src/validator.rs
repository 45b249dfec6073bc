//! Reads a settings file and collects the errors of its fields.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};

use serde::de::DeserializeOwned;

/// An invalid field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The path of the field, such as `limits.body_bytes`.
    pub field: String,
    /// The value in the file.
    pub value: String,
    /// Why the value is invalid, as the predicate of a sentence whose subject is the value.
    pub reason: String,
}

/// Why a settings file is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read: path and reason.
    Unreadable(PathBuf, String),
    /// The file is not valid TOML, or a field is missing, unknown or of the wrong type: path and
    /// reason.
    Malformed(PathBuf, String),
    /// Fields have invalid values: path and errors.
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
                    let separator = if i == 0 { "" } else { "\n" };
                    let FieldError {
                        field,
                        value,
                        reason,
                    } = error;
                    write!(
                        f,
                        "{separator}{}: {field}: {value:?} {reason}",
                        path.display()
                    )?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Parses a settings file into its raw form.
///
/// # Errors
///
/// Returns [`SettingsError::Unreadable`], or [`SettingsError::Malformed`] with line and column if the
/// parser gives a position.
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

/// Formats a byte offset into `text` as a line and a column, both counted from 1.
fn position(text: &str, offset: usize) -> String {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |i| i + 1) + 1;
    format!("line {line}, column {column}: ")
}

/// Validates the fields of one settings file and collects the errors.
#[derive(Debug)]
pub struct Validator {
    path: PathBuf,
    errors: Vec<FieldError>,
}

impl Validator {
    /// Creates a validator for the file at `path`.
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            errors: Vec::new(),
        }
    }

    /// Records that a field is invalid.
    pub fn report(&mut self, field: &str, value: impl fmt::Display, reason: impl fmt::Display) {
        self.errors.push(FieldError {
            field: field.to_owned(),
            value: value.to_string(),
            reason: reason.to_string(),
        });
    }

    /// Parses a value. Records an error and returns `None` if the text is invalid.
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

    /// Parses an address to listen on, which must be a loopback address unless `public` is set.
    pub fn listen(&mut self, field: &str, text: &str, public: bool) -> Option<SocketAddr> {
        let address = self.address(field, text)?;
        if !address.ip().is_loopback() && !public {
            let reason = "is not a loopback address; set public = true to allow it";
            self.report(field, text, reason);
            return None;
        }
        Some(address)
    }

    /// Parses an IP address with a port.
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

    /// Parses a list of addresses, which must not be empty.
    pub fn addresses(&mut self, field: &str, texts: &[String]) -> Vec<SocketAddr> {
        if texts.is_empty() {
            self.report(field, "[]", "must name at least one address");
        }
        texts
            .iter()
            .filter_map(|text| self.address(field, text))
            .collect()
    }

    /// Checks that a number is between `min` and `max`, inclusive, and returns the number either way.
    pub fn in_range(&mut self, field: &str, n: u64, min: u64, max: u64) -> u64 {
        if n < min || n > max {
            self.report(field, n, format!("is not between {min} and {max}"));
        }
        n
    }

    /// Reads a file whose path is relative to the settings file, and trims white space at both ends.
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

    /// Returns the settings if no error was recorded.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Invalid`] if an error was recorded or `settings` is `None`.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, SettingsError> {
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(SettingsError::Invalid(self.path, self.errors)),
        }
    }
}
