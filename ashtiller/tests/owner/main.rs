//! The owner of a log as a state machine: its single decisions, case by case.

mod decisions;
mod driver;
mod leaving;
mod listing;
mod takeover;
