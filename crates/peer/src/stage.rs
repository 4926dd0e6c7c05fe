use {crate::Standing, std::marker::PhantomData};

/// Before the daemon has the newest site.
#[derive(Debug)]
pub struct Joining;

/// While it takes new work.
#[derive(Debug)]
pub struct Serving;

/// After it was asked to stop.
#[derive(Debug)]
pub struct Leaving;

/// Where this daemon is in its life; it can only move forward.
#[derive(Debug)]
pub struct Stage<S>(PhantomData<S>);

impl Stage<Joining> {
    /// The first stage.
    pub fn new() -> Self {
        Self(PhantomData)
    }

    /// What peers are told.
    pub fn standing(&self) -> Standing {
        Standing::Joining
    }

    /// Begins to serve.
    pub fn serve(self) -> Stage<Serving> {
        Stage(PhantomData)
    }

    /// Leaves without having served.
    pub fn leave(self) -> Stage<Leaving> {
        Stage(PhantomData)
    }
}

impl Default for Stage<Joining> {
    fn default() -> Self {
        Self::new()
    }
}

impl Stage<Serving> {
    /// What peers are told.
    pub fn standing(&self) -> Standing {
        Standing::Serving
    }

    /// Stops taking new work.
    pub fn leave(self) -> Stage<Leaving> {
        Stage(PhantomData)
    }
}

impl Stage<Leaving> {
    /// What peers are told.
    pub fn standing(&self) -> Standing {
        Standing::Leaving
    }
}
