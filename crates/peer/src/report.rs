use {crate::Standing, serde::Serialize, unit::Name};

/// A view's state, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct ViewReport {
    /// How much longer this daemon may feed cold workers, in milliseconds.
    pub feed_ms: u64,
    /// The listed daemons but this one.
    pub members: Vec<MemberReport>,
    /// Whether the view has lasted long enough to be relied on.
    pub settled: bool,
    /// Where this daemon is in its life.
    pub standing: Standing,
}

/// A member's state, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct MemberReport {
    /// Its data centre.
    pub centre: Name,
    /// Milliseconds since it was last heard.
    pub heard_ms: Option<u64>,
    /// Its life.
    pub life: u64,
    /// Its name.
    pub name: Name,
    /// Where it is in its life.
    pub standing: Standing,
    /// Whether it counts as alive.
    pub up: bool,
}
