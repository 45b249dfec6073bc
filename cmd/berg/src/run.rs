//! Carries out one command.

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

/// How long `--wait` waits for every process.
const WAIT: Duration = Duration::from_secs(30);

/// Why a command was not carried out.
#[derive(Debug)]
pub(crate) enum RunError {
    /// An argument is not valid.
    Argument(ArgumentError),
    /// A file cannot be read.
    File(PathBuf, std::io::Error),
    /// A file is not a configuration.
    Plan(PathBuf, ConfigFileError),
    /// A sheet cannot be used.
    Sheet(PathBuf, SheetError),
    /// No record has that name: kind and name.
    Missing(&'static str, String),
    /// The control group said no or nothing.
    Ops(OperatorError),
}

impl RunError {
    /// The exit code: 2 for faults of the caller, 3 for a conflict, 4 where nobody answered.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Argument(_)
            | Self::File(..)
            | Self::Plan(..)
            | Self::Sheet(..)
            | Self::Missing(..) => 2,
            Self::Ops(OperatorError::NotAccepted(_) | OperatorError::Rejected(409 | 422, _)) => 3,
            Self::Ops(OperatorError::Unreachable(_) | OperatorError::NotConfirmed(_)) => 4,
            Self::Ops(_) => 1,
        }
    }
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Argument(fault) => write!(f, "{fault}"),
            Self::File(path, fault) => write!(f, "{}: {fault}", path.display()),
            Self::Plan(path, fault) => write!(f, "{}: {fault}", path.display()),
            Self::Sheet(path, fault) => write!(f, "{}: {fault}", path.display()),
            Self::Missing(kind, name) => write!(f, "{kind} {name:?} does not exist"),
            Self::Ops(fault) => write!(f, "{fault}"),
        }
    }
}

impl From<OperatorError> for RunError {
    fn from(fault: OperatorError) -> Self {
        Self::Ops(fault)
    }
}

impl From<ArgumentError> for RunError {
    fn from(fault: ArgumentError) -> Self {
        Self::Argument(fault)
    }
}

/// Carries out the command of the command line.
pub(crate) fn run(flags: &Berg, operator: &Operator) -> Result<(), RunError> {
    let work = Work { flags, operator };
    match &flags.subcommand {
        // Told by `main` without a control host.
        BergCmd::Explain(_) => {}
        BergCmd::Status(_) => show::status(&operator.ops.status()?, flags.json),
        BergCmd::Usage(_) => show::usage(&operator.ops.usage()?, flags.json),
        BergCmd::Config(_) => show::config(&operator.ops.config()?, flags.json),
        BergCmd::Apply(apply) => work.apply(&apply.file)?,
        BergCmd::Diff(plan) => {
            let (_, changes) = work.plan(&plan.file)?;
            show::changes(&changes, flags.json);
        }
        BergCmd::Key(key) => work.key(&key.subcommand)?,
        BergCmd::Account(account) => work.account(&account.subcommand)?,
        BergCmd::Class(class) => work.class(&class.subcommand)?,
        BergCmd::Zone(zone) => work.zone(&zone.subcommand)?,
        BergCmd::Route(route) => work.route(&route.subcommand)?,
        BergCmd::Endpoint(endpoint) => work.endpoint(&endpoint.subcommand)?,
        BergCmd::Sheet(sheet) => work.sheet(&sheet.subcommand)?,
        BergCmd::Member(member) => work.member(&member.subcommand)?,
    }
    Ok(())
}

struct Work<'a> {
    flags: &'a Berg,
    operator: &'a Operator,
}

