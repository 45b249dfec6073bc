//! The command line. The part after `generated start` is generated from the `xflags!` definition.

#![allow(missing_docs, unreachable_pub, unused_qualifications, clippy::all)]

use std::path::PathBuf;

xflags::xflags! {
    src "./src/flags.rs"

    /// Operates a bergamothinge cluster.
    cmd berg {
        /// Address of a control host, such as 127.0.0.1:7001. May be repeated. Defaults to the
        /// comma-separated addresses in the environment variable BERG_CONTROL.
        repeated --control address: String
        /// File with your operator key. Defaults to the path in the environment variable
        /// BERG_KEY_FILE.
        optional --key-file file: PathBuf
        /// Print the result as JSON.
        optional --json
        /// Wait up to 30 seconds until every process has applied the change.
        optional --wait
        /// Print the version and exit.
        optional -V,--version

        /// Show the control hosts and the processes that subscribe to the configuration.
        cmd status {}
        /// Show the timeline of one request from log files.
        cmd explain {
            /// Identity of the request, as in the logs.
            required request: String
            /// Log files. Reads standard input if none is given.
            repeated log: PathBuf
        }
        /// Make the configuration equal to a file.
        cmd apply {
            /// Configuration file in TOML.
            required file: PathBuf
        }
        /// Show what `apply` would change.
        cmd diff {
            /// Configuration file in TOML.
            required file: PathBuf
        }
        /// Show the current configuration, one change per line.
        cmd config {}
        /// Show the usage windows.
        cmd usage {}
        /// Manage the API keys of client accounts.
        cmd key {
            /// Create a key and print it. The key cannot be shown again.
            cmd key-new new {
                /// Name of the client account.
                required account: String
                /// Name of the key. Generated if not given.
                optional --name name: String
                /// Class of the requests that use the key; the route's class if not given.
                optional --class class: String
            }
            /// Withdraw a key permanently.
            cmd key-withdraw withdraw {
                /// Name of the key.
                required name: String
            }
            /// List the keys by name. Their texts are not stored and not shown.
            cmd key-list list {}
        }
        /// Manage client accounts.
        cmd account {
            /// Create an account or update its weight.
            cmd account-put put {
                /// Name of the account.
                required name: String
                /// Weight in fair sharing with other accounts of the same class; 1 if not given.
                optional --weight weight: u32
            }
            /// Close an account permanently and withdraw its keys.
            cmd account-close close {
                /// Name of the account.
                required name: String
            }
            /// List the accounts.
            cmd account-list list {}
        }
        /// Manage request classes.
        cmd class {
            /// Create or update a class.
            cmd class-put put {
                /// Name of the class.
                required name: String
                /// Tier, from 0 (highest) to 3.
                required --tier tier: u8
                /// Target for the time to the first token, in milliseconds.
                required --first-ms first: u64
                /// Target for the time between tokens, in milliseconds.
                required --gap-ms gap: u64
                /// Minimum share of an endpoint's slots for the class while requests of higher tiers
                /// are queued, in percent; 0 if not given.
                optional --reserve percent: u8
            }
            /// Remove a class that no other record refers to.
            cmd class-drop drop {
                /// Name of the class.
                required name: String
            }
            /// List the classes.
            cmd class-list list {}
        }
        /// Manage availability zones.
        cmd zone {
            /// Create or update a zone, and open it.
            cmd zone-put put {
                /// Name of the zone.
                required name: String
                /// Region of the zone.
                required --region region: String
                /// Maximum number of endpoints that the zone can run; unlimited if not given. Not
                /// enforced.
                optional --capacity n: u32
            }
            /// Close a zone. Within a few seconds it receives no new requests.
            cmd zone-close close {
                /// Name of the zone.
                required name: String
            }
            /// Reopen a zone for new requests.
            cmd zone-open open {
                /// Name of the zone.
                required name: String
            }
            /// Remove a zone that has no endpoints.
            cmd zone-drop drop {
                /// Name of the zone.
                required name: String
            }
            /// List the zones.
            cmd zone-list list {}
        }
        /// Manage routes.
        cmd route {
            /// Create or update a route to a model.
            cmd route-model model {
                /// Name of the route.
                required name: String
                /// Model name in the callers' requests.
                required --model model: String
                /// Class of requests for which neither the key nor the caller selects another one.
                required --class class: String
            }
            /// Create or update a route to a service by path prefix.
            cmd route-service service {
                /// Name of the route.
                required name: String
                /// Path prefix, such as /permits.
                required --prefix prefix: String
                /// Class of requests for which neither the key nor the caller selects another one.
                required --class class: String
                /// HTTP method that is idempotent on this route, such as GET. May be repeated.
                repeated --idempotent method: String
            }
            /// Remove a route that no endpoint serves.
            cmd route-drop drop {
                /// Name of the route.
                required name: String
            }
            /// List the routes.
            cmd route-list list {}
        }
        /// Manage endpoints.
        cmd endpoint {
            /// Create or update an endpoint.
            cmd endpoint-put put {
                /// Name of the endpoint.
                required name: String
                /// Zone of the endpoint.
                required --zone zone: String
                /// Route that the endpoint serves. May be repeated.
                repeated --route route: String
                /// Address and port of the endpoint's agent.
                required --agent address: String
                /// Number of concurrent requests when the endpoint is warm.
                required --slots n: u32
            }
            /// Drain an endpoint: it completes its requests and receives no new ones.
            cmd endpoint-leave leave {
                /// Name of the endpoint.
                required name: String
            }
            /// Remove an endpoint.
            cmd endpoint-drop drop {
                /// Name of the endpoint.
                required name: String
            }
            /// List the endpoints.
            cmd endpoint-list list {}
        }
        /// Export, check and apply the planners' sheet.
        cmd sheet {
            /// Print a sheet that keeps all current records.
            cmd sheet-export export {}
            /// Check a sheet against the current configuration.
            cmd sheet-check check {
                /// Sheet in CSV.
                required file: PathBuf
                /// Allow the sheet to close more than 30 percent of the accounts and keys.
                optional --allow-large
            }
            /// Show what `apply` would change.
            cmd sheet-diff diff {
                /// Sheet in CSV.
                required file: PathBuf
                /// Allow the sheet to close more than 30 percent of the accounts and keys.
                optional --allow-large
            }
            /// Apply the changes of a sheet, all or none.
            cmd sheet-apply apply {
                /// Sheet in CSV.
                required file: PathBuf
                /// Allow the sheet to close more than 30 percent of the accounts and keys.
                optional --allow-large
                /// Apply the sheet to the current revision even if it is based on an older one.
                optional --on-current
            }
        }
        /// Manage the hosts of the control group.
        cmd member {
            /// Add a host. It becomes a voter after it has replicated the log.
            cmd member-add add {
                /// Name of the host.
                required host: String
                /// Address and port where the other control hosts reach the host.
                required --address address: String
                /// Identity that `berg-control --join` printed.
                required --id id: String
            }
            /// Remove a host from the control group.
            cmd member-remove remove {
                /// Identity of the host, as in `berg member list`.
                required id: String
            }
            /// List the hosts of the control group.
            cmd member-list list {}
        }
    }
}
// generated start
// The following code is generated by `xflags` macro.
// Run `env UPDATE_XFLAGS=1 cargo build` to regenerate.
#[derive(Debug)]
pub struct Berg {
    pub control: Vec<String>,
    pub key_file: Option<PathBuf>,
    pub json: bool,
    pub wait: bool,
    pub version: bool,
    pub subcommand: BergCmd,
}

