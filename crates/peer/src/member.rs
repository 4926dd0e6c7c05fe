use {
    crate::Standing,
    unit::{Name, Time},
};

/// Another daemon, as one view has it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) centre: Name,
    /// When it was last heard.
    pub(crate) heard: Option<Time>,
    pub(crate) life: u64,
    /// Heartbeats since it was last gone.
    pub(crate) run: u32,
    /// The number of the last heartbeat from it.
    pub(crate) seq: u64,
    pub(crate) standing: Standing,
    /// The view that it supports, and when the heartbeat that asked for it was sent.
    pub(crate) support: Option<(u64, Time)>,
    /// Whether this view counts it as alive.
    pub(crate) up: bool,
}

impl Member {
    pub(crate) fn new(centre: Name) -> Self {
        Self {
            centre,
            heard: None,
            life: 0,
            run: 0,
            seq: 0,
            standing: Standing::Joining,
            support: None,
            up: false,
        }
    }

    pub(crate) fn serves(&self) -> bool {
        self.up && self.standing == Standing::Serving
    }

    pub(crate) fn drop_out(&mut self) {
        self.run = 0;
        self.seq = 0;
        self.support = None;
        self.up = false;
    }
}
