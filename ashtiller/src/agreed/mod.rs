//! Configuration and membership, on which all processes of a deployment agree.

pub mod apply;
pub mod config;
pub mod config_state;
pub mod document;
pub mod members;
pub mod membership;
pub mod mistake;
pub mod settings;
pub mod template;
pub mod unit;
