use {
    crate::{Job, Msg, Seat, Spec, Verdict},
    serde::Serialize,
    unit::{Name, Time},
};

/// What happens to a desk.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Event {
    /// A request came in.
    Arrive(Job),
    /// A new connection to a worker was opened and showed this life, or failed.
    Dialed {
        /// Whether it was opened ahead of requests.
        ahead: bool,
        /// The worker's life; `None` where no connection could be had.
        boot: Option<u64>,
        /// The worker.
        worker: Name,
    },
    /// A request to a worker ended.
    End {
        /// The request.
        id: u64,
        /// Whether its connection can be used again.
        reuse: bool,
        /// How it ended.
        verdict: Verdict,
        /// The worker.
        worker: Name,
    },
    /// Until when this daemon may feed cold workers and measure, in the view of this number.
    Feed {
        /// The view's number; a permission for other seats than the present ones is void.
        epoch: u64,
        /// When the permission ends.
        until: Time,
    },
    /// A request asks for a second worker while the first one is still at work.
    Hedge {
        /// The request.
        job: Job,
        /// The worker that has it.
        not: Name,
    },
    /// A request no longer waits.
    Leave(u64),
    /// Idle connections to a worker were closed.
    Lost {
        /// How many.
        conns: u32,
        /// The worker.
        worker: Name,
    },
    /// A peer's desk says something.
    Peer(Name, Msg),
    /// A link to a peer came up.
    PeerUp(Name),
    /// A request whose first worker failed it asks for another.
    Retry {
        /// Whether the first worker said that it did not run, or got no byte.
        free: bool,
        /// The request.
        job: Job,
        /// The worker that failed it.
        not: Name,
    },
    /// It was too late to open a connection ahead of requests.
    Skipped(Name),
    /// The service's limits changed.
    Spec(Spec),
    /// The workers, or their places, changed; `daemons` share the connections.
    Seats {
        /// Daemons that may connect, at most.
        daemons: u32,
        /// The number of the view that the seats were made from.
        epoch: u64,
        /// Every worker of the service.
        seats: Vec<Seat>,
    },
    /// Time has passed; comes every few milliseconds.
    Tick,
}
