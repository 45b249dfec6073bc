//! The planners' sheet: what remains, as a CSV file, and the one change that makes it so.
//!
//! The first row names the cluster and the revision the sheet was made on, the last row says how
//! many rows stand between them. In between, a row names an account, a key, a class, or a zone
//! with its allowed capacity. A sheet only takes away: it creates nothing and brings nothing back.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::fmt;

use conf::{
    Change,
    ClassSpec,
    Config, //
};
use ids::{
    AccountName,
    ClassName,
    ClusterName,
    GrantName,
    Percent,
    Revision,
    Tier,
    ZoneName, //
};

/// Of the open accounts and live keys, how much a sheet may close without being told that it may.
const LARGE_PERCENT: usize = 30;
/// Columns of every row.
const COLUMNS: usize = 3;

/// A fault, with its place. Rows and columns are counted from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetRowError {
    /// The row.
    pub row: usize,
    /// The column.
    pub column: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for SheetRowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "row {}, column {}: {}",
            self.row, self.column, self.reason
        )
    }
}

/// Why a sheet cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SheetError {
    /// It is not whole: no first row, no last row, or another number of rows.
    Incomplete(String),
    /// Rows are not valid.
    InvalidRows(Vec<SheetRowError>),
    /// It is another cluster's.
    WrongCluster(ClusterName),
    /// It would close more than the share that needs a word: how many of how many.
    TooManyClosed(usize, usize),
    /// The configuration in force was not understood.
    InvalidConfig(String),
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete(reason) => write!(f, "the sheet is not whole: {reason}"),
            Self::InvalidRows(faults) => {
                let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            Self::WrongCluster(name) => write!(f, "the sheet is for cluster {:?}", name.as_ref()),
            Self::TooManyClosed(closed, all) => write!(
                f,
                "the sheet closes {closed} of {all} accounts and keys, more than \
                 {LARGE_PERCENT} percent; use --allow-large if that is meant"
            ),
            Self::InvalidConfig(fault) => write!(f, "the configuration in force: {fault}"),
        }
    }
}

impl std::error::Error for SheetError {}

/// A sheet that is whole and whose rows are valid by themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sheet {
    /// The cluster it is for.
    pub cluster: ClusterName,
    /// The revision it was made on.
    pub revision: Revision,
    accounts: BTreeMap<AccountName, usize>,
    keys: BTreeMap<GrantName, usize>,
    classes: BTreeMap<ClassName, usize>,
    zones: BTreeMap<ZoneName, (u32, usize)>,
}

impl TryFrom<&str> for Sheet {
    type Error = SheetError;

    fn try_from(text: &str) -> Result<Self, SheetError> {
        let rows = rows(text)?;
        let [first, body @ .., last] = rows.as_slice() else {
            return Err(SheetError::Incomplete(
                "it has fewer than two rows".to_owned(),
            ));
        };
        if first[0] != "sheet" {
            return Err(SheetError::Incomplete(
                "the first row is not `sheet`".to_owned(),
            ));
        }
        if last[0] != "end" {
            return Err(SheetError::Incomplete(
                "the last row is not `end`".to_owned(),
            ));
        }
        if last[1].parse() != Ok(body.len()) {
            let reason = format!("it ends with count {:?} after {} rows", last[1], body.len());
            return Err(SheetError::Incomplete(reason));
        }
        let mut reader = Reader::default();
        let cluster = reader.parse(1, 2, &first[1]);
        let revision = reader.parse::<u64>(1, 3, &first[2]);
        for (at, row) in body.iter().enumerate() {
            reader.row(at + 2, row);
        }
        match (cluster, revision) {
            (Some(cluster), Some(revision)) if reader.faults.is_empty() => Ok(Self {
                cluster,
                revision: Revision(revision),
                accounts: reader.accounts,
                keys: reader.keys,
                classes: reader.classes,
                zones: reader.zones,
            }),
            _ => Err(SheetError::InvalidRows(reader.faults)),
        }
    }
}

