//! Harm that colocated tasks do to each other: learned, watched, kept low.

pub mod fit;
pub mod guard;
pub mod harm;
pub mod watch;
