use serde::{Deserialize, Serialize};

/// Which requests go first when not all can.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// May wait, but lands in the end.
    Deferrable,
    /// Somebody is waiting for the answer.
    Interactive,
}

impl Priority {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        match text {
            "deferrable" => Some(Self::Deferrable),
            "interactive" => Some(Self::Interactive),
            _ => None,
        }
    }
}
