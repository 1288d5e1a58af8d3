//! The version and the commit that the program is built from.

use std::fmt;

/// Origin of this build.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BuildInfo {
    /// Version of the package.
    pub version: &'static str,
    /// Commit, or `None` for a build outside of a repository.
    pub commit: Option<&'static str>,
    /// Whether tracked files differed from the commit.
    pub modified: bool,
}

/// Returns the origin of this build.
#[must_use]
pub fn get() -> BuildInfo {
    BuildInfo {
        version: env!("CARGO_PKG_VERSION"),
        commit: option_env!("VERGEN_GIT_SHA"),
        modified: option_env!("VERGEN_GIT_DIRTY") == Some("true"),
    }
}

impl BuildInfo {
    /// Returns the commit for a log line or a label.
    #[must_use]
    pub fn commit_name(&self) -> &'static str {
        self.commit.unwrap_or("unknown")
    }
}

impl fmt::Display for BuildInfo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let suffix = if self.modified { ", modified" } else { "" };
        write!(
            f,
            "{} (commit {}{suffix})",
            self.version,
            self.commit_name()
        )
    }
}
