//! Executes one command.

use std::fmt;
use std::fs;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use conf::{
    Change,
    Config, //
};
use ids::{
    ClusterName,
    Revision, //
};
use ops::{
    ConfigFileError,
    OperatorError,
    Sheet,
    SheetError,
    diff,
    export_sheet,
    parse_config_file, //
};
use wire::{
    NewKey,
    NewMember, //
};

use crate::change::{
    self,
    ArgumentError,
    parse, //
};
use crate::config::Operator;
use crate::flags::{
    AccountCmd,
    Berg,
    BergCmd,
    ClassCmd,
    EndpointCmd,
    KeyCmd,
    KeyNew,
    MemberAdd,
    MemberCmd,
    RouteCmd,
    SheetCmd,
    ZoneCmd, //
};
use crate::show;

/// Longest time that `--wait` waits until every process has applied a change.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum RunError {
    /// An argument is not valid.
    Argument(ArgumentError),
    /// A file cannot be read.
    File(PathBuf, std::io::Error),
    /// A configuration file cannot be applied.
    ConfigFile(PathBuf, ConfigFileError),
    /// A sheet is rejected.
    Sheet(PathBuf, SheetError),
    /// No record of this kind has this name.
    Missing(&'static str, String),
    /// A request to the control group failed.
    Request(OperatorError),
}

impl RunError {
    /// Returns the exit code: 2 for invalid input, 3 if the control group rejects the changes, 4 if
    /// it is unavailable or the change is not confirmed in time, and 1 otherwise.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Argument(_)
            | Self::File(..)
            | Self::ConfigFile(..)
            | Self::Sheet(..)
            | Self::Missing(..) => 2,
            Self::Request(
                OperatorError::NotAccepted(_) | OperatorError::Rejected(409 | 422, _),
            ) => 3,
            Self::Request(OperatorError::Unreachable(_) | OperatorError::NotConfirmed(_)) => 4,
            Self::Request(_) => 1,
        }
    }
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Argument(error) => write!(f, "{error}"),
            Self::File(path, error) => write!(f, "{}: {error}", path.display()),
            Self::ConfigFile(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Sheet(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Missing(kind, name) => write!(f, "{kind} {name:?} does not exist"),
            Self::Request(error) => write!(f, "{error}"),
        }
    }
}

impl From<OperatorError> for RunError {
    fn from(error: OperatorError) -> Self {
        Self::Request(error)
    }
}

impl From<ArgumentError> for RunError {
    fn from(error: ArgumentError) -> Self {
        Self::Argument(error)
    }
}

/// Executes the command that the command line names.
pub(crate) fn run(flags: &Berg, operator: &Operator) -> Result<(), RunError> {
    let executor = Executor { flags, operator };
    match &flags.subcommand {
        // `main` handles `explain`, which needs no control host.
        BergCmd::Explain(_) => {}
        BergCmd::Status(_) => show::status(&operator.client.status()?, flags.json),
        BergCmd::Usage(_) => show::usage(&operator.client.usage()?, flags.json),
        BergCmd::Config(_) => show::config(&operator.client.config()?, flags.json),
        BergCmd::Apply(apply) => executor.apply(&apply.file)?,
        BergCmd::Diff(diff) => {
            let (_, changes) = executor.read_changes(&diff.file)?;
            show::changes(&changes, flags.json);
        }
        BergCmd::Key(key) => executor.key(&key.subcommand)?,
        BergCmd::Account(account) => executor.account(&account.subcommand)?,
        BergCmd::Class(class) => executor.class(&class.subcommand)?,
        BergCmd::Zone(zone) => executor.zone(&zone.subcommand)?,
        BergCmd::Route(route) => executor.route(&route.subcommand)?,
        BergCmd::Endpoint(endpoint) => executor.endpoint(&endpoint.subcommand)?,
        BergCmd::Sheet(sheet) => executor.sheet(&sheet.subcommand)?,
        BergCmd::Member(member) => executor.member(&member.subcommand)?,
    }
    Ok(())
}

/// Executes commands for an operator.
struct Executor<'a> {
    flags: &'a Berg,
    operator: &'a Operator,
}

