//! Validation errors of settings and template files.

use std::fmt;

/// One mistake in a file: its place, what was found and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// File as named by the user.
    pub file: String,
    /// Section; empty for the whole file.
    pub section: String,
    /// Key; empty for the whole section.
    pub key: String,
    /// The text found, or a description of it.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " found {}; allowed: {}", self.found, self.allowed)
    }
}

/// All mistakes of a file; at least one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistakes(pub Vec<Mistake>);

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, mistake) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{mistake}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Mistakes {}
