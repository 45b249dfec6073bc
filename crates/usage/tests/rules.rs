//! Nothing is counted twice, nothing is lost, and a sealed window stands.

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

fn source(run: u64) -> Source {
    Source {
        endpoint: "e1".try_into().unwrap(),
        incarnation: Incarnation(run),
    }
}

fn line() -> UsageKey {
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

fn work(meter: &mut Meter, output: u64) -> Report {
    meter.record(line(), tokens(output));
    meter.report().unwrap()
}

fn open(book: &UsageWindows) -> u64 {
    book.open_lines().map(|(_, counts)| counts.output.0).sum()
}

fn sealed(book: &UsageWindows) -> Vec<u64> {
    let sum = |w: &usage::Window| w.lines.iter().map(|(_, c)| c.output.0).sum();
    book.windows().map(sum).collect()
}

case::cases! {
    duplicate_and_reordered_reports: {
        let (mut meter, mut book) = (Meter::new(source(1)), UsageWindows::default());
        let (first, second) = (work(&mut meter, 5), work(&mut meter, 7));
        [&second, &first, &second, &first].into_iter().for_each(|report| book.merge(report));
        assert_eq!(open(&book), 12);
    };
    restarted_agent_counts_anew: {
        let mut book = UsageWindows::default();
        book.merge(&work(&mut Meter::new(source(1)), 5));
        book.merge(&work(&mut Meter::new(source(2)), 5));
        assert_eq!(open(&book), 10);
    };
    late_counts_go_to_the_next_window: {
        let (mut meter, mut book) = (Meter::new(source(1)), UsageWindows::default());
        let first = work(&mut meter, 5);
        book.merge(&first);
        book.seal(0, 60);
        book.merge(&work(&mut meter, 7));
        book.merge(&first);
        book.seal(1, 120);
        assert_eq!(sealed(&book), [5, 7]);
    };
    sealing_twice_changes_nothing: {
        let mut book = UsageWindows::default();
        book.merge(&work(&mut Meter::new(source(1)), 5));
        book.seal(0, 60);
        book.merge(&work(&mut Meter::new(source(2)), 9));
        book.seal(0, 61);
        assert_eq!((sealed(&book), open(&book)), (vec![5], 9));
    };
    windows_are_delivered_in_order: {
        let mut book = UsageWindows::default();
        book.seal(0, 60);
        book.seal(1, 120);
        book.accept(0);
        assert_eq!(book.pending().map(|w| w.number), Some(1));
    };
    unacknowledged_lines_are_reported_again: {
        let mut meter = Meter::new(source(1));
        let first = work(&mut meter, 5);
        let second = work(&mut meter, 7);
        meter.acknowledge(&first);
        assert_eq!(meter.report(), Some(second.clone()));
        meter.acknowledge(&second);
        assert_eq!(meter.report(), None);
    };
}
