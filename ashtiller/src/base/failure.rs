//! Error type of steps that involve another process.

use std::fmt;
use std::sync::Arc;

/// Whether a failed step may have taken effect at the peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RemoteEffect {
    /// The step had no effect at the peer.
    None,
    /// The peer may have executed the step.
    Unknown,
}

/// A failed step, with its peer and its cause.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Short description of the step, such as "ask owner".
    pub step: &'static str,
    /// Address or name of the peer.
    pub peer: Arc<str>,
    /// Message of the error that made the step fail.
    pub cause: Arc<str>,
    /// Whether the peer may have executed the step.
    pub effect: RemoteEffect,
    /// Whether the peer has refused the step for what it is, and will refuse each repetition.
    pub is_final: bool,
}

impl Failure {
    /// Creates the failure of a step that may have taken effect.
    pub fn unknown_effect(
        step: &'static str,
        peer: impl fmt::Display,
        cause: impl fmt::Display,
    ) -> Self {
        Self::new(step, peer, cause, RemoteEffect::Unknown)
    }

    /// Creates the failure of a step that had no effect.
    pub fn no_effect(
        step: &'static str,
        peer: impl fmt::Display,
        cause: impl fmt::Display,
    ) -> Self {
        Self::new(step, peer, cause, RemoteEffect::None)
    }

    /// Creates the failure of a step that the peer refuses for what it is, however often it is repeated.
    pub fn refused(step: &'static str, peer: impl fmt::Display, cause: impl fmt::Display) -> Self {
        Self {
            is_final: true,
            ..Self::no_effect(step, peer, cause)
        }
    }

    /// Returns whether the peer did not answer in time. In other cases the connection was refused
    /// or broke, or the answer could not be decoded.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        self.cause.contains("in time")
    }

    /// Returns whether nothing listens at the peer's address, so that its process has ended.
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
            is_final: false,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for Failure {}
