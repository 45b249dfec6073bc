//! The pages in `docs/` list exactly the events, counters and error kinds that the code defines.

use std::fs;
use std::path::Path;

use fault::TABLE;
use obs::{
    COUNTERS,
    EVENTS, //
};

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    fs::read_to_string(path).unwrap()
}

fn count_rows(page: &str, prefix: &str) -> usize {
    page.lines().filter(|line| line.starts_with(prefix)).count()
}

case::cases! {
    every_event_is_on_its_page: {
        let page = page("EVENTS.md");
        for row in EVENTS {
            let level = format!("{:?}", row.severity).to_lowercase();
            let line = format!("| {} | {level} | {} |", row.number, row.text);
            assert!(page.contains(&line), "{line}");
        }
        assert_eq!(count_rows(&page, "| 1") + count_rows(&page, "| 2") + count_rows(&page, "| 3") + count_rows(&page, "| 4"), EVENTS.len());
    };
    event_numbers_increase: assert!(EVENTS.windows(2).all(|pair| pair[0].number < pair[1].number));
    every_counter_is_on_its_page: {
        let page = page("COUNTERS.md");
        for (_, name, text) in COUNTERS {
            assert!(page.contains(&format!("| `{name}` | {text} |")), "{name}");
        }
        for row in TABLE {
            assert!(page.contains(&format!("| `refused.{}` | {} |", row.code, row.text)), "{}", row.code);
        }
        assert_eq!(count_rows(&page, "| `"), COUNTERS.len() + TABLE.len());
    };
    every_kind_is_on_the_api_page: {
        let page = page("API.md");
        for row in TABLE {
            let retry = if row.retry_after == 0 { String::new() } else { row.retry_after.to_string() };
            let line = format!("| `{}` | {} | {} | {retry} | {} |", row.code, row.status, row.execution.as_str(), row.text);
            assert!(page.contains(&line), "{line}");
        }
    };
}
