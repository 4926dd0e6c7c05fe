/// Which requests a worker may get, by its version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lane {
    /// Only requests that are chosen for the target version of a running rollout.
    Canary,
    /// None.
    Held,
    /// All others.
    #[default]
    Open,
}
