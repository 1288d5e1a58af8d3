//! Failures.
