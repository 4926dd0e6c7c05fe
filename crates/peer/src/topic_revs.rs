//! Topics in extended messages, where each has a number of its own.

use {
    serde::{Deserialize, Serialize},
    site::{LegacyChange, Rev, Revs, Topic},
};

/// The number of a topic in extended messages. It never changes, and none is used again.
pub(crate) const fn topic_number(topic: Topic) -> u8 {
    match topic {
        Topic::Config => 1,
        Topic::Evacuations => 2,
        Topic::Workers => 3,
        Topic::Rollouts => 4,
    }
}

/// The topic with a number; `None` if this build doesn't know it.
pub(crate) fn numbered_topic(number: u8) -> Option<Topic> {
    let mut topics = Topic::ALL.into_iter();
    topics.find(|topic| topic_number(*topic) == number)
}

/// The revisions of topics, with the topics' numbers. A receiver skips the numbers that it doesn't
/// know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicRevs(Vec<(u8, Rev)>);

impl TopicRevs {
    /// The revisions of all topics.
    pub fn new(revs: &Revs) -> Self {
        Self::of(revs, Topic::ALL.into_iter())
    }

    /// The revisions of the topics that the legacy form of a heartbeat lacks; `None` if nothing is
    /// known of these.
    pub(crate) fn beyond_legacy(revs: &Revs) -> Option<Self> {
        let later = Topic::ALL
            .into_iter()
            .filter(|topic| !LegacyChange::covers(*topic) && revs.of(*topic) > Rev::default());
        Some(Self::of(revs, later)).filter(|later| !later.0.is_empty())
    }

    fn of(revs: &Revs, topics: impl Iterator<Item = Topic>) -> Self {
        Self(
            topics
                .map(|topic| (topic_number(topic), revs.of(topic)))
                .collect(),
        )
    }

    /// Raises revisions to those of the topics that this build knows.
    pub fn raise(&self, revs: &mut Revs) {
        for (number, rev) in &self.0 {
            if let Some(topic) = numbered_topic(*number) {
                revs.raise(topic, *rev);
            }
        }
    }
}
