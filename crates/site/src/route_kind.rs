use {
    serde::{Deserialize, Serialize},
    unit::Name,
};

/// What a route's requests are, which decides whether they may be executed more than once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request is executed at most once each time its caller sends it.
    AtMostOnce,
    /// Requests for large responses; a request may be executed more than once.
    Download,
    /// A request may be executed more than once.
    Idempotent,
    /// A kind that this version doesn't know, by its name in the configuration. Nothing is known
    /// of repeating its requests, so each is executed at most once.
    Unknown(Name),
    /// Requests with large bodies; each is executed at most once, as for [`Self::AtMostOnce`].
    Upload,
}

impl RouteKind {
    /// Whether a request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        match self {
            Self::Download | Self::Idempotent => true,
            Self::AtMostOnce | Self::Unknown(_) | Self::Upload => false,
        }
    }

    /// The name for logs, metrics and messages.
    pub fn name(&self) -> &'static str {
        match self {
            Self::AtMostOnce => "at-most-once",
            Self::Download => "download",
            Self::Idempotent => "idempotent",
            Self::Unknown(_) => "unknown",
            Self::Upload => "upload",
        }
    }
}
