//! The owner of a log as a state machine: its single decisions, case by case.

mod blame;
mod crashes;
mod driver;
mod freshness;
mod growth;
mod jobs;
mod kept;
mod late_ends;
mod leaving;
mod listing;
mod news;
mod parts;
mod placing;
mod pressure;
mod refusals;
mod room;
mod sharing;
mod shrinking;
mod slow;
mod stops;
mod strangers;
mod takeover;
mod trial;
mod upkeep;
mod watching;
mod workers;
