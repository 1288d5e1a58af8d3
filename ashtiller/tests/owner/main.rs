//! The owner of a log as a state machine: its single decisions, case by case.

mod driver;
mod freshness;
mod growth;
mod jobs;
mod kept;
mod leaving;
mod listing;
mod news;
mod parts;
mod placing;
mod room;
mod sharing;
mod slow;
mod takeover;
mod trial;
mod watching;
mod workers;
