//! A sheet takes away what it no longer names, whole or not at all, and brings nothing back.

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

fn full() -> String {
    export_sheet("eire", &config())
}

/// The full sheet without the rows that begin with one of the texts, its count put right.
fn without(gone: &[&str]) -> String {
    let text = full();
    let rows: Vec<_> = text.lines().collect();
    let keep = |row: &&&str| !gone.iter().any(|text| row.starts_with(text));
    let body: Vec<_> = rows[1..rows.len() - 1]
        .iter()
        .filter(keep)
        .copied()
        .collect();
    format!("{}\n{}\nend,{},\n", rows[0], body.join("\n"), body.len())
}

fn plan(text: &str, allow_large: bool) -> Result<Vec<String>, SheetError> {
    let changes = Sheet::try_from(text)?.changes(&config(), allow_large)?;
    let mut after = config();
    after.apply_all(&changes).unwrap();
    Ok(changes.iter().map(ToString::to_string).collect())
}

fn faults(text: &str) -> Vec<(usize, usize)> {
    match Sheet::try_from(text).and_then(|sheet| sheet.changes(&config(), true).map(|_| sheet)) {
        Err(SheetError::InvalidRows(faults)) => faults
            .iter()
            .map(|f: &SheetRowError| (f.row, f.column))
            .collect(),
        other => panic!("{other:?}"),
    }
}

fn withdrawn_meanwhile() -> Result<Vec<Change>, SheetError> {
    let mut later = config();
    later
        .apply_all(&[Change::WithdrawGrant("k1".try_into().unwrap())])
        .unwrap();
    Sheet::try_from(full().as_str())
        .unwrap()
        .changes(&later, false)
}

case::cases! {
    full_sheet_changes_nothing: assert_eq!(plan(&full(), false), Ok(vec![]));
    account_not_named_is_closed_with_its_key: assert_eq!(
        plan(&without(&["account,a4"]), false).unwrap(),
        ["withdraw key k4", "close account a4"]
    );
    key_not_named_is_withdrawn: assert_eq!(plan(&without(&["key,k2"]), false).unwrap(), ["withdraw key k2"]);
    class_not_named_falls: assert_eq!(plan(&without(&["class,brief"]), false).unwrap(), ["put class brief"]);
    zone_not_named_is_taken_out: assert_eq!(plan(&without(&["zone,eire-b"]), false).unwrap(), ["put zone eire-b"]);
    capacity_follows_the_sheet: assert_eq!(
        plan(&full().replace("zone,eire-a,4", "zone,eire-a,2"), false).unwrap(),
        ["put zone eire-a"]
    );
    many_closed_at_once: assert_eq!(plan(&without(&["key,"]), false), Err(SheetError::TooManyClosed(5, 10)));
    many_closed_on_purpose: assert_eq!(plan(&without(&["key,"]), true).unwrap().len(), 5);
    withdrawn_key_is_not_brought_back: assert_matches!(
        withdrawn_meanwhile(),
        Err(SheetError::InvalidRows(f)) if f[0].reason == "key \"k1\" was withdrawn"
    );
    cut_file: for len in 0..full().trim_end().len() - 1 {
        assert!(Sheet::try_from(&full()[..len]).is_err(), "{len}");
    };
    missing_row: assert_matches!(plan(&full().replace("key,k3,\n", ""), true), Err(SheetError::Incomplete(_)));
    unknown_names_are_all_shown: assert_eq!(
        faults("sheet,eire,1\naccount,x,\nkey,y,\nclass,z,\nzone,w,1\nend,4,\n"),
        [(2, 2), (3, 2), (4, 2), (5, 2)]
    );
    bad_cells_are_all_shown: assert_eq!(
        faults("sheet,eire,soon\ncolour,a1,\naccount,A1,\nzone,eire-a,many\nkey,k1,x\nend,4,\n"),
        [(1, 3), (2, 1), (3, 2), (4, 3), (5, 3)]
    );
    name_twice: assert_eq!(faults("sheet,eire,1\nkey,k1,\nkey,k1,\nend,2,\n"), [(3, 2)]);
    too_few_columns: assert_eq!(faults("sheet,eire,1\nkey,k1\nend,1,\n"), [(2, 3)]);
}
