use {
    derive_more::{Display, Error},
    std::fmt,
};

/// A problem in a file, with its remedy.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{file}:{line}: {key}: {message}; {remedy}")]
pub struct Problem {
    /// How to correct it, such as the values that are allowed.
    pub remedy: String,
    /// The file's path as the operator gave it.
    pub file: String,
    /// The section and key, either of them alone, or `syntax`.
    pub key: String,
    /// The line, counted from 1: that of the key, else of the section, else 1. A problem
    /// between files always has line 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

/// All problems found in one or more files.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Problems(#[error(not(source))] pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
