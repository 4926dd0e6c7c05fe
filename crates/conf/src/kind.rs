use serde::{Deserialize, Serialize};

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Runs at most once; never sent twice unless the first was refused as not run.
    AtMostOnce,
    /// May run again without harm.
    Idempotent,
}

impl Kind {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        match text {
            "at-most-once" => Some(Self::AtMostOnce),
            "idempotent" => Some(Self::Idempotent),
            _ => None,
        }
    }
}
