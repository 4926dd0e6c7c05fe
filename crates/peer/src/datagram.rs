//! Datagrams between daemons, in the form that earlier builds read and in an extensible one.

use {
    crate::{Heartbeat, MemberAges, PeerError, TopicRevs, codec, decode, encode},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// The first byte of an extended datagram. No encoded heartbeat begins with it, so builds that know
/// only heartbeats refuse an extended datagram as a whole.
const EXTENDED_MARK: u8 = 0xFF;
/// The layout of extended datagrams that this build reads.
const LAYOUT: u8 = 1;
const KIND_HEARTBEAT: u8 = 0;
const KIND_QUOTA: u8 = 1;

/// Which messages a daemon reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Extended ones, besides those of earlier builds.
    Extended,
    /// Only heartbeats without sections, and the requests of [`crate::PeerRequest`] up to `Forward`.
    #[default]
    Legacy,
}

/// What a section of a heartbeat is about. A receiver skips the sections whose tag it doesn't know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum SectionTag {
    /// The state of roll-outs and what was seen of their versions.
    Rollouts = 1,
    /// Workers that reject requests although their load reports show room.
    Rejecting = 2,
    /// The revisions of the topics that the legacy form lacks, as [`TopicRevs`]. They become part of
    /// [`Heartbeat::revs`].
    Revs = 3,
    /// What the sender last heard of the members, as [`MemberAges`]. They become
    /// [`Heartbeat::ages`].
    Ages = 4,
}

/// A part of a heartbeat that a receiver may skip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    body: Vec<u8>,
    tag: u8,
}

impl Section {
    /// Encodes the content of a section.
    ///
    /// # Errors
    /// Fails if the content can't be encoded.
    pub fn new<T: Serialize>(tag: SectionTag, content: &T) -> Result<Self, PeerError> {
        Ok(Self {
            body: encode(content)?,
            tag: tag as u8,
        })
    }

    /// Whether the section has this tag.
    pub fn has_tag(&self, tag: SectionTag) -> bool {
        self.tag == tag as u8
    }

    /// Decodes the content.
    ///
    /// # Errors
    /// Fails if the body isn't one complete value of the type.
    pub fn content<T: DeserializeOwned>(&self) -> Result<T, PeerError> {
        decode(&self.body)
    }
}

/// A received datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// A heartbeat in either form, with the sections of an extended one.
    Heartbeat {
        /// The form in which it came; the sender reads messages of this form.
        format: Format,
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
        /// Its sections, also those of unknown tags.
        sections: Vec<Section>,
    },
    /// A message about quotas, still encoded.
    Quota(Vec<u8>),
    /// A message of a kind or layout that this build doesn't know.
    Unknown,
}

impl Datagram {
    /// Decodes a datagram.
    ///
    /// # Errors
    /// Fails if it is neither a heartbeat in the legacy form nor a complete extended datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, PeerError> {
        match bytes {
            [EXTENDED_MARK, LAYOUT, kind, body @ ..] => Self::decode_extended(*kind, body),
            [EXTENDED_MARK, _, _, ..] => Ok(Self::Unknown),
            _ => Ok(Self::Heartbeat {
                format: Format::Legacy,
                heartbeat: Box::new(decode(bytes)?),
                sections: Vec::new(),
            }),
        }
    }

    /// Encodes a heartbeat in the form that a receiver of `format` reads. The legacy form leaves
    /// the sections out.
    ///
    /// # Errors
    /// Fails if the heartbeat can't be encoded.
    pub fn encode_heartbeat(
        format: Format,
        heartbeat: &Heartbeat,
        sections: &[Section],
    ) -> Result<Vec<u8>, PeerError> {
        let legacy = encode(heartbeat)?;
        match format {
            Format::Legacy => Ok(legacy),
            Format::Extended => {
                let revs = TopicRevs::beyond_legacy(&heartbeat.revs);
                let revs = revs.map(|revs| Section::new(SectionTag::Revs, &revs));
                let ages = heartbeat.ages.as_deref();
                let ages = ages.map(|ages| Section::new(SectionTag::Ages, ages));
                let sections: Vec<Section> = sections
                    .iter()
                    .cloned()
                    .map(Ok)
                    .chain(revs)
                    .chain(ages)
                    .collect::<Result<_, _>>()?;
                Ok(extended(KIND_HEARTBEAT, encode(&(legacy, sections))?))
            }
        }
    }

    /// Encodes a message about quotas.
    ///
    /// # Errors
    /// Fails if the message can't be encoded.
    pub fn encode_quota<T: Serialize>(message: &T) -> Result<Vec<u8>, PeerError> {
        Ok(extended(KIND_QUOTA, encode(message)?))
    }

    fn decode_extended(kind: u8, body: &[u8]) -> Result<Self, PeerError> {
        match kind {
            KIND_HEARTBEAT => {
                let (legacy, sections): (Vec<u8>, Vec<Section>) = codec::decode(body)?;
                let mut heartbeat: Box<Heartbeat> = Box::new(decode(&legacy)?);
                let revs = sections.iter().find(|part| part.has_tag(SectionTag::Revs));
                if let Some(revs) = revs {
                    revs.content::<TopicRevs>()?.raise(&mut heartbeat.revs);
                }
                let ages = sections.iter().find(|part| part.has_tag(SectionTag::Ages));
                if let Some(ages) = ages {
                    heartbeat.ages = Some(Box::new(ages.content::<MemberAges>()?));
                }
                Ok(Self::Heartbeat {
                    format: Format::Extended,
                    heartbeat,
                    sections,
                })
            }
            KIND_QUOTA => Ok(Self::Quota(body.to_vec())),
            _ => Ok(Self::Unknown),
        }
    }
}

fn extended(kind: u8, body: Vec<u8>) -> Vec<u8> {
    let mut bytes = vec![EXTENDED_MARK, LAYOUT, kind];
    bytes.extend(body);
    bytes
}
