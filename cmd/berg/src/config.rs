//! Who operates, and where: the command line and the environment, checked.

use std::env;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use ids::Secret;
use ops::OperatorClient;

use crate::flags::Berg;

/// What is missing or wrong.
#[derive(Debug)]
pub(crate) enum ConfigError {
    /// No control host is named.
    NoControl,
    /// A control host's address is malformed.
    Address(String),
    /// No file with a key is named.
    NoKey,
    /// The file with the key cannot be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file holds no key.
    Malformed(PathBuf),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoControl => f.write_str("no control host: use --control or set BERG_CONTROL"),
            Self::Address(text) => write!(
                f,
                "--control: {text:?} is not an IP number and port, such as 127.0.0.1:7001"
            ),
            Self::NoKey => f.write_str("no operator key: use --key-file or set BERG_KEY_FILE"),
            Self::Unreadable(path, fault) => write!(f, "--key-file: {}: {fault}", path.display()),
            Self::Malformed(path) => {
                write!(f, "--key-file: {}: holds no operator key", path.display())
            }
        }
    }
}

/// The operator at work.
pub(crate) struct Operator {
    pub(crate) ops: OperatorClient,
}

impl TryFrom<&Berg> for Operator {
    type Error = ConfigError;

    fn try_from(flags: &Berg) -> Result<Self, ConfigError> {
        let named = env::var("BERG_CONTROL").unwrap_or_default();
        let from_env = named
            .split(',')
            .filter(|text| !text.is_empty())
            .map(str::to_owned);
        let texts: Vec<_> = if flags.control.is_empty() {
            from_env.collect()
        } else {
            flags.control.clone()
        };
        if texts.is_empty() {
            return Err(ConfigError::NoControl);
        }
        let address = |text: &String| text.parse().map_err(|_| ConfigError::Address(text.clone()));
        let hosts: Vec<SocketAddr> = texts.iter().map(address).collect::<Result<_, _>>()?;
        let path = flags
            .key_file
            .clone()
            .or(env::var_os("BERG_KEY_FILE").map(PathBuf::from));
        let path = path.ok_or(ConfigError::NoKey)?;
        let text = fs::read_to_string(&path);
        let text = text.map_err(|fault| ConfigError::Unreadable(path.clone(), fault))?;
        let key: Secret = text
            .trim()
            .parse()
            .map_err(|_| ConfigError::Malformed(path))?;
        Ok(Self {
            ops: OperatorClient::new(hosts, key),
        })
    }
}
