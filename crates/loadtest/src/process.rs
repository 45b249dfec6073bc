//! Resource use of this process: CPU time by thread name, and resident memory.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in `/proc/*/stat`; a constant of the kernel's interface.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the CPU time of all live threads whose names begin with one of the prefixes.
pub(crate) fn cpu_time(prefixes: &[&str]) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let ticks = tasks.flatten().filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        let matches = prefixes
            .iter()
            .any(|prefix| name.trim_end().starts_with(prefix));
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        matches.then(|| ticks_of(&stat)).flatten()
    });
    Duration::from_millis(ticks.sum::<u64>() * 1000 / TICKS_PER_SECOND)
}

/// Returns the sum of user and system time in a line of `/proc/PID/stat`, in clock ticks.
fn ticks_of(stat: &str) -> Option<u64> {
    // The name, in brackets, may contain spaces and brackets; the fields after it cannot.
    let fields: Vec<_> = stat.rsplit(')').next()?.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

#[cfg(test)]
mod tests {
    use super::*;

    case::cases! {
        thread_name_may_contain_spaces_and_brackets: assert_eq!(
            ticks_of("7 (a b) c) S 1 2 3 4 5 6 7 8 9 10 30 12 0 0"),
            Some(42)
        );
        incomplete_stat_line_is_ignored: assert_eq!(ticks_of("7 (a) S 1"), None);
        resident_memory_is_read: assert!(resident_bytes() > 0);
    }
}
