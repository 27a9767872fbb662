//! Tests of options and exit codes, one file per feature.

mod exit_codes;
mod option_findings;
