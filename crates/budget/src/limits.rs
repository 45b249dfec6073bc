//! The limits of a budget.

use std::time::Duration;

use crate::Class;

/// Memory that a process needs without any client: code, threads, its view of the deployment.
const BASE_BYTES: usize = 16_000_000;
/// Smallest budget, so that a process with little memory still serves single requests.
const MIN_BYTES: usize = 8_000_000;
/// How long a request waits for memory. Callers' deadlines are a few seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(2);
/// A body of which no byte arrives for so long is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The same while other requests wait for memory.
const STALL_TIMEOUT_SHORT: Duration = Duration::from_secs(1);
/// Lowest average rate of a body in bytes per second. A body of the usual largest size would take 17
/// minutes, so the time limit on uploads ends any slow legal one first.
const MIN_RATE: u64 = 4096;
/// Time during which the lowest rate does not apply.
const RATE_GRACE: Duration = Duration::from_secs(5);

/// The limits of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Total of all shares, in bytes.
    pub bytes: usize,
    /// How long a request waits for memory before it is rejected.
    pub wait: Duration,
    /// How long no byte of a body may arrive.
    pub stall: Duration,
    /// The same while another request waits for memory.
    pub short_stall: Duration,
    /// Lowest average rate of a body after the first [`Limits::grace`], in bytes per second.
    pub rate: u64,
    /// Time during which the rate does not apply.
    pub grace: Duration,
}

impl Limits {
    /// The limits of a process that may use `memory` bytes. A quarter of what the process does not need
    /// itself is left for the allocator's overhead and for fragmentation.
    pub fn of_memory(memory: usize) -> Self {
        Self {
            bytes: (memory.saturating_sub(BASE_BYTES) / 4 * 3).max(MIN_BYTES),
            wait: WAIT_TIMEOUT,
            stall: STALL_TIMEOUT,
            short_stall: STALL_TIMEOUT_SHORT,
            rate: MIN_RATE,
            grace: RATE_GRACE,
        }
    }

    /// The total of all shares up to which a class is granted memory.
    pub fn ceiling(&self, class: Class) -> usize {
        let sixteenths = match class {
            Class::Connection => 8,
            Class::Large => 12,
            Class::Upload => 13,
            Class::Small => 14,
            Class::Response => 16,
        };
        self.bytes / 16 * sixteenths
    }

    /// The total that requests may hold while they wait for more memory as this class. Those that wait
    /// for the memory of an upload must leave some of what only requests without one may use.
    pub(crate) fn waiting(&self, class: Class) -> usize {
        match class {
            Class::Upload => self.bytes / 32,
            Class::Large => self.bytes / 8,
            Class::Small | Class::Response | Class::Connection => self.bytes,
        }
    }
}