impl Work<'_> {
    fn plan(&self, path: &Path) -> Result<(Revision, Vec<Change>), RunError> {
        let text = fs::read_to_string(path);
        let text = text.map_err(|fault| RunError::File(path.to_owned(), fault))?;
        let plan =
            parse_config_file(&text).map_err(|fault| RunError::Plan(path.to_owned(), fault))?;
        let config = self.operator.ops.config()?;
        let changes = diff(config.revision, &config.changes, &plan);
        let changes = changes.map_err(|fault| RunError::Plan(path.to_owned(), fault))?;
        Ok((config.revision, changes))
    }

    fn apply(&self, path: &Path) -> Result<(), RunError> {
        let (base, changes) = self.plan(path)?;
        if changes.is_empty() {
            show::revision(base, self.flags.json);
            return Ok(());
        }
        let revision = self.operator.ops.propose(base, changes)?;
        self.finish(revision)
    }

    fn change(&self, change: Change) -> Result<(), RunError> {
        let revision = self.operator.ops.propose_on_latest(&[change])?;
        self.finish(revision)
    }

    fn finish(&self, revision: Revision) -> Result<(), RunError> {
        if self.flags.wait {
            self.operator.ops.wait_applied(revision, WAIT)?;
        }
        show::revision(revision, self.flags.json);
        Ok(())
    }

    fn list(&self, kind: &str) -> Result<(), RunError> {
        show::list(kind, &self.operator.ops.config()?, self.flags.json);
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
        let made_up = || format!("{}-{:08x}", flags.account, rand::random::<u32>());
        let name = flags.name.clone().unwrap_or_else(made_up);
        let class = flags.class.as_deref().map(|class| parse("--class", class));
        let answer = self.operator.ops.new_key(&NewKey {
            name: parse("--name", &name)?,
            account: parse("account", &flags.account)?,
            class: class.transpose()?,
        })?;
        show::key(&answer, self.flags.json);
        if self.flags.wait {
            self.operator.ops.wait_applied(answer.revision, WAIT)?;
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
            ZoneCmd::ZoneClose(flags) => self.turn_zone(&flags.name, false),
            ZoneCmd::ZoneOpen(flags) => self.turn_zone(&flags.name, true),
            ZoneCmd::ZoneDrop(flags) => self.change(Change::DropZone(parse("name", &flags.name)?)),
            ZoneCmd::ZoneList(_) => self.list("zone"),
        }
    }

    fn turn_zone(&self, name: &str, open: bool) -> Result<(), RunError> {
        let config = self.operator.ops.config()?;
        let found = config.changes.iter().find_map(|change| match change {
            Change::PutZone(zone) if zone.name.as_ref() == name => Some(zone.clone()),
            _ => None,
        });
        let mut zone = found.ok_or_else(|| RunError::Missing("zone", name.to_owned()))?;
        zone.open = open;
        let change = Change::PutZone(zone);
        let revision = self.operator.ops.propose(config.revision, vec![change])?;
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
            EndpointCmd::EndpointLeave(flags) => self.leave(&flags.name),
            EndpointCmd::EndpointDrop(flags) => {
                self.change(Change::DropEndpoint(parse("name", &flags.name)?))
            }
            EndpointCmd::EndpointList(_) => self.list("endpoint"),
        }
    }

    fn leave(&self, name: &str) -> Result<(), RunError> {
        let config = self.operator.ops.config()?;
        let found = config.changes.iter().find_map(|change| match change {
            Change::PutEndpoint(endpoint) if endpoint.name.as_ref() == name => {
                Some(endpoint.clone())
            }
            _ => None,
        });
        let mut endpoint = found.ok_or_else(|| RunError::Missing("endpoint", name.to_owned()))?;
        endpoint.draining = true;
        let change = Change::PutEndpoint(endpoint);
        let revision = self.operator.ops.propose(config.revision, vec![change])?;
        self.finish(revision)
    }

    fn sheet(&self, command: &SheetCmd) -> Result<(), RunError> {
        match command {
            SheetCmd::SheetExport(_) => {
                let (cluster, config) = self.current()?;
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
                let revision = self.operator.ops.propose(base, changes)?;
                self.finish(revision)
            }
        }
    }

    fn current(&self) -> Result<(ClusterName, Config), RunError> {
        let ops = &self.operator.ops;
        let cluster = ops.status()?.into_iter().next().map(|host| host.cluster);
        let cluster = cluster.ok_or_else(|| OperatorError::Unreachable("no host".to_owned()))?;
        let answer = ops.config()?;
        let config = Config::import(answer.revision, &answer.changes);
        let config = config.map_err(|fault| OperatorError::InvalidResponse(fault.to_string()))?;
        Ok((cluster, config))
    }

    fn read_sheet(
        &self,
        path: &Path,
        allow_large: bool,
    ) -> Result<(Sheet, Revision, Vec<Change>), RunError> {
        let text = fs::read_to_string(path);
        let text = text.map_err(|fault| RunError::File(path.to_owned(), fault))?;
        let fault = |fault| RunError::Sheet(path.to_owned(), fault);
        let sheet = Sheet::try_from(text.as_str()).map_err(fault)?;
        let (cluster, config) = self.current()?;
        if sheet.cluster != cluster {
            return Err(fault(SheetError::WrongCluster(sheet.cluster)));
        }
        let changes = sheet.changes(&config, allow_large).map_err(fault)?;
        Ok((sheet, config.revision(), changes))
    }

    fn member(&self, command: &MemberCmd) -> Result<(), RunError> {
        let ops = &self.operator.ops;
        match command {
            MemberCmd::MemberAdd(flags) => ops.add_member(&new_member(flags)?)?,
            MemberCmd::MemberRemove(flags) => ops.remove_member(&flags.id)?,
            MemberCmd::MemberList(_) => show::members(&ops.status()?, self.flags.json),
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
