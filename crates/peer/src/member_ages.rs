//! A compact form of gossip: one byte a member, between daemons that know the same members.

use {
    crate::Stage,
    serde::{Deserialize, Serialize},
    unit::{Name, Span, rendezvous_weight},
};

/// The key under which the data centres of members are hashed.
const CENTRE_KEY: &str = "centre";
/// The resolution of ages below [`FINE_STEPS`] steps, in microseconds, and of longer ones.
const FINE_MICROS: u64 = 50_000;
const COARSE_MICROS: u64 = 100_000;
const FINE_STEPS: u64 = 60;
/// The number of ages that a byte can stand for, beside each of the stages.
const STEPS: u64 = 85;
const STAGES: [Stage; 3] = [Stage::Leaving, Stage::Ready, Stage::Starting];
/// Stands for a member that the sender doesn't count as alive, and for the sender.
const UNHEARD: u8 = u8::MAX;

/// What the sender of a heartbeat last heard of each member, for a receiver that knows the same ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAges {
    /// For each daemon of the sender's data centre, or of the fleet, in the order of
    /// [`MemberOrder`], its age and stage. Empty if the receiver isn't known to have the same order.
    pub ages: Vec<u8>,
    /// The digest of the sender's [`MemberOrder`].
    pub digest: u32,
}

impl MemberAges {
    /// Only the digest, for a receiver that may have another order.
    pub(crate) const fn only_digest(digest: u32) -> Self {
        Self {
            ages: Vec::new(),
            digest,
        }
    }
}

/// All daemons that a daemon knows, itself included, in an order that depends on nothing else.
#[derive(Clone, Debug)]
pub(crate) struct MemberOrder {
    /// Differs between daemons that know different ones.
    pub(crate) digest: u32,
    /// The names and data centres.
    pub(crate) members: Vec<(Name, Name)>,
}

impl MemberOrder {
    pub(crate) fn new(mut members: Vec<(Name, Name)>) -> Self {
        members.sort_unstable();
        let digest = members.iter().fold(0_u64, |digest, (name, centre)| {
            let member = rendezvous_weight(name, CENTRE_KEY) ^ rendezvous_weight(centre, name);
            digest.rotate_left(1).wrapping_add(member)
        });
        Self {
            digest: (digest ^ (digest >> 32)) as u32,
            members,
        }
    }

    /// The names that `ages` of a sender in `centre` are about; `None` if their number fits neither
    /// the data centre nor the fleet.
    pub(crate) fn names(&self, centre: &str, ages: usize) -> Option<Vec<&Name>> {
        let local = self.names_in(Some(centre));
        if ages == local.len() {
            return Some(local);
        }
        (ages == self.members.len()).then(|| self.names_in(None))
    }

    /// The names of a data centre's daemons, or of all.
    pub(crate) fn names_in(&self, centre: Option<&str>) -> Vec<&Name> {
        let selected = self
            .members
            .iter()
            .filter(|(_, other)| centre.is_none_or(|centre| **other == *centre));
        selected.map(|(name, _)| name).collect()
    }
}

/// The byte for a member that was heard `age` ago, rounded up; `None` stands for one that wasn't.
pub(crate) fn pack(heard: Option<(Span, Stage)>) -> u8 {
    let Some((age, stage)) = heard else {
        return UNHEARD;
    };
    let micros = age.as_micros();
    let fine = micros.div_ceil(FINE_MICROS);
    let step = if fine < FINE_STEPS {
        fine
    } else {
        let beyond = micros.saturating_sub(FINE_STEPS * FINE_MICROS);
        FINE_STEPS + beyond.div_ceil(COARSE_MICROS)
    };
    let stage = STAGES.iter().position(|other| *other == stage);
    let byte = step * STAGES.len() as u64 + stage.unwrap_or_default() as u64;
    if step < STEPS {
        u8::try_from(byte).unwrap_or(UNHEARD)
    } else {
        UNHEARD
    }
}

/// The age and the stage that a byte stands for.
pub(crate) fn unpack(byte: u8) -> Option<(Span, Stage)> {
    if byte == UNHEARD {
        return None;
    }
    let count = STAGES.len() as u64;
    let (step, stage) = (u64::from(byte) / count, u64::from(byte) % count);
    let micros = if step < FINE_STEPS {
        step * FINE_MICROS
    } else {
        FINE_STEPS * FINE_MICROS + (step - FINE_STEPS) * COARSE_MICROS
    };
    Some((Span::micros(micros), STAGES[stage as usize]))
}
