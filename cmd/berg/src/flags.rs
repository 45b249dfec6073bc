//! The command line.

#![allow(missing_docs, unreachable_pub, unused_qualifications, clippy::all)]

use std::path::PathBuf;

xflags::xflags! {
    src "./src/flags.rs"

    /// Operates a bergamothinge cluster.
    cmd berg {
        /// A control host's address, such as 127.0.0.1:7001. May be given several times;
        /// the variable BERG_CONTROL holds the same, separated by commas.
        repeated --control address: String
        /// The file that holds your operator key; else the variable BERG_KEY_FILE names it.
        optional --key-file file: PathBuf
        /// Print JSON.
        optional --json
        /// Wait until the change is in force everywhere.
        optional --wait
        /// Print the version and end.
        optional -V,--version

        /// Show the control group and who follows it.
        cmd status {}
        /// Show the timeline of one request from log lines.
        cmd explain {
            /// The request's identity.
            required request: String
            /// Log files; standard input if none is named.
            repeated log: PathBuf
        }
        /// Make the configuration what a file says.
        cmd apply {
            /// The configuration, TOML.
            required file: PathBuf
        }
        /// Show what `apply` would change.
        cmd diff {
            /// The configuration, TOML.
            required file: PathBuf
        }
        /// Show the configuration in force, one change on a line.
        cmd config {}
        /// Show usage windows.
        cmd usage {}
        /// Callers' keys.
        cmd key {
            /// Create a key and print it, once.
            cmd key-new new {
                /// The client account.
                required account: String
                /// The key's name; made up unless given.
                optional --name name: String
                /// The class of requests under the key.
                optional --class class: String
            }
            /// Withdraw a key for good.
            cmd key-withdraw withdraw {
                /// The key's name.
                required name: String
            }
            /// List keys by name.
            cmd key-list list {}
        }
        /// Client accounts.
        cmd account {
            /// Create an account or change its weight.
            cmd account-put put {
                /// The account's name.
                required name: String
                /// Its share against others of its class.
                optional --weight weight: u32
            }
            /// Close an account for good and withdraw its keys.
            cmd account-close close {
                /// The account's name.
                required name: String
            }
            /// List accounts.
            cmd account-list list {}
        }
        /// Request classes.
        cmd class {
            /// Create a class or change it.
            cmd class-put put {
                /// The class's name.
                required name: String
                /// Its tier, 0 (highest) to 3.
                required --tier tier: u8
                /// Target for the first token, in milliseconds.
                required --first-ms first: u64
                /// Target between tokens, in milliseconds.
                required --gap-ms gap: u64
                /// Share of starts that the class is not starved below, in percent.
                optional --reserve percent: u8
            }
            /// Remove a class that nothing refers to.
            cmd class-drop drop {
                /// The class's name.
                required name: String
            }
            /// List classes.
            cmd class-list list {}
        }
        /// Availability zones.
        cmd zone {
            /// Create a zone that takes work.
            cmd zone-put put {
                /// The zone's name.
                required name: String
                /// The region it lies in.
                required --region region: String
                /// Most endpoints it may run.
                optional --capacity n: u32
            }
            /// Take a zone out: no new work after a few seconds.
            cmd zone-close close {
                /// The zone's name.
                required name: String
            }
            /// Let a zone take work again.
            cmd zone-open open {
                /// The zone's name.
                required name: String
            }
            /// Remove a zone without endpoints.
            cmd zone-drop drop {
                /// The zone's name.
                required name: String
            }
            /// List zones.
            cmd zone-list list {}
        }
        /// Routes.
        cmd route {
            /// Create a route to a model.
            cmd route-model model {
                /// The route's name.
                required name: String
                /// The model as callers write it.
                required --model model: String
                /// The class of requests.
                required --class class: String
            }
            /// Create a route to a plain service.
            cmd route-service service {
                /// The route's name.
                required name: String
                /// The beginning of the path, such as /permits.
                required --prefix prefix: String
                /// The class of requests.
                required --class class: String
                /// A method that may be repeated without harm. May be given several times.
                repeated --idempotent method: String
            }
            /// Remove a route that no endpoint serves.
            cmd route-drop drop {
                /// The route's name.
                required name: String
            }
            /// List routes.
            cmd route-list list {}
        }
        /// Endpoints.
        cmd endpoint {
            /// Create an endpoint or change it.
            cmd endpoint-put put {
                /// The endpoint's name.
                required name: String
                /// Its zone.
                required --zone zone: String
                /// A route it serves. May be given several times.
                repeated --route route: String
                /// Where its agent listens.
                required --agent address: String
                /// Requests it runs at once when warm.
                required --slots n: u32
            }
            /// Let an endpoint finish its work and take no more.
            cmd endpoint-leave leave {
                /// The endpoint's name.
                required name: String
            }
            /// Remove an endpoint.
            cmd endpoint-drop drop {
                /// The endpoint's name.
                required name: String
            }
            /// List endpoints.
            cmd endpoint-list list {}
        }
        /// The planners' sheet.
        cmd sheet {
            /// Print the sheet that leaves everything as it is.
            cmd sheet-export export {}
            /// Check a sheet against the configuration in force.
            cmd sheet-check check {
                /// The sheet, CSV.
                required file: PathBuf
                /// Let the sheet close more than 30 percent of accounts and keys.
                optional --allow-large
            }
            /// Show what `apply` would change.
            cmd sheet-diff diff {
                /// The sheet, CSV.
                required file: PathBuf
                /// Let the sheet close more than 30 percent of accounts and keys.
                optional --allow-large
            }
            /// Make the change, all or nothing.
            cmd sheet-apply apply {
                /// The sheet, CSV.
                required file: PathBuf
                /// Let the sheet close more than 30 percent of accounts and keys.
                optional --allow-large
                /// Apply to the current revision although the sheet was made on an older one.
                optional --on-current
            }
        }
        /// Hosts of the control group.
        cmd member {
            /// Add a host; it votes once it has caught up.
            cmd member-add add {
                /// The host's name.
                required host: String
                /// Where the others reach it.
                required --address address: String
                /// The identity that `berg-control --join` printed.
                required --id id: String
            }
            /// Remove a host.
            cmd member-remove remove {
                /// The identity that `berg member list` shows.
                required id: String
            }
            /// List the hosts.
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
