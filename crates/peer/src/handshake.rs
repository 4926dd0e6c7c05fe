use unit::{Span, Time};

/// How many extended heartbeats a member is offered that sends legacy ones.
const MAX_OFFERS: u32 = 3;
/// How long after the first of these it is offered as many again, in case all of them were lost.
/// Legacy builds log each datagram that they refuse, so this is rare.
const OFFER_PERIOD: Span = Span::secs(600);

/// The extended heartbeats that were offered to an incarnation of a member, to learn whether it reads
/// them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Handshake {
    /// When the last round of offers began.
    began: Option<Time>,
    /// The offers in that round.
    offers: u32,
    /// Whether the member answered none of the offers of a round.
    refused: bool,
}

impl Handshake {
    /// Whether another heartbeat is to be offered now; counts it. To be called for each legacy
    /// heartbeat of a member that isn't known to read extended ones.
    pub(crate) fn take_offer(&mut self, now: Time) -> bool {
        let due = |began: Time| now.since(began) >= OFFER_PERIOD;
        if self.began.is_none_or(due) {
            self.began = Some(now);
            self.offers = 0;
        }
        if self.offers == MAX_OFFERS {
            self.refused = true;
            return false;
        }
        self.offers += 1;
        true
    }

    /// Whether any heartbeat was offered.
    pub(crate) fn has_begun(&self) -> bool {
        self.began.is_some()
    }

    /// Whether the member went on with legacy heartbeats after a round of offers.
    pub(crate) fn is_refused(&self) -> bool {
        self.refused
    }
}
