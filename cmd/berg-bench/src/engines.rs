//! Compares policies for choosing among batching engines.

use std::fmt::Display;
use std::process::ExitCode;

use enginesim::{
    Disturbance,
    Policy,
    Row,
    RunOptions,
    Workload,
    simulate,
    write_report, //
};

use crate::flags::Flags;

/// Loads of the simulation, as multiples of the first users' workload.
const LOADS: [f64; 4] = [0.5, 1.0, 1.5, 2.0];
/// Widths of the table's columns, in characters.
const WIDTHS: [usize; 19] = [8, 4, 11, 13, 6, 5, 7, 6, 6, 6, 9, 10, 8, 7, 9, 6, 7, 5, 9];

/// Simulates every policy under every load and disturbance, and writes the report.
pub(crate) fn compare(flags: &Flags) -> ExitCode {
    match run_all(flags) {
        Ok(()) => {
            eprintln!("{}: engines.csv and engines.html", flags.out.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("berg-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_all(flags: &Flags) -> Result<(), String> {
    print(Row::HEADS);
    let mut rows = Vec::new();
    let only = flags.only.as_deref();
    let selected = |workload: &Workload| only.is_none_or(|only| only == workload.name());
    for workload in Workload::ALL.into_iter().filter(selected) {
        for disturbance in workload.disturbances() {
            for load in LOADS {
                run_policies(flags, workload, disturbance, load, &mut rows)?;
            }
            if flags.quick {
                break;
            }
        }
    }
    write_report(&flags.out, &rows).map_err(|error| error.to_string())
}

/// Simulates every policy under one load and disturbance, and adds the results to `rows`.
fn run_policies(
    flags: &Flags,
    workload: Workload,
    disturbance: Disturbance,
    load: f64,
    rows: &mut Vec<Row>,
) -> Result<(), String> {
    for policy in Policy::ALL {
        let options = RunOptions {
            workload,
            speed: 1.0,
            load,
            disturbance,
            policy,
            duration: flags.length,
            seed: flags.seed,
        };
        let metrics = simulate(options).map_err(|error| error.to_string())?;
        let row = Row::new(&options, &metrics);
        print(row.cells());
        rows.push(row);
    }
    Ok(())
}

fn print(cells: [impl Display; 19]) {
    let pad = |(cell, width)| format!("{cell:>width$}");
    let line: Vec<_> = cells.into_iter().zip(WIDTHS).map(pad).collect();
    println!("{}", line.join(" "));
}