impl Executor<'_> {
    /// Returns the current revision and the changes that a configuration file makes to it.
    fn read_changes(&self, path: &Path) -> Result<(Revision, Vec<Change>), RunError> {
        let text = fs::read_to_string(path);
        let text = text.map_err(|error| RunError::File(path.to_owned(), error))?;
        let target = parse_config_file(&text)
            .map_err(|error| RunError::ConfigFile(path.to_owned(), error))?;
        let config = self.operator.client.config()?;
        let changes = diff(config.revision, &config.changes, &target);
        let changes = changes.map_err(|error| RunError::ConfigFile(path.to_owned(), error))?;
        Ok((config.revision, changes))
    }

    /// Makes the configuration equal to a file.
    fn apply(&self, path: &Path) -> Result<(), RunError> {
        let (base, changes) = self.read_changes(path)?;
        if changes.is_empty() {
            show::revision(base, self.flags.json);
            return Ok(());
        }
        let revision = self.operator.client.propose(base, changes)?;
        self.finish(revision)
    }

    /// Proposes a change of one record.
    fn change(&self, change: Change) -> Result<(), RunError> {
        let revision = self.operator.client.propose_on_latest(&[change])?;
        self.finish(revision)
    }

    /// Waits for the revision if `--wait` is given, and prints it.
    fn finish(&self, revision: Revision) -> Result<(), RunError> {
        if self.flags.wait {
            self.operator.client.wait_applied(revision, WAIT_TIMEOUT)?;
        }
        show::revision(revision, self.flags.json);
        Ok(())
    }

    fn list(&self, kind: &str) -> Result<(), RunError> {
        show::list(kind, &self.operator.client.config()?, self.flags.json);
        Ok(())
    }

    fn key(&self, command: &KeyCmd) -> Result<(), RunError> {
        match command {
            KeyCmd::KeyNew(flags) => self.new_key(flags),
            KeyCmd::KeyWithdraw(flags) => {
                self.change(Change::WithdrawGrant(parse("name", &flags.name)?))
            }
            KeyCmd::KeyList(_) => self.list("key"),
        }
    }

    fn new_key(&self, flags: &KeyNew) -> Result<(), RunError> {
        let generated_name = || format!("{}-{:08x}", flags.account, rand::random::<u32>());
        let name = flags.name.clone().unwrap_or_else(generated_name);
        let class = flags.class.as_deref().map(|class| parse("--class", class));
        let key = self.operator.client.new_key(&NewKey {
            name: parse("--name", &name)?,
            account: parse("account", &flags.account)?,
            class: class.transpose()?,
        })?;
        show::key(&key, self.flags.json);
        if self.flags.wait {
            self.operator
                .client
                .wait_applied(key.revision, WAIT_TIMEOUT)?;
        }
        Ok(())
    }

    fn account(&self, command: &AccountCmd) -> Result<(), RunError> {
        match command {
            AccountCmd::AccountPut(flags) => self.change(change::account(flags)?),
            AccountCmd::AccountClose(flags) => {
                self.change(Change::CloseAccount(parse("name", &flags.name)?))
            }
            AccountCmd::AccountList(_) => self.list("account"),
        }
    }

    fn class(&self, command: &ClassCmd) -> Result<(), RunError> {
        match command {
            ClassCmd::ClassPut(flags) => self.change(change::class(flags)?),
            ClassCmd::ClassDrop(flags) => {
                self.change(Change::DropClass(parse("name", &flags.name)?))
            }
            ClassCmd::ClassList(_) => self.list("class"),
        }
    }

    fn zone(&self, command: &ZoneCmd) -> Result<(), RunError> {
        match command {
            ZoneCmd::ZonePut(flags) => self.change(change::zone(flags)?),
            ZoneCmd::ZoneClose(flags) => self.set_zone_open(&flags.name, false),
            ZoneCmd::ZoneOpen(flags) => self.set_zone_open(&flags.name, true),
            ZoneCmd::ZoneDrop(flags) => self.change(Change::DropZone(parse("name", &flags.name)?)),
            ZoneCmd::ZoneList(_) => self.list("zone"),
        }
    }

    /// Opens or closes a zone; its other fields stay unchanged.
    fn set_zone_open(&self, name: &str, open: bool) -> Result<(), RunError> {
        let config = self.operator.client.config()?;
        let found = config.changes.iter().find_map(|change| match change {
            Change::PutZone(zone) if zone.name.as_ref() == name => Some(zone.clone()),
            _ => None,
        });
        let mut zone = found.ok_or_else(|| RunError::Missing("zone", name.to_owned()))?;
        zone.open = open;
        let change = Change::PutZone(zone);
        let revision = self
            .operator
            .client
            .propose(config.revision, vec![change])?;
        self.finish(revision)
    }

    fn route(&self, command: &RouteCmd) -> Result<(), RunError> {
        match command {
            RouteCmd::RouteModel(flags) => self.change(change::model_route(flags)?),
            RouteCmd::RouteService(flags) => self.change(change::service_route(flags)?),
            RouteCmd::RouteDrop(flags) => {
                self.change(Change::DropRoute(parse("name", &flags.name)?))
            }
            RouteCmd::RouteList(_) => self.list("route"),
        }
    }

    fn endpoint(&self, command: &EndpointCmd) -> Result<(), RunError> {
        match command {
            EndpointCmd::EndpointPut(flags) => self.change(change::endpoint(flags)?),
            EndpointCmd::EndpointLeave(flags) => self.drain(&flags.name),
            EndpointCmd::EndpointDrop(flags) => {
                self.change(Change::DropEndpoint(parse("name", &flags.name)?))
            }
            EndpointCmd::EndpointList(_) => self.list("endpoint"),
        }
    }

    /// Marks an endpoint as draining; its other fields stay unchanged.
    fn drain(&self, name: &str) -> Result<(), RunError> {
        let config = self.operator.client.config()?;
        let found = config.changes.iter().find_map(|change| match change {
            Change::PutEndpoint(endpoint) if endpoint.name.as_ref() == name => {
                Some(endpoint.clone())
            }
            _ => None,
        });
        let mut endpoint = found.ok_or_else(|| RunError::Missing("endpoint", name.to_owned()))?;
        endpoint.draining = true;
        let change = Change::PutEndpoint(endpoint);
        let revision = self
            .operator
            .client
            .propose(config.revision, vec![change])?;
        self.finish(revision)
    }

    fn sheet(&self, command: &SheetCmd) -> Result<(), RunError> {
        match command {
            SheetCmd::SheetExport(_) => {
                let (cluster, config) = self.current_config()?;
                print!("{}", export_sheet(cluster.as_ref(), &config));
                Ok(())
            }
            SheetCmd::SheetCheck(flags) => {
                let (sheet, _, changes) = self.read_sheet(&flags.file, flags.allow_large)?;
                println!(
                    "made on revision {}, {} changes",
                    sheet.revision,
                    changes.len()
                );
                Ok(())
            }
            SheetCmd::SheetDiff(flags) => {
                let (_, _, changes) = self.read_sheet(&flags.file, flags.allow_large)?;
                show::changes(&changes, self.flags.json);
                Ok(())
            }
            SheetCmd::SheetApply(flags) => {
                let (sheet, current, changes) = self.read_sheet(&flags.file, flags.allow_large)?;
                if !self.flags.json {
                    show::changes(&changes, false);
                }
                let base = if flags.on_current {
                    current
                } else {
                    sheet.revision
                };
                let revision = self.operator.client.propose(base, changes)?;
                self.finish(revision)
            }
        }
    }

    /// Returns the cluster's name and the current configuration.
    fn current_config(&self) -> Result<(ClusterName, Config), RunError> {
        let client = &self.operator.client;
        let cluster = client.status()?.into_iter().next().map(|host| host.cluster);
        let cluster = cluster.ok_or_else(|| {
            OperatorError::Unreachable("no control host returned its status".to_owned())
        })?;
        let response = client.config()?;
        let config = Config::import(response.revision, &response.changes);
        let config = config.map_err(|error| OperatorError::InvalidResponse(error.to_string()))?;
        Ok((cluster, config))
    }

    /// Reads a sheet. Returns it with the current revision and the changes that it makes.
    fn read_sheet(
        &self,
        path: &Path,
        allow_large: bool,
    ) -> Result<(Sheet, Revision, Vec<Change>), RunError> {
        let text = fs::read_to_string(path);
        let text = text.map_err(|error| RunError::File(path.to_owned(), error))?;
        let rejected = |error| RunError::Sheet(path.to_owned(), error);
        let sheet = Sheet::try_from(text.as_str()).map_err(rejected)?;
        let (cluster, config) = self.current_config()?;
        if sheet.cluster != cluster {
            return Err(rejected(SheetError::WrongCluster(sheet.cluster)));
        }
        let changes = sheet.changes(&config, allow_large).map_err(rejected)?;
        Ok((sheet, config.revision(), changes))
    }

    fn member(&self, command: &MemberCmd) -> Result<(), RunError> {
        let client = &self.operator.client;
        match command {
            MemberCmd::MemberAdd(flags) => client.add_member(&new_member(flags)?)?,
            MemberCmd::MemberRemove(flags) => client.remove_member(&flags.id)?,
            MemberCmd::MemberList(_) => show::members(&client.status()?, self.flags.json),
        }
        Ok(())
    }
}

fn new_member(flags: &MemberAdd) -> Result<NewMember, ArgumentError> {
    Ok(NewMember {
        id: flags.id.clone(),
        host: parse("host", &flags.host)?,
        address: parse("--address", &flags.address)?,
    })
}
