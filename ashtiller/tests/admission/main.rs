//! Admission control and triage under overload, in virtual time.

mod model;
mod orders;
