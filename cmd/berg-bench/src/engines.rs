//! The comparison of choices among batching engines.

use std::process::ExitCode;
use std::time::Duration;

use pool::{
    Policy,
    Row,
    Run,
    Score,
    Trouble,
    run,
    write_report, //
};

use crate::flags::Flags;

/// Loads measured, as multiples of the sheet's.
const LOADS: [f64; 4] = [0.5, 1.0, 1.5, 2.0];

/// Plays every choice under every load and disturbance, and writes the report.
pub(crate) fn compare(flags: &Flags) -> ExitCode {
    println!(
        "{:>4} {:<6} {:<14} {:>6} {:>6} {:>7} {:>6} {:>6} {:>6} {:>8} {:>8}",
        "load",
        "trouble",
        "policy",
        "in aim",
        "late",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "again k/s",
        "zones MB/s"
    );
    let mut rows = Vec::new();
    for trouble in Trouble::ALL {
        for load in LOADS {
            for policy in Policy::ALL {
                let score = run(Run {
                    load,
                    trouble,
                    policy,
                    length: flags.length,
                    seed: flags.seed,
                });
                let row = row(load, trouble, policy, &score, flags.length);
                print(&row);
                rows.push(row);
            }
        }
        if flags.quick {
            break;
        }
    }
    match write_report(&flags.out, &rows) {
        Ok(()) => {
            eprintln!("{}: engines.csv and engines.html", flags.out.display());
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("berg-bench: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn row(load: f64, trouble: Trouble, policy: Policy, score: &Score, length: Duration) -> Row {
    let seconds = length.as_secs_f64();
    Row {
        load,
        trouble: trouble.name().to_owned(),
        policy: policy.name().to_owned(),
        in_aim: score.share(score.in_aim),
        late: score.share(score.late),
        refused: score.share(score.refused),
        failed: score.share(score.failed),
        p50_ms: score.first_ms(50),
        p99_ms: score.first_ms(99),
        again_k_s: score.again as f64 / 1000.0 / seconds,
        between_mb_s: score.bytes as f64 / 1_000_000.0 / seconds,
    }
}

fn print(row: &Row) {
    println!(
        "{:>4} {:<6} {:<14} {:>6.3} {:>6.3} {:>7.3} {:>6.3} {:>6.0} {:>6.0} {:>8.1} {:>8.2}",
        row.load,
        row.trouble,
        row.policy,
        row.in_aim,
        row.late,
        row.refused,
        row.failed,
        row.p50_ms,
        row.p99_ms,
        row.again_k_s,
        row.between_mb_s
    );
}
