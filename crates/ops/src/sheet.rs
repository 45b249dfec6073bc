//! The planners' sheet: a CSV file that lists the records to keep, and the changes that close or
//! demote all other records.
//!
//! The first row names the cluster and the revision on which the sheet is based; the last row states
//! the number of rows in between. Each of these rows names an account, a key, a class, or a zone
//! with its capacity limit. A sheet creates no records, and does not reopen closed accounts or
//! withdrawn keys.

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

/// Highest share of the open accounts and live keys that a sheet closes without `--allow-large`.
const MAX_CLOSED_PERCENT: usize = 30;
/// Number of columns of every row.
const COLUMNS: usize = 3;

/// An invalid cell of a sheet. Rows and columns are counted from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetRowError {
    /// Number of the row.
    pub row: usize,
    /// Number of the column.
    pub column: usize,
    /// Why the cell is invalid.
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

/// Why a sheet is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SheetError {
    /// The file is truncated or lacks rows: the first or last row is missing, or the number of rows
    /// differs from the count in the last row.
    Incomplete(String),
    /// Rows are invalid. Lists every invalid cell.
    InvalidRows(Vec<SheetRowError>),
    /// The sheet is for another cluster, which it names.
    WrongCluster(ClusterName),
    /// The sheet closes more than 30 percent of the open accounts and live keys: the number closed,
    /// and the number of all.
    TooManyClosed(usize, usize),
    /// The current configuration is invalid.
    InvalidConfig(String),
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete(reason) => write!(f, "incomplete sheet: {reason}"),
            Self::InvalidRows(errors) => {
                let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            Self::WrongCluster(name) => {
                write!(f, "the sheet is for another cluster: {:?}", name.as_ref())
            }
            Self::TooManyClosed(closed, all) => write!(
                f,
                "the sheet closes {closed} of {all} accounts and keys, more than \
                 {MAX_CLOSED_PERCENT} percent; use --allow-large to apply it anyway"
            ),
            Self::InvalidConfig(error) => {
                write!(f, "the current configuration is invalid: {error}")
            }
        }
    }
}

impl std::error::Error for SheetError {}

/// A complete sheet whose rows are valid. The names in it may be absent from the configuration;
/// [`Sheet::changes`] checks them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sheet {
    /// The cluster that the sheet is for.
    pub cluster: ClusterName,
    /// The revision on which the sheet is based.
    pub revision: Revision,
    // Each record's row, for error messages; for a zone also its capacity limit.
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
                "it has fewer than 2 rows".to_owned(),
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
            let reason = format!(
                "the last row states {:?} rows, but there are {}",
                last[1],
                body.len()
            );
            return Err(SheetError::Incomplete(reason));
        }
        let mut parser = RowParser::default();
        let cluster = parser.parse(1, 2, &first[1]);
        let revision = parser.parse::<u64>(1, 3, &first[2]);
        for (index, row) in body.iter().enumerate() {
            parser.parse_row(index + 2, row);
        }
        match (cluster, revision) {
            (Some(cluster), Some(revision)) if parser.errors.is_empty() => Ok(Self {
                cluster,
                revision: Revision(revision),
                accounts: parser.accounts,
                keys: parser.keys,
                classes: parser.classes,
                zones: parser.zones,
            }),
            _ => Err(SheetError::InvalidRows(parser.errors)),
        }
    }
}

/// Splits the text into rows of three cells.
fn rows(text: &str) -> Result<Vec<[String; COLUMNS]>, SheetError> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut rows = Vec::new();
    let mut errors = Vec::new();
    for (index, record) in reader.records().enumerate() {
        let error = |column, reason: String| SheetRowError {
            row: index + 1,
            column,
            reason,
        };
        match record {
            Ok(record) if record.len() == COLUMNS => {
                rows.push(std::array::from_fn(|n| record[n].to_owned()));
            }
            Ok(record) => {
                let reason = format!("the row has {} columns; expected {COLUMNS}", record.len());
                errors.push(error(record.len().min(COLUMNS) + 1, reason));
            }
            Err(csv_error) => errors.push(error(1, csv_error.to_string())),
        }
    }
    if errors.is_empty() {
        Ok(rows)
    } else {
        Err(SheetError::InvalidRows(errors))
    }
}

/// Collects the records of a sheet and the errors in its rows.
#[derive(Default)]
struct RowParser {
    accounts: BTreeMap<AccountName, usize>,
    keys: BTreeMap<GrantName, usize>,
    classes: BTreeMap<ClassName, usize>,
    zones: BTreeMap<ZoneName, (u32, usize)>,
    errors: Vec<SheetRowError>,
}

