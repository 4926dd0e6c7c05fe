use std::fmt::Display;

/// The events that the daemon logs; docs/EVENTS.md lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The daemon listens.
    Started,
    /// The daemon begins to serve.
    Serving,
    /// A stop was asked for.
    Stopping,
    /// Everything has ended.
    Stopped,
    /// A new generation is in force.
    Generation,
    /// A generation was refused as not valid.
    BadGeneration,
    /// A new list of VMs is in force.
    List,
    /// The daemons that serve have changed.
    Members,
    /// The platform doesn't answer.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
    /// Neither the platform nor most peers can be reached: new work is refused.
    Isolated,
    /// The platform or most peers can be reached again.
    Rejoined,
    /// A worker is taken as newly started.
    WorkerCold,
    /// A worker bears its full load.
    WorkerWarm,
    /// A worker is left out for failures.
    WorkerFailing,
    /// A worker is left out as slow.
    WorkerSlow,
    /// The stop's time is over with requests still in progress.
    Cut,
}

impl Event {
    /// Every event, in the order of their numbers.
    pub const ALL: [Self; 17] = [
        Self::Started,
        Self::Serving,
        Self::Stopping,
        Self::Stopped,
        Self::Generation,
        Self::BadGeneration,
        Self::List,
        Self::Members,
        Self::PlatformDown,
        Self::PlatformUp,
        Self::Isolated,
        Self::Rejoined,
        Self::WorkerCold,
        Self::WorkerWarm,
        Self::WorkerFailing,
        Self::WorkerSlow,
        Self::Cut,
    ];

    /// The number that stands in the log; it never changes its meaning.
    pub fn number(self) -> u16 {
        match self {
            Self::Started => 100,
            Self::Serving => 101,
            Self::Stopping => 102,
            Self::Stopped => 103,
            Self::Cut => 104,
            Self::Generation => 200,
            Self::BadGeneration => 201,
            Self::List => 202,
            Self::Members => 300,
            Self::Isolated => 301,
            Self::Rejoined => 302,
            Self::PlatformDown => 400,
            Self::PlatformUp => 401,
            Self::WorkerCold => 500,
            Self::WorkerWarm => 501,
            Self::WorkerFailing => 502,
            Self::WorkerSlow => 503,
        }
    }

    fn level(self) -> log::Level {
        match self {
            Self::BadGeneration | Self::Isolated => log::Level::Error,
            Self::PlatformDown
            | Self::WorkerCold
            | Self::WorkerFailing
            | Self::WorkerSlow
            | Self::Cut => log::Level::Warn,
            _ => log::Level::Info,
        }
    }
}

/// Logs an event with what it is about.
pub fn log(event: Event, about: impl Display) {
    log::log!(event.level(), "AF{} {event:?}: {about}", event.number());
}
