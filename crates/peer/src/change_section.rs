use {
    crate::{
        PeerError, Section, decode, encode,
        topic_revs::{numbered_topic, topic_number},
    },
    serde::{Deserialize, Serialize},
    site::Change,
};

/// What stands in place of a topic's number if the body is a section of a heartbeat. Builds that
/// don't know it skip it as they skip a topic that they don't know.
const SECTION_NUMBER: u8 = u8::MAX;

/// The change to one topic, or a section of a heartbeat, in the reply to
/// [`crate::PeerRequest::FetchExtended`], which is a list of these.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSection {
    body: Vec<u8>,
    topic: u8,
}

impl ChangeSection {
    /// Encodes a change.
    ///
    /// # Errors
    /// Fails if the change can't be encoded.
    pub fn new(change: &Change) -> Result<Self, PeerError> {
        Ok(Self {
            body: encode(change)?,
            topic: topic_number(change.topic),
        })
    }

    /// Encodes a section of a heartbeat.
    ///
    /// # Errors
    /// Fails if the section can't be encoded.
    pub fn of_section(section: &Section) -> Result<Self, PeerError> {
        Ok(Self {
            body: encode(section)?,
            topic: SECTION_NUMBER,
        })
    }

    /// Decodes the section of a heartbeat; `None` if it is something else.
    ///
    /// # Errors
    /// Fails if the body isn't one complete section.
    pub fn section(&self) -> Result<Option<Section>, PeerError> {
        (self.topic == SECTION_NUMBER)
            .then(|| decode(&self.body))
            .transpose()
    }

    /// Decodes the change; `None` if this build doesn't know its topic.
    ///
    /// # Errors
    /// Fails if the body isn't one complete change.
    pub fn change(&self) -> Result<Option<Change>, PeerError> {
        numbered_topic(self.topic)
            .map(|_| decode(&self.body))
            .transpose()
    }
}