fn rows(text: &str) -> Result<Vec<[String; COLUMNS]>, SheetError> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut rows = Vec::new();
    let mut faults = Vec::new();
    for (at, record) in reader.records().enumerate() {
        let fault = |column, reason: String| SheetRowError {
            row: at + 1,
            column,
            reason,
        };
        match record {
            Ok(record) if record.len() == COLUMNS => {
                rows.push(std::array::from_fn(|n| record[n].to_owned()));
            }
            Ok(record) => {
                let reason = format!("the row has {} columns, not {COLUMNS}", record.len());
                faults.push(fault(record.len().min(COLUMNS) + 1, reason));
            }
            Err(failure) => faults.push(fault(1, failure.to_string())),
        }
    }
    if faults.is_empty() {
        Ok(rows)
    } else {
        Err(SheetError::InvalidRows(faults))
    }
}

#[derive(Default)]
struct Reader {
    accounts: BTreeMap<AccountName, usize>,
    keys: BTreeMap<GrantName, usize>,
    classes: BTreeMap<ClassName, usize>,
    zones: BTreeMap<ZoneName, (u32, usize)>,
    faults: Vec<SheetRowError>,
}

impl Reader {
    fn fault(&mut self, row: usize, column: usize, reason: impl fmt::Display) {
        self.faults.push(SheetRowError {
            row,
            column,
            reason: reason.to_string(),
        });
    }

    fn parse<T>(&mut self, row: usize, column: usize, text: &str) -> Option<T>
    where
        T: std::str::FromStr<Err: fmt::Display>,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(fault) => {
                self.fault(row, column, fault);
                None
            }
        }
    }

    fn row(&mut self, at: usize, row: &[String; COLUMNS]) {
        let [kind, name, value] = row;
        let twice = match kind.as_str() {
            "account" => self
                .parse(at, 2, name)
                .and_then(|n| self.accounts.insert(n, at)),
            "key" => self
                .parse(at, 2, name)
                .and_then(|n| self.keys.insert(n, at)),
            "class" => self
                .parse(at, 2, name)
                .and_then(|n| self.classes.insert(n, at)),
            "zone" => {
                let name = self.parse(at, 2, name);
                let capacity = self.parse(at, 3, value);
                let zone = name.zip(capacity);
                zone.and_then(|(n, c)| self.zones.insert(n, (c, at)))
                    .map(|(_, at)| at)
            }
            other => {
                let reason = format!("{other:?} is not account, key, class or zone");
                return self.fault(at, 1, reason);
            }
        };
        if let Some(before) = twice {
            self.fault(at, 2, format!("{name:?} stands in row {before} already"));
        }
        if kind != "zone" && !value.is_empty() {
            self.fault(at, 3, format!("{value:?} stands where nothing belongs"));
        }
    }
}

impl Sheet {
    /// The one change that leaves what the sheet names and closes the rest.
    ///
    /// An account that is not named is closed, a key is withdrawn, a zone is taken out. A class
    /// that is not named falls to the lowest tier and loses its reserve, so that what still comes
    /// is served when there is room.
    ///
    /// # Errors
    ///
    /// [`SheetError::InvalidRows`] for names that do not exist, or that exist no more;
    /// [`SheetError::TooManyClosed`] unless `allow_large`.
    pub fn changes(&self, config: &Config, allow_large: bool) -> Result<Vec<Change>, SheetError> {
        let faults = self.unknown(config);
        if !faults.is_empty() {
            return Err(SheetError::InvalidRows(faults));
        }
        let open = config.accounts().filter(|account| account.open);
        let (stay, close): (Vec<_>, Vec<_>) =
            open.partition(|account| self.accounts.contains_key(&account.spec.name));
        let closing: BTreeSet<_> = close.iter().map(|account| &account.spec.name).collect();
        let live = config.grants().filter(|grant| grant.live);
        let (kept, gone): (Vec<_>, Vec<_>) = live.partition(|grant| {
            self.keys.contains_key(&grant.spec.name) && !closing.contains(&grant.spec.account)
        });
        let closed = close.len() + gone.len();
        let all = closed + stay.len() + kept.len();
        if closed * 100 > all * LARGE_PERCENT && !allow_large {
            return Err(SheetError::TooManyClosed(closed, all));
        }
        let mut changes = Vec::new();
        changes.extend(
            gone.iter()
                .map(|grant| Change::WithdrawGrant(grant.spec.name.clone())),
        );
        changes.extend(
            close
                .iter()
                .map(|account| Change::CloseAccount(account.spec.name.clone())),
        );
        changes.extend(
            config
                .classes()
                .filter_map(|(_, class)| self.class(&class.spec)),
        );
        changes.extend(config.zones().filter_map(|zone| self.zone(&zone.spec)));
        Ok(changes)
    }

