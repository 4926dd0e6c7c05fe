use crate::ForwardRequest;

/// How many requests of other daemons may be in flight at a helper, so that its own callers lose
/// nothing.
const MAX_IN_FLIGHT: usize = 32;
/// How many bytes of their bodies a helper holds.
const MAX_BODY_BYTES: usize = 8 << 20;

/// What a helper looks at before it takes a request of another daemon.
#[derive(Clone, Copy, Debug)]
pub struct Intake {
    /// The bytes of the bodies of such requests that are in flight, this one's included.
    pub body_bytes: usize,
    /// The version of the configuration that is in force.
    pub config: u64,
    /// Whether the helper is cut off from the workers of the service.
    pub cut: bool,
    /// How many such requests are in flight, without this one.
    pub in_flight: usize,
    /// Whether the helper is ready, and neither starting nor stopping.
    pub ready: bool,
    /// Whether the request's route leads to the service.
    pub routed: bool,
}

impl Intake {
    /// Whether the helper takes the request.
    pub fn admits(&self, request: &ForwardRequest) -> bool {
        self.ready
            && self.routed
            && !self.cut
            && request.attempts > 0
            && self.config >= request.config
            && self.in_flight < MAX_IN_FLIGHT
            && self.body_bytes <= MAX_BODY_BYTES
    }
}
