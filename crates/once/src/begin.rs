/// What to do with a request that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin<A> {
    /// The ticket is past its end: not run here, nothing known of before.
    Expired,
    /// Another daemon or another life must answer for it: not run here, nothing known of there.
    Foreign,
    /// No room for another key: not run here.
    Full,
    /// It ran before, with this answer.
    Known(A),
    /// The key was used for a different request.
    Mismatch,
    /// It was sent before, and what became of it is not known.
    Lost,
    /// It was called not run under this ticket, and stays so.
    NotRun,
    /// Run it, then say how it ended.
    Run,
    /// It runs at this moment.
    Running,
}
