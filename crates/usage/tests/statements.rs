//! The rules of usage by windows of the wall clock.

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

fn noted(tallies: &[Tally]) -> Statements {
    let mut statements = Statements::default();
    tallies
        .iter()
        .for_each(|tally| statements.report(tally.clone()));
    statements
}

case::cases! {
    later_figures_replace_earlier_ones: {
        let mut statements = noted(&[tally("a", 1, &[(7, 3)]), tally("a", 1, &[(7, 5)])]);
        statements.seal(7);
        assert_eq!(statements.pending().unwrap().runs, runs(5));
    };
    runs_of_one_host_add_up: {
        let mut statements = noted(&[tally("a", 1, &[(7, 3)]), tally("a", 2, &[(7, 5)])]);
        statements.seal(7);
        let statement = statements.pending().unwrap();
        assert_eq!((statement.runs.clone(), statement.sources), (runs(8), 2));
    };
    sealed_figures_never_change: {
        let mut statements = noted(&[tally("a", 1, &[(7, 3)])]);
        statements.seal(7);
        statements.report(tally("b", 1, &[(7, 9)]));
        statements.seal(7);
        assert_eq!(statements.pending().unwrap().runs, runs(3));
        assert_eq!((statements.last(), statements.next()), (Some(7), Some(8)));
    };
    window_nobody_reported_is_empty: {
        let mut statements = noted(&[tally("a", 1, &[(7, 3)])]);
        statements.seal(7);
        statements.accept(7);
        statements.seal(8);
        let statement = statements.pending().unwrap();
        assert_eq!((statement.window, statement.runs.len()), (8, 0));
    };
    figures_sent_before_a_window_s_end_do_not_complete_it: {
        let mut statements = noted(&[tally("a", 1, &[(7, 3)]), tally("b", 1, &[(7, 4), (8, 0)])]);
        assert_eq!(statements.reported(7), 1);
        statements.report(tally("a", 1, &[(7, 5), (8, 1)]));
        assert_eq!(statements.reported(7), 2);
    };
    accepted_window_is_not_pending: {
        let mut statements = noted(&[tally("a", 1, &[(7, 3)])]);
        statements.seal(7);
        assert_eq!(statements.pending().unwrap().delivery, Delivery::Pending);
        statements.accept(7);
        assert_eq!(statements.pending(), None);
    };
    first_report_opens_the_first_window: {
        assert_eq!(Statements::default().next(), None);
        assert_eq!(noted(&[tally("a", 1, &[(9, 0), (7, 3)])]).next(), Some(7));
    };
}
