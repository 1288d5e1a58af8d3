//! Harm that colocated tasks do to each other: learned, watched, kept low.

pub mod interference_model;
pub mod placement;
pub mod throttling;
pub mod worker_report;