impl RowParser {
    fn report(&mut self, row: usize, column: usize, reason: impl fmt::Display) {
        self.errors.push(SheetRowError {
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
            Err(error) => {
                self.report(row, column, error);
                None
            }
        }
    }

    /// Parses a row that names a record.
    fn parse_row(&mut self, number: usize, row: &[String; COLUMNS]) {
        let [kind, name, value] = row;
        let earlier_row = match kind.as_str() {
            "account" => self
                .parse(number, 2, name)
                .and_then(|n| self.accounts.insert(n, number)),
            "key" => self
                .parse(number, 2, name)
                .and_then(|n| self.keys.insert(n, number)),
            "class" => self
                .parse(number, 2, name)
                .and_then(|n| self.classes.insert(n, number)),
            "zone" => {
                let name = self.parse(number, 2, name);
                let capacity = self.parse(number, 3, value);
                let zone = name.zip(capacity);
                zone.and_then(|(n, c)| self.zones.insert(n, (c, number)))
                    .map(|(_, earlier)| earlier)
            }
            other => {
                let reason =
                    format!("unknown kind {other:?}; expected account, key, class or zone");
                return self.report(number, 1, reason);
            }
        };
        if let Some(earlier) = earlier_row {
            self.report(
                number,
                2,
                format!("duplicate name {name:?}, already in row {earlier}"),
            );
        }
        if kind != "zone" && !value.is_empty() {
            self.report(
                number,
                3,
                format!("unexpected value {value:?}; only zone rows have a value"),
            );
        }
    }
}

impl Sheet {
    /// Returns the changes that keep the records in the sheet and close the others.
    ///
    /// An account that the sheet does not name is closed, a key is withdrawn, and a zone is closed
    /// with capacity 0. A class that it does not name moves to the lowest tier and loses its
    /// reserve, so that its requests are served only from spare capacity.
    ///
    /// # Errors
    ///
    /// [`SheetError::InvalidRows`] if the sheet names records that do not exist, closed accounts or
    /// withdrawn keys; [`SheetError::TooManyClosed`] if it closes more than 30 percent of the open
    /// accounts and live keys and `allow_large` is not set.
    pub fn changes(&self, config: &Config, allow_large: bool) -> Result<Vec<Change>, SheetError> {
        let errors = self.unknown_names(config);
        if !errors.is_empty() {
            return Err(SheetError::InvalidRows(errors));
        }
        let open = config.accounts().filter(|account| account.open);
        let (kept_accounts, closed_accounts): (Vec<_>, Vec<_>) =
            open.partition(|account| self.accounts.contains_key(&account.spec.name));
        let closed_names: BTreeSet<_> = closed_accounts
            .iter()
            .map(|account| &account.spec.name)
            .collect();
        let live = config.grants().filter(|grant| grant.live);
        let (kept_keys, withdrawn_keys): (Vec<_>, Vec<_>) = live.partition(|grant| {
            self.keys.contains_key(&grant.spec.name) && !closed_names.contains(&grant.spec.account)
        });
        let closed = closed_accounts.len() + withdrawn_keys.len();
        let all = closed + kept_accounts.len() + kept_keys.len();
        if closed * 100 > all * MAX_CLOSED_PERCENT && !allow_large {
            return Err(SheetError::TooManyClosed(closed, all));
        }
        let mut changes = Vec::new();
        changes.extend(
            withdrawn_keys
                .iter()
                .map(|grant| Change::WithdrawGrant(grant.spec.name.clone())),
        );
        changes.extend(
            closed_accounts
                .iter()
                .map(|account| Change::CloseAccount(account.spec.name.clone())),
        );
        changes.extend(
            config
                .classes()
                .filter_map(|(_, class)| self.class_change(&class.spec)),
        );
        changes.extend(
            config
                .zones()
                .filter_map(|zone| self.zone_change(&zone.spec)),
        );
        Ok(changes)
    }

    /// Returns the change that moves a class to the lowest tier, unless the sheet names the class.
    fn class_change(&self, spec: &ClassSpec) -> Option<Change> {
        let lowest = ClassSpec {
            tier: Tier::LOWEST,
            reserve: Percent::default(),
            ..spec.clone()
        };
        let demoted = !self.classes.contains_key(&spec.name) && *spec != lowest;
        demoted.then_some(Change::PutClass(lowest))
    }

    /// Returns the change that gives a zone the sheet's capacity, or closes the zone if the sheet does
    /// not name it.
    fn zone_change(&self, spec: &conf::ZoneSpec) -> Option<Change> {
        let capacity = self.zones.get(&spec.name).map(|(capacity, _)| *capacity);
        let next = conf::ZoneSpec {
            open: capacity.is_some(),
            capacity: capacity.unwrap_or(0),
            ..spec.clone()
        };
        (next != *spec).then_some(Change::PutZone(next))
    }

    /// Returns an error for each name that does not exist in the configuration, or that belongs to a
    /// closed account or withdrawn key.
    fn unknown_names(&self, config: &Config) -> Vec<SheetRowError> {
        let mut errors = Vec::new();
        let mut report = |row: usize, reason: String| {
            errors.push(SheetRowError {
                row,
                column: 2,
                reason,
            });
        };
        for (name, row) in &self.accounts {
            match config.find_account(name).and_then(|id| config.account(id)) {
                Some(account) if account.open => {}
                Some(_) => report(*row, format!("account {:?} is closed", name.as_ref())),
                None => report(*row, format!("account {:?} does not exist", name.as_ref())),
            }
        }
        for (name, row) in &self.keys {
            match config.find_grant(name).and_then(|id| config.grant(id)) {
                Some(grant) if grant.live => {}
                Some(_) => report(*row, format!("key {:?} is withdrawn", name.as_ref())),
                None => report(*row, format!("key {:?} does not exist", name.as_ref())),
            }
        }
        for (name, row) in self
            .classes
            .iter()
            .filter(|(name, _)| config.find_class(name).is_none())
        {
            report(*row, format!("class {:?} does not exist", name.as_ref()));
        }
        for (name, (_, row)) in &self.zones {
            if config.find_zone(name).is_none() {
                report(*row, format!("zone {:?} does not exist", name.as_ref()));
            }
        }
        errors.sort_by_key(|error| error.row);
        errors
    }
}

/// Returns the sheet that keeps every open account, live key, class and open zone, so that applying
/// it changes nothing.
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
