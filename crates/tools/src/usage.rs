//! What processes use of the machine.

use std::{fs, time::Duration};

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of a page in `/proc`.
const PAGE_BYTES: u64 = 4_096;

/// What a process has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

impl Usage {
    /// Reads the usage of this process.
    pub fn of_self() -> Usage {
        Usage::of("self").unwrap_or(Usage { cpu: Duration::ZERO, resident: 0 })
    }

    /// Reads the usage of a process by its number. Returns nothing if it is gone.
    pub fn of(process: &str) -> Option<Usage> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        // The name in parentheses may hold spaces; the fields follow it.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let number = |index: usize| fields.get(index)?.parse::<u64>().ok();
        let ticks = number(11)? + number(12)?;
        let cpu = Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND);
        Some(Usage { cpu, resident: number(21)? * PAGE_BYTES })
    }
}
