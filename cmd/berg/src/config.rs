//! Reads the control hosts and the operator's key from the command line and the environment.

use std::env;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use ids::Secret;
use ops::OperatorClient;

use crate::flags::Berg;

/// Why the control hosts or the operator's key cannot be determined.
#[derive(Debug)]
pub(crate) enum ConfigError {
    /// No control host is given.
    NoControl,
    /// The address of a control host is malformed.
    Address(String),
    /// No key file is given.
    NoKey,
    /// The key file cannot be read.
    Unreadable(PathBuf, std::io::Error),
    /// The key file does not contain a valid key.
    Malformed(PathBuf),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoControl => f.write_str("no control host: use --control or set BERG_CONTROL"),
            Self::Address(text) => write!(
                f,
                "control host {text:?} is not an IP address and port, such as 127.0.0.1:7001"
            ),
            Self::NoKey => f.write_str("no operator key: use --key-file or set BERG_KEY_FILE"),
            Self::Unreadable(path, error) => {
                write!(f, "key file {}: {error}", path.display())
            }
            Self::Malformed(path) => {
                write!(
                    f,
                    "key file {}: does not contain a valid operator key",
                    path.display()
                )
            }
        }
    }
}

/// The operator's connection to the control group.
pub(crate) struct Operator {
    pub(crate) client: OperatorClient,
}

impl TryFrom<&Berg> for Operator {
    type Error = ConfigError;

    fn try_from(flags: &Berg) -> Result<Self, ConfigError> {
        let variable = env::var("BERG_CONTROL").unwrap_or_default();
        let from_env = variable
            .split(',')
            .filter(|text| !text.is_empty())
            .map(str::to_owned);
        let addresses: Vec<_> = if flags.control.is_empty() {
            from_env.collect()
        } else {
            flags.control.clone()
        };
        if addresses.is_empty() {
            return Err(ConfigError::NoControl);
        }
        let parse_address =
            |text: &String| text.parse().map_err(|_| ConfigError::Address(text.clone()));
        let hosts: Vec<SocketAddr> = addresses
            .iter()
            .map(parse_address)
            .collect::<Result<_, _>>()?;
        let path = flags
            .key_file
            .clone()
            .or(env::var_os("BERG_KEY_FILE").map(PathBuf::from));
        let path = path.ok_or(ConfigError::NoKey)?;
        let text = fs::read_to_string(&path);
        let text = text.map_err(|error| ConfigError::Unreadable(path.clone(), error))?;
        let key: Secret = text
            .trim()
            .parse()
            .map_err(|_| ConfigError::Malformed(path))?;
        Ok(Self {
            client: OperatorClient::new(hosts, key),
        })
    }
}