#[derive(Debug)]
pub enum BergCmd {
    Status(Status),
    Explain(Explain),
    Apply(Apply),
    Diff(Diff),
    Config(Config),
    Usage(Usage),
    Key(Key),
    Account(Account),
    Class(Class),
    Zone(Zone),
    Route(Route),
    Endpoint(Endpoint),
    Sheet(Sheet),
    Member(Member),
}

#[derive(Debug)]
pub struct Status;

#[derive(Debug)]
pub struct Explain {
    pub request: String,
    pub log: Vec<PathBuf>,
}

#[derive(Debug)]
pub struct Apply {
    pub file: PathBuf,
}

#[derive(Debug)]
pub struct Diff {
    pub file: PathBuf,
}

#[derive(Debug)]
pub struct Config;

#[derive(Debug)]
pub struct Usage;

#[derive(Debug)]
pub struct Key {
    pub subcommand: KeyCmd,
}

#[derive(Debug)]
pub enum KeyCmd {
    KeyNew(KeyNew),
    KeyWithdraw(KeyWithdraw),
    KeyList(KeyList),
}

#[derive(Debug)]
pub struct KeyNew {
    pub account: String,

    pub name: Option<String>,
    pub class: Option<String>,
}

#[derive(Debug)]
pub struct KeyWithdraw {
    pub name: String,
}

#[derive(Debug)]
pub struct KeyList;

#[derive(Debug)]
pub struct Account {
    pub subcommand: AccountCmd,
}

#[derive(Debug)]
pub enum AccountCmd {
    AccountPut(AccountPut),
    AccountClose(AccountClose),
    AccountList(AccountList),
}

#[derive(Debug)]
pub struct AccountPut {
    pub name: String,

    pub weight: Option<u32>,
}

#[derive(Debug)]
pub struct AccountClose {
    pub name: String,
}

