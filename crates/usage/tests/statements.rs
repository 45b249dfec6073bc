//! Sums, sealing and acceptance of usage windows of the wall clock.

use usage::{
    Delivery,
    Reporter,
    Runs,
    Statements,
    Tally, //
};

fn runs(count: u64) -> Runs {
    [("ana".to_owned(), count)].into()
}

fn tally(host: &str, incarnation: u64, windows: &[(u64, u64)]) -> Tally {
    let reporter = Reporter {
        host: host.to_owned(),
        incarnation,
    };
    let windows = windows
        .iter()
        .map(|(window, count)| (*window, runs(*count)));
    (reporter, windows.collect())
}

fn recorded(tallies: &[Tally]) -> Statements {
    let mut statements = Statements::default();
    tallies
        .iter()
        .for_each(|tally| statements.record(tally.clone()));
    statements
}

case::cases! {
    report_keeps_the_oldest_windows_that_are_not_sealed: {
        let windows = (0..30).rev().map(|window| (window, 1)).collect::<Vec<_>>();
        let (_, mut kept) = tally("a", 1, &windows);
        usage::trim(&mut kept, Some(4));
        let numbers: Vec<_> = kept.iter().map(|(window, _)| *window).collect();
        assert_eq!(numbers, [5, 6, 7, 8, 9, 10, 11, 12]);
    };
    accepted_statements_do_not_count_as_pending: {
        let mut statements = recorded(&[tally("a", 1, &[(7, 3)])]);
        statements.seal(7);
        assert!(statements.pending_bytes() > 0);
        statements.accept(7);
        assert_eq!(statements.pending_bytes(), 0);
    };
    later_counts_replace_earlier_ones: {
        let mut statements = recorded(&[tally("a", 1, &[(7, 3)]), tally("a", 1, &[(7, 5)])]);
        statements.seal(7);
        assert_eq!(statements.pending().unwrap().runs, runs(5));
    };
    counts_of_a_host_s_incarnations_add_up: {
        let mut statements = recorded(&[tally("a", 1, &[(7, 3)]), tally("a", 2, &[(7, 5)])]);
        statements.seal(7);
        let statement = statements.pending().unwrap();
        assert_eq!((statement.runs.clone(), statement.sources), (runs(8), 2));
    };
    sealed_counts_never_change: {
        let mut statements = recorded(&[tally("a", 1, &[(7, 3)])]);
        statements.seal(7);
        statements.record(tally("b", 1, &[(7, 9)]));
        statements.seal(7);
        assert_eq!(statements.pending().unwrap().runs, runs(3));
        assert_eq!((statements.last_sealed(), statements.next_to_seal()), (Some(7), Some(8)));
    };
    window_without_reports_is_sealed_empty: {
        let mut statements = recorded(&[tally("a", 1, &[(7, 3)])]);
        statements.seal(7);
        statements.accept(7);
        statements.seal(8);
        let statement = statements.pending().unwrap();
        assert_eq!((statement.window, statement.runs.len()), (8, 0));
    };
    window_is_complete_once_a_later_one_is_reported: {
        let mut statements = recorded(&[tally("a", 1, &[(7, 3)]), tally("b", 1, &[(7, 4), (8, 0)])]);
        assert_eq!(statements.complete_reports(7), 1);
        statements.record(tally("a", 1, &[(7, 5), (8, 1)]));
        assert_eq!(statements.complete_reports(7), 2);
    };
    accepted_window_is_not_pending: {
        let mut statements = recorded(&[tally("a", 1, &[(7, 3)])]);
        statements.seal(7);
        assert_eq!(statements.pending().unwrap().delivery, Delivery::Pending);
        statements.accept(7);
        assert_eq!(statements.pending(), None);
    };
    next_window_is_the_oldest_reported_one: {
        assert_eq!(Statements::default().next_to_seal(), None);
        assert_eq!(recorded(&[tally("a", 1, &[(9, 0), (7, 3)])]).next_to_seal(), Some(7));
    };
    // The billing interface may be unreachable for a long time.
    statements_that_were_never_accepted_are_kept: {
        let mut statements = recorded(&[tally("a", 1, &[(1, 5)])]);
        (1..=200).for_each(|window| statements.seal(window));
        let pending = statements.pending().unwrap();
        assert_eq!((pending.window, pending.runs["ana"]), (1, 5));
        (1..=200).for_each(|window| statements.accept(window));
        assert_eq!(statements.pending(), None);
    };
    // A process whose clock is wrong must not displace the counts of others.
    counts_of_windows_far_ahead_displace_no_open_window: {
        let mut statements = recorded(&[tally("a", 1, &[(7, 5)])]);
        let ahead: Vec<_> = (1000..1020).map(|window| (window, 1)).collect();
        statements.record(tally("b", 1, &ahead));
        statements.seal(7);
        assert_eq!(statements.pending().unwrap().runs["ana"], 5);
    };
    // During an outage processes repeat their counts, and the windows are sealed one by one.
    windows_of_an_outage_are_all_counted: {
        let all: Vec<_> = (7..40).map(|window| (window, 1)).collect();
        let mut statements = recorded(&[tally("a", 1, &all)]);
        for window in 7..40 {
            statements.record(tally("a", 1, &all));
            statements.seal(window);
            assert_eq!(statements.pending().unwrap().runs["ana"], 1, "{window}");
            statements.accept(window);
        }
    };
}