    fn class(&self, spec: &ClassSpec) -> Option<Change> {
        let lowest = ClassSpec {
            tier: Tier::LOWEST,
            reserve: Percent::default(),
            ..spec.clone()
        };
        let falls = !self.classes.contains_key(&spec.name) && *spec != lowest;
        falls.then_some(Change::PutClass(lowest))
    }

    fn zone(&self, spec: &conf::ZoneSpec) -> Option<Change> {
        let capacity = self.zones.get(&spec.name).map(|(capacity, _)| *capacity);
        let next = conf::ZoneSpec {
            open: capacity.is_some(),
            capacity: capacity.unwrap_or(0),
            ..spec.clone()
        };
        (next != *spec).then_some(Change::PutZone(next))
    }

    /// Names that the configuration does not have, or has closed for good.
    fn unknown(&self, config: &Config) -> Vec<SheetRowError> {
        let mut faults = Vec::new();
        let mut fault = |row: usize, reason: String| {
            faults.push(SheetRowError {
                row,
                column: 2,
                reason,
            });
        };
        for (name, row) in &self.accounts {
            match config.find_account(name).and_then(|id| config.account(id)) {
                Some(account) if account.open => {}
                Some(_) => fault(*row, format!("account {:?} was closed", name.as_ref())),
                None => fault(*row, format!("account {:?} does not exist", name.as_ref())),
            }
        }
        for (name, row) in &self.keys {
            match config.find_grant(name).and_then(|id| config.grant(id)) {
                Some(grant) if grant.live => {}
                Some(_) => fault(*row, format!("key {:?} was withdrawn", name.as_ref())),
                None => fault(*row, format!("key {:?} does not exist", name.as_ref())),
            }
        }
        for (name, row) in self
            .classes
            .iter()
            .filter(|(name, _)| config.find_class(name).is_none())
        {
            fault(*row, format!("class {:?} does not exist", name.as_ref()));
        }
        for (name, (_, row)) in &self.zones {
            if config.find_zone(name).is_none() {
                fault(*row, format!("zone {:?} does not exist", name.as_ref()));
            }
        }
        faults.sort_by_key(|fault| fault.row);
        faults
    }
}

/// The sheet that leaves everything as it is.
pub fn export_sheet(cluster: &str, config: &Config) -> String {
    let mut rows = Vec::new();
    let open = config.accounts().filter(|account| account.open);
    rows.extend(open.map(|account| format!("account,{},", account.spec.name)));
    let live = config.grants().filter(|grant| grant.live);
    rows.extend(live.map(|grant| format!("key,{},", grant.spec.name)));
    rows.extend(
        config
            .classes()
            .map(|(_, class)| format!("class,{},", class.spec.name)),
    );
    let zones = config.zones().filter(|zone| zone.spec.open);
    rows.extend(zones.map(|zone| format!("zone,{},{}", zone.spec.name, zone.spec.capacity)));
    let (revision, count) = (config.revision(), rows.len());
    let body: String = rows.into_iter().map(|row| row + "\n").collect();
    format!("sheet,{cluster},{revision}\n{body}end,{count},\n")
}
