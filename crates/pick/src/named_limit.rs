use {derive_more::Display, unit::Rate};

/// The kind of response in which a worker tells something about itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoticeSource {
    /// The response to a health probe.
    #[display("probe")]
    Probe,
    /// The response to a caller's request.
    #[display("response")]
    Response,
}

/// The limit on requests that a worker names in its responses, as this daemon was last told.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NamedLimit {
    /// Whether responses to health probes name the limit, too.
    in_probes: bool,
    rate: Option<Rate>,
}

impl NamedLimit {
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Records what a response says, and returns whether it changes the limit. A response to a
    /// probe without a limit ends the limit only if such responses have named it before.
    pub(crate) fn record(&mut self, source: NoticeSource, named: Option<Rate>) -> bool {
        let tells = named.is_some() || source == NoticeSource::Response || self.in_probes;
        if !tells {
            return false;
        }
        self.in_probes = match source {
            NoticeSource::Probe => named.is_some(),
            NoticeSource::Response => self.in_probes && named.is_some(),
        };
        let changed = self.rate != named;
        self.rate = named;
        changed
    }
}
