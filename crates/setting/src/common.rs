//! The settings that all roles share.

use std::net::SocketAddr;
use std::time::Duration;

use edge::Limits;
use ids::{
    ClusterName,
    HostName, //
};
use obs::LogFormat;
use serde::Deserialize;

use crate::validator::Validator;

/// Minimum length of the cluster secret.
const MIN_SECRET_BYTES: usize = 16;

/// Limits on callers' requests and connections, before validation.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawLimits {
    /// Maximum size of the part of a request before the body, in bytes.
    pub head_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum number of concurrent connections.
    pub connections: u64,
    /// Time limit for receiving a request's head, also on an idle connection, in seconds.
    pub idle_s: u64,
    /// Time limit for receiving a request's body, in seconds.
    pub upload_s: u64,
}

impl Default for RawLimits {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            head_bytes: limits.head_bytes as u64,
            body_bytes: limits.body_bytes as u64,
            connections: limits.max_connections as u64,
            idle_s: limits.idle_timeout.as_secs(),
            upload_s: limits.upload_timeout.as_secs(),
        }
    }
}

/// Log and counter output, before validation.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawLog {
    /// The format of log lines.
    pub format: LogFormat,
    /// The address of the StatsD server that counters are sent to.
    pub statsd: Option<String>,
}

/// The shared settings before validation; see [`raw_settings!`](crate::raw_settings!).
#[derive(Clone, Debug)]
pub struct RawCommon {
    /// The host's name.
    pub host: String,
    /// The cluster's name.
    pub cluster: String,
    /// The path of the file that contains the cluster secret.
    pub secret_file: String,
    /// The address on which the process listens.
    pub listen: String,
    /// Whether the process may listen on an address other than loopback.
    pub public: bool,
    /// Limits on callers' requests and connections.
    pub limits: RawLimits,
    /// Log and counter output.
    pub log: RawLog,
}

/// The shared settings after validation.
#[derive(Clone, Debug)]
pub struct Common {
    /// The host's name.
    pub host: HostName,
    /// The cluster's name.
    pub cluster: ClusterName,
    /// The cluster secret.
    pub secret: String,
    /// The address on which the process listens.
    pub listen: SocketAddr,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// The format of log lines.
    pub format: LogFormat,
    /// The address of the StatsD server that counters are sent to.
    pub statsd: Option<SocketAddr>,
}

impl Common {
    /// Validates the shared settings and records errors in `validator`.
    pub fn check(raw: &RawCommon, validator: &mut Validator) -> Option<Self> {
        let host = validator.parse("host", &raw.host);
        let cluster = validator.parse("cluster", &raw.cluster);
        let secret = validator.file("secret_file", &raw.secret_file);
        if secret
            .as_ref()
            .is_some_and(|secret| secret.len() < MIN_SECRET_BYTES)
        {
            let reason = format!("contains a secret shorter than {MIN_SECRET_BYTES} bytes");
            validator.report("secret_file", &raw.secret_file, reason);
        }
        let listen = validator.listen("listen", &raw.listen, raw.public);
        let statsd = raw.log.statsd.as_ref();
        let statsd = statsd.map(|text| validator.address("log.statsd", text));
        let limits = limits(&raw.limits, validator);
        Some(Self {
            host: host?,
            cluster: cluster?,
            secret: secret?,
            listen: listen?,
            limits,
            format: raw.log.format,
            statsd: statsd.flatten(),
        })
    }
}

fn limits(raw: &RawLimits, validator: &mut Validator) -> Limits {
    const GIB: u64 = 1 << 30;
    let size = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    Limits {
        head_bytes: size(validator.in_range("limits.head_bytes", raw.head_bytes, 8192, GIB)),
        body_bytes: size(validator.in_range("limits.body_bytes", raw.body_bytes, 1024, GIB)),
        max_connections: size(validator.in_range(
            "limits.connections",
            raw.connections,
            1,
            1_000_000,
        )),
        idle_timeout: Duration::from_secs(validator.in_range("limits.idle_s", raw.idle_s, 1, 3600)),
        upload_timeout: Duration::from_secs(validator.in_range(
            "limits.upload_s",
            raw.upload_s,
            1,
            3600,
        )),
    }
}

/// Declares the raw settings of a role: the fields of all roles and the role's own fields.
///
/// The struct has a method `common` that returns the shared settings.
#[macro_export]
macro_rules! raw_settings {
    ($(#[$meta:meta])* struct $name:ident {
        $($(#[$field_meta:meta])* $field:ident: $kind:ty,)*
    }) => {
        $(#[$meta])*
        #[derive(::serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        struct $name {
            host: String,
            cluster: String,
            secret_file: String,
            listen: String,
            #[serde(default)]
            public: bool,
            #[serde(default)]
            limits: $crate::RawLimits,
            #[serde(default)]
            log: $crate::RawLog,
            $($(#[$field_meta])* $field: $kind,)*
        }

        impl $name {
            /// Returns the settings that all roles share.
            fn common(&self) -> $crate::RawCommon {
                $crate::RawCommon {
                    host: self.host.clone(),
                    cluster: self.cluster.clone(),
                    secret_file: self.secret_file.clone(),
                    listen: self.listen.clone(),
                    public: self.public,
                    limits: self.limits.clone(),
                    log: self.log.clone(),
                }
            }
        }
    };
}