#[derive(Debug)]
pub struct AccountList;

#[derive(Debug)]
pub struct Class {
    pub subcommand: ClassCmd,
}

#[derive(Debug)]
pub enum ClassCmd {
    ClassPut(ClassPut),
    ClassDrop(ClassDrop),
    ClassList(ClassList),
}

#[derive(Debug)]
pub struct ClassPut {
    pub name: String,

    pub tier: u8,
    pub first_ms: u64,
    pub gap_ms: u64,
    pub reserve: Option<u8>,
}

#[derive(Debug)]
pub struct ClassDrop {
    pub name: String,
}

#[derive(Debug)]
pub struct ClassList;

#[derive(Debug)]
pub struct Zone {
    pub subcommand: ZoneCmd,
}

#[derive(Debug)]
pub enum ZoneCmd {
    ZonePut(ZonePut),
    ZoneClose(ZoneClose),
    ZoneOpen(ZoneOpen),
    ZoneDrop(ZoneDrop),
    ZoneList(ZoneList),
}

#[derive(Debug)]
pub struct ZonePut {
    pub name: String,

    pub region: String,
    pub capacity: Option<u32>,
}

#[derive(Debug)]
pub struct ZoneClose {
    pub name: String,
}

#[derive(Debug)]
pub struct ZoneOpen {
    pub name: String,
}

#[derive(Debug)]
pub struct ZoneDrop {
    pub name: String,
}

#[derive(Debug)]
pub struct ZoneList;

#[derive(Debug)]
pub struct Route {
    pub subcommand: RouteCmd,
}

#[derive(Debug)]
pub enum RouteCmd {
    RouteModel(RouteModel),
    RouteService(RouteService),
    RouteDrop(RouteDrop),
    RouteList(RouteList),
}

#[derive(Debug)]
pub struct RouteModel {
    pub name: String,

    pub model: String,
    pub class: String,
}

#[derive(Debug)]
pub struct RouteService {
    pub name: String,

    pub prefix: String,
    pub class: String,
    pub idempotent: Vec<String>,
}

#[derive(Debug)]
pub struct RouteDrop {
    pub name: String,
}

#[derive(Debug)]
pub struct RouteList;

#[derive(Debug)]
pub struct Endpoint {
    pub subcommand: EndpointCmd,
}

#[derive(Debug)]
pub enum EndpointCmd {
    EndpointPut(EndpointPut),
    EndpointLeave(EndpointLeave),
    EndpointDrop(EndpointDrop),
    EndpointList(EndpointList),
}

#[derive(Debug)]
pub struct EndpointPut {
    pub name: String,

    pub zone: String,
    pub route: Vec<String>,
    pub agent: String,
    pub slots: u32,
}

#[derive(Debug)]
pub struct EndpointLeave {
    pub name: String,
}

#[derive(Debug)]
pub struct EndpointDrop {
    pub name: String,
}

#[derive(Debug)]
pub struct EndpointList;

#[derive(Debug)]
pub struct Sheet {
    pub subcommand: SheetCmd,
}

#[derive(Debug)]
pub enum SheetCmd {
    SheetExport(SheetExport),
    SheetCheck(SheetCheck),
    SheetDiff(SheetDiff),
    SheetApply(SheetApply),
}

#[derive(Debug)]
pub struct SheetExport;

#[derive(Debug)]
pub struct SheetCheck {
    pub file: PathBuf,

    pub allow_large: bool,
}

#[derive(Debug)]
pub struct SheetDiff {
    pub file: PathBuf,

    pub allow_large: bool,
}

#[derive(Debug)]
pub struct SheetApply {
    pub file: PathBuf,

    pub allow_large: bool,
    pub on_current: bool,
}

#[derive(Debug)]
pub struct Member {
    pub subcommand: MemberCmd,
}

#[derive(Debug)]
pub enum MemberCmd {
    MemberAdd(MemberAdd),
    MemberRemove(MemberRemove),
    MemberList(MemberList),
}

#[derive(Debug)]
pub struct MemberAdd {
    pub host: String,

    pub address: String,
    pub id: String,
}

#[derive(Debug)]
pub struct MemberRemove {
    pub id: String,
}

#[derive(Debug)]
pub struct MemberList;

impl Berg {
    #[allow(dead_code)]
    pub fn from_env_or_exit() -> Self {
        Self::from_env_or_exit_()
    }

    #[allow(dead_code)]
    pub fn from_env() -> xflags::Result<Self> {
        Self::from_env_()
    }

    #[allow(dead_code)]
    pub fn from_vec(args: Vec<std::ffi::OsString>) -> xflags::Result<Self> {
        Self::from_vec_(args)
    }
}
// generated end
