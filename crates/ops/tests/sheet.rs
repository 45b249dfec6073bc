//! Sheets close what they do not name, are rejected as a whole if any row is invalid, and neither
//! create nor reopen records.

use assert_matches::assert_matches;
use conf::{
    Change,
    Config, //
};
use ops::{
    Sheet,
    SheetError,
    SheetRowError,
    export_sheet, //
};

fn config() -> Config {
    let mut rows = vec![
        serde_json::json!({"put-zone": {"name": "eire-a", "region": "eire", "capacity": 4}}),
        serde_json::json!({"put-zone": {"name": "eire-b", "region": "eire", "capacity": 4}}),
        serde_json::json!({"put-class": {"name": "sketch", "tier": 0, "first_ms": 650, "gap_ms": 66}}),
        serde_json::json!({"put-class": {"name": "brief", "tier": 1, "first_ms": 650, "gap_ms": 66, "reserve": 5}}),
    ];
    for n in 0..5 {
        rows.push(serde_json::json!({"put-account": {"name": format!("a{n}")}}));
        rows.push(
            serde_json::json!({"put-grant": {"name": format!("k{n}"), "account": format!("a{n}"),
            "digest": format!("{n:064x}")}}),
        );
    }
    let changes: Vec<Change> = rows
        .into_iter()
        .map(|row| serde_json::from_value(row).unwrap())
        .collect();
    let mut config = Config::default();
    config.apply_all(&changes).unwrap();
    config
}

fn full_sheet() -> String {
    export_sheet("eire", &config())
}

/// Returns the full sheet without the rows that begin with one of the prefixes, with the row count
/// adjusted.
fn sheet_without(prefixes: &[&str]) -> String {
    let text = full_sheet();
    let rows: Vec<_> = text.lines().collect();
    let keep = |row: &&&str| !prefixes.iter().any(|prefix| row.starts_with(prefix));
    let body: Vec<_> = rows[1..rows.len() - 1]
        .iter()
        .filter(keep)
        .copied()
        .collect();
    format!("{}\n{}\nend,{},\n", rows[0], body.join("\n"), body.len())
}

/// Returns the sheet's changes as text, after checking that they apply.
fn changes(text: &str, allow_large: bool) -> Result<Vec<String>, SheetError> {
    let changes = Sheet::try_from(text)?.changes(&config(), allow_large)?;
    let mut changed = config();
    changed.apply_all(&changes).unwrap();
    Ok(changes.iter().map(ToString::to_string).collect())
}

/// Returns row and column of each error in an invalid sheet.
fn errors(text: &str) -> Vec<(usize, usize)> {
    match Sheet::try_from(text).and_then(|sheet| sheet.changes(&config(), true).map(|_| sheet)) {
        Err(SheetError::InvalidRows(errors)) => errors
            .iter()
            .map(|error: &SheetRowError| (error.row, error.column))
            .collect(),
        other => panic!("{other:?}"),
    }
}

/// Computes the changes of a full sheet for a configuration in which key `k1` was withdrawn after the
/// export.
fn withdrawn_after_export() -> Result<Vec<Change>, SheetError> {
    let mut changed = config();
    changed
        .apply_all(&[Change::WithdrawGrant("k1".try_into().unwrap())])
        .unwrap();
    Sheet::try_from(full_sheet().as_str())
        .unwrap()
        .changes(&changed, false)
}

case::cases! {
    full_sheet_changes_nothing: assert_eq!(changes(&full_sheet(), false), Ok(vec![]));
    omitted_account_is_closed_with_its_key: assert_eq!(
        changes(&sheet_without(&["account,a4"]), false).unwrap(),
        ["withdraw key k4", "close account a4"]
    );
    omitted_key_is_withdrawn: assert_eq!(changes(&sheet_without(&["key,k2"]), false).unwrap(), ["withdraw key k2"]);
    omitted_class_moves_to_the_lowest_tier: assert_eq!(changes(&sheet_without(&["class,brief"]), false).unwrap(), ["put class brief"]);
    omitted_zone_is_closed: assert_eq!(changes(&sheet_without(&["zone,eire-b"]), false).unwrap(), ["put zone eire-b"]);
    zone_gets_the_capacity_of_the_sheet: assert_eq!(
        changes(&full_sheet().replace("zone,eire-a,4", "zone,eire-a,2"), false).unwrap(),
        ["put zone eire-a"]
    );
    closing_too_many_is_rejected: assert_eq!(changes(&sheet_without(&["key,"]), false), Err(SheetError::TooManyClosed(5, 10)));
    closing_too_many_is_allowed_by_flag: assert_eq!(changes(&sheet_without(&["key,"]), true).unwrap().len(), 5);
    withdrawn_key_is_not_reissued: assert_matches!(
        withdrawn_after_export(),
        Err(SheetError::InvalidRows(errors)) if errors[0].reason == "key \"k1\" is withdrawn"
    );
    truncated_file_is_rejected: for len in 0..full_sheet().trim_end().len() - 1 {
        assert!(Sheet::try_from(&full_sheet()[..len]).is_err(), "{len}");
    };
    missing_row_is_rejected: assert_matches!(changes(&full_sheet().replace("key,k3,\n", ""), true), Err(SheetError::Incomplete(_)));
    all_unknown_names_are_reported: assert_eq!(
        errors("sheet,eire,1\naccount,x,\nkey,y,\nclass,z,\nzone,w,1\nend,4,\n"),
        [(2, 2), (3, 2), (4, 2), (5, 2)]
    );
    all_invalid_cells_are_reported: assert_eq!(
        errors("sheet,eire,soon\ncolour,a1,\naccount,A1,\nzone,eire-a,many\nkey,k1,x\nend,4,\n"),
        [(1, 3), (2, 1), (3, 2), (4, 3), (5, 3)]
    );
    duplicate_name_is_rejected: assert_eq!(errors("sheet,eire,1\nkey,k1,\nkey,k1,\nend,2,\n"), [(3, 2)]);
    too_few_columns_are_rejected: assert_eq!(errors("sheet,eire,1\nkey,k1\nend,1,\n"), [(2, 3)]);
}
