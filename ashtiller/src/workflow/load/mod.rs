//! Demand for the capacity of workers, and the capacity that is there for it.
//!
//! [`account`] is the one record of both. The capacity reserve, admission, fair shares and run-time
//! estimates read it; only the log owner's state machine writes it.

pub mod account;
