//! Processor time and memory that processes use.

use std::{fs, time::Duration};

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a memory page, the unit of resident memory in `/proc`.
const PAGE_BYTES: u64 = 4_096;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Processor time since the process started.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

impl Usage {
    /// Reads the usage of this process. Returns zero if `/proc` cannot be read.
    pub fn of_self() -> Usage {
        Usage::of("self").unwrap_or(Usage { cpu: Duration::ZERO, resident: 0 })
    }

    /// Reads the usage of a process by its process ID. Returns `None` if the process has ended.
    pub fn of(process: &str) -> Option<Usage> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        // The process name in parentheses may contain spaces; the numeric fields follow it.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let number = |index: usize| fields.get(index)?.parse::<u64>().ok();
        let ticks = number(11)? + number(12)?;
        let cpu = Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND);
        Some(Usage { cpu, resident: number(21)? * PAGE_BYTES })
    }
}
