use {
    crate::{
        PeerError, decode, encode,
        topic_revs::{numbered_topic, topic_number},
    },
    serde::{Deserialize, Serialize},
    site::Change,
};

/// The change to one topic in the reply to [`crate::PeerRequest::FetchExtended`], which is a list of
/// these.
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
