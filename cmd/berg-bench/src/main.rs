//! Benchmarks: simulates routing policies under load and disturbances in virtual time, and measures
//! the system's resource use at several sizes and its guarantees under faults in real time.

mod engines;
mod flags;

use std::process::ExitCode;

use bench::{
    Disturbance,
    Metrics,
    Policy,
    Row,
    RunOptions,
    Site,
    simulate,
    write_report, //
};
use flags::{
    Benchmark,
    Flags, //
};

/// Loads of the simulation, as multiples of the site's capacity.
const LOADS: [f64; 4] = [0.7, 1.0, 1.5, 3.0];

fn main() -> ExitCode {
    let flags = flags::parse();
    match flags.benchmark {
        Benchmark::Capacity => return capacity(&flags),
        Benchmark::Soak => return soak(&flags),
        Benchmark::Engines => return engines::compare(&flags),
        Benchmark::Policy => {}
    }
    let rows = simulate_policies(&flags);
    match write_report(&flags.out, &rows) {
        Ok(()) => {
            eprintln!("{}: policy.csv and policy.html", flags.out.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("berg-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the capacity measurements one after the other and prints a linear fit of each series. A
/// failed measurement does not stop the others.
fn capacity(flags: &Flags) -> ExitCode {
    let mut all = Vec::new();
    let mut code = ExitCode::SUCCESS;
    let selected = |name: &str| flags.only.as_deref().is_none_or(|only| only == name);
    for (name, measure) in loadtest::MEASUREMENTS
        .iter()
        .filter(|(name, _)| selected(name))
    {
        eprintln!("measuring {name}");
        match measure() {
            Ok(series) => all.extend(series),
            Err(error) => {
                eprintln!("berg-bench: {name}: {error}");
                code = ExitCode::FAILURE;
            }
        }
    }
    for series in &all {
        let fit = series.fit();
        println!("{} by {}", series.name, series.size);
        let values = series
            .samples
            .iter()
            .map(|s| format!("{}: {:.3}", s.x, s.y));
        println!("  {}", values.collect::<Vec<_>>().join("  "));
        println!(
            "  {:.4} + {:.6} x, residual {:.1} %",
            fit.base,
            fit.slope,
            fit.residual * 100.0
        );
    }
    match loadtest::write_csv(&flags.out.join("capacity.csv"), &all) {
        Ok(()) => code,
        Err(error) => {
            eprintln!("berg-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the soak test and prints its results.
fn soak(flags: &Flags) -> ExitCode {
    let report = match loadtest::soak(flags.length, flags.seed) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("berg-bench: soak: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!(
        "model calls served {}, refused or broken {}",
        report.served, report.rejected
    );
    println!(
        "bookings run {}, replayed {}, turned away {}",
        report.booked, report.replayed, report.rejected_bookings
    );
    println!(
        "faults {}, keys withdrawn {}",
        report.faults, report.withdrawn_keys
    );
    for series in &report.memory {
        let fit = series.fit();
        println!(
            "{}: {:.1} + {:.4} a second",
            series.name, fit.base, fit.slope
        );
    }
    println!("violations {}", report.violations.len());
    report
        .violations
        .iter()
        .take(20)
        .for_each(|violation| println!("  {violation}"));
    if report.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Simulates every policy at every site, disturbance and load, and prints the results.
fn simulate_policies(flags: &Flags) -> Vec<Row> {
    println!(
        "{:<11} {:>4} {:<10} {:<18} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>6} {:>6} {:>5}",
        "site",
        "load",
        "fault",
        "policy",
        "tier0",
        "tier1",
        "tier2",
        "tier3",
        "serv3",
        "goodput",
        "wasted",
        "worst",
        "broken",
        "viol"
    );
    let mut rows = Vec::new();
    for site in [Site::Hidrovigia, Site::Cruinneog] {
        for disturbance in Disturbance::ALL {
            for load in LOADS {
                for policy in Policy::ALL.into_iter().filter(|p| flags.includes(*p)) {
                    let metrics = simulate(RunOptions {
                        site,
                        load,
                        disturbance,
                        policy,
                        duration: flags.length,
                        seed: flags.seed,
                    });
                    let row = row(site, load, disturbance, policy, &metrics);
                    print(&row);
                    rows.push(row);
                }
            }
        }
        if flags.quick {
            break;
        }
    }
    rows
}

fn row(site: Site, load: f64, disturbance: Disturbance, policy: Policy, metrics: &Metrics) -> Row {
    Row {
        site: site.name().to_owned(),
        load,
        disturbance: disturbance.name().to_owned(),
        policy: policy.name().to_owned(),
        tier0: metrics.attainment[0],
        tier1: metrics.attainment[1],
        tier2: metrics.attainment[2],
        tier3: metrics.attainment[3],
        served3: metrics.served[3],
        goodput: metrics.goodput,
        wasted: metrics.wasted,
        worst: metrics.worst,
        broken: metrics.broken,
        cost: metrics.cost,
        violations: metrics.inversions,
    }
}

fn print(row: &Row) {
    println!(
        "{:<11} {:>4} {:<10} {:<18} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>7.3} {:>7.0} {:>7.4} {:>6.2} {:>6} {:>5}",
        row.site,
        row.load,
        row.disturbance,
        row.policy,
        row.tier0,
        row.tier1,
        row.tier2,
        row.tier3,
        row.served3,
        row.goodput,
        row.wasted,
        row.worst,
        row.broken,
        row.violations
    );
}
