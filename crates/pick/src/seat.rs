use {serde::Serialize, unit::Name};

/// A worker's place in the fleet, as membership and the site have it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Seat {
    /// Its data centre.
    pub centre: Name,
    /// The daemon that grants its slots; `None` where no daemon serves.
    pub home: Option<Name>,
    /// Its name.
    pub name: Name,
    /// Whether it may get new work: neither leaving nor taken out by operators.
    pub open: bool,
    /// Whether this daemon has a share of the worker's measuring budget.
    pub share: bool,
}
