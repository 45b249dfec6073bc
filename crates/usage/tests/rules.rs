//! Reports are counted exactly once, and the counts of a sealed window never change.

use ids::{
    Incarnation,
    Tokens, //
};
use usage::{
    Counts,
    Meter,
    Report,
    Source,
    UsageKey,
    UsageWindows, //
};

fn source(incarnation: u64) -> Source {
    Source {
        endpoint: "e1".try_into().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn key() -> UsageKey {
    UsageKey {
        account: "norte".try_into().unwrap(),
        class: "field".try_into().unwrap(),
    }
}

fn tokens(output: u64) -> Counts {
    Counts {
        runs: 1,
        input: Tokens(10),
        output: Tokens(output),
    }
}

fn record(meter: &mut Meter, output: u64) -> Report {
    meter.record(key(), tokens(output));
    meter.report().unwrap()
}

fn open_tokens(windows: &UsageWindows) -> u64 {
    windows
        .open_lines()
        .map(|(_, counts)| counts.output.0)
        .sum()
}

fn sealed_tokens(windows: &UsageWindows) -> Vec<u64> {
    let sum = |w: &usage::Window| w.lines.iter().map(|(_, c)| c.output.0).sum();
    windows.windows().map(sum).collect()
}

case::cases! {
    duplicate_and_reordered_reports_count_once: {
        let (mut meter, mut windows) = (Meter::new(source(1)), UsageWindows::default());
        let (first, second) = (record(&mut meter, 5), record(&mut meter, 7));
        [&second, &first, &second, &first].into_iter().for_each(|report| windows.merge(report));
        assert_eq!(open_tokens(&windows), 12);
    };
    counts_of_a_restarted_agent_add_up: {
        let mut windows = UsageWindows::default();
        windows.merge(&record(&mut Meter::new(source(1)), 5));
        windows.merge(&record(&mut Meter::new(source(2)), 5));
        assert_eq!(open_tokens(&windows), 10);
    };
    counts_after_a_seal_go_to_the_next_window: {
        let (mut meter, mut windows) = (Meter::new(source(1)), UsageWindows::default());
        let first = record(&mut meter, 5);
        windows.merge(&first);
        windows.seal(0, 60);
        windows.merge(&record(&mut meter, 7));
        windows.merge(&first);
        windows.seal(1, 120);
        assert_eq!(sealed_tokens(&windows), [5, 7]);
    };
    sealing_twice_changes_nothing: {
        let mut windows = UsageWindows::default();
        windows.merge(&record(&mut Meter::new(source(1)), 5));
        windows.seal(0, 60);
        windows.merge(&record(&mut Meter::new(source(2)), 9));
        windows.seal(0, 61);
        assert_eq!((sealed_tokens(&windows), open_tokens(&windows)), (vec![5], 9));
    };
    oldest_unaccepted_window_is_pending: {
        let mut windows = UsageWindows::default();
        windows.seal(0, 60);
        windows.seal(1, 120);
        windows.accept(0);
        assert_eq!(windows.pending().map(|w| w.number), Some(1));
    };
    unacknowledged_counts_are_reported_again: {
        let mut meter = Meter::new(source(1));
        let first = record(&mut meter, 5);
        let second = record(&mut meter, 7);
        meter.acknowledge(&first);
        assert_eq!(meter.report(), Some(second.clone()));
        meter.acknowledge(&second);
        assert_eq!(meter.report(), None);
    };
}
