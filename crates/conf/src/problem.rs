use {
    derive_more::{Display, Error},
    std::fmt,
};

/// One thing wrong with a file, with the way out.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{file}:{line}: {key}: {message}; {remedy}")]
pub struct Problem {
    /// What would be accepted.
    pub remedy: String,
    /// The file as the operator named it.
    pub file: String,
    /// The section and key, or the section alone.
    pub key: String,
    /// The line, counted from 1; 1 where the thing is absent.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

/// Everything wrong with a file.
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
