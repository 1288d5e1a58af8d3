//! Performance interference between colocated tasks: its model, and how it is kept low.
//!
//! - [`interference_model`]: learns how much batch work slows services;
//! - [`placement`]: chooses a worker for a task by the interference to expect there;
//! - [`throttling`]: slows or evicts batch tasks beside a service that misses its target;
//! - [`worker_report`]: feeds reports of workers to the model and the controller.

pub mod interference_model;
pub mod placement;
pub mod throttling;
pub mod worker_report;
