//! The error of a step that involved another process.

use std::fmt;
use std::sync::Arc;

/// What is known about the effect of a failed step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RemoteEffect {
    /// Nothing happened at the peer.
    None,
    /// The peer may have done it.
    Unknown,
}

/// A failed step: which one, at which peer, and why.
#[derive(Clone, Debug)]
pub struct Failure {
    /// What was being done.
    pub step: &'static str,
    /// With whom.
    pub peer: Arc<str>,
    /// Why it failed.
    pub cause: Arc<str>,
    /// Whether the peer may have done it.
    pub effect: RemoteEffect,
}

impl Failure {
    /// A step that may have had its effect.
    pub fn unknown_effect(
        step: &'static str,
        peer: impl fmt::Display,
        cause: impl fmt::Display,
    ) -> Self {
        Self::new(step, peer, cause, RemoteEffect::Unknown)
    }

    /// A step that had no effect.
    pub fn no_effect(
        step: &'static str,
        peer: impl fmt::Display,
        cause: impl fmt::Display,
    ) -> Self {
        Self::new(step, peer, cause, RemoteEffect::None)
    }

    /// Whether the peer said nothing at all; else a connection was refused or broke, or an
    /// answer could not be read.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        self.cause.contains("in time")
    }

    /// Whether nobody listens at the peer's address: its process has ended.
    #[must_use]
    pub fn is_connection_refused(&self) -> bool {
        self.cause.contains("refused")
    }

    fn new(
        step: &'static str,
        peer: impl fmt::Display,
        cause: impl fmt::Display,
        effect: RemoteEffect,
    ) -> Self {
        let (peer, cause) = (peer.to_string().into(), cause.to_string().into());
        Self {
            step,
            peer,
            cause,
            effect,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for Failure {}
