use {
    crate::{Entry, Event, Subject},
    unit::{Map, Span, Time},
};

/// When what was disrupted.
#[derive(Debug, Default)]
pub(crate) struct Disruptions<'a>(Map<&'a Subject, Vec<(Time, Time)>>);

impl<'a> Disruptions<'a> {
    pub(crate) fn new(entries: &'a [Entry]) -> Self {
        let mut by_subject: Map<&Subject, Vec<(Time, Time)>> = Map::default();
        for entry in entries {
            if let Event::Disrupted { subject, until } = &entry.event {
                by_subject
                    .entry(subject)
                    .or_default()
                    .push((entry.at, *until));
            }
        }
        Self(by_subject)
    }

    /// Whether a disruption of the subject, or its `tail`, meets the time between two moments.
    pub(crate) fn meet(&self, subject: &Subject, (from, to): (Time, Time), tail: Span) -> bool {
        let spans = self.0.get(subject).map(Vec::as_slice).unwrap_or_default();
        spans
            .iter()
            .any(|(begin, end)| *begin <= to && from <= *end + tail)
    }
}
