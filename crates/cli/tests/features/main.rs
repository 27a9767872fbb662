//! Tests of options and exits, one file a feature.

mod exit_codes;
mod option_findings;
