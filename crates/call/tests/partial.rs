//! What becomes of responses of which only a part has arrived.

use call::{AttemptEnding, PartialBody, PartialVerdict};

const KB: usize = 1 << 10;
const MB: usize = 1 << 20;

/// A body of unknown length of which this much has arrived.
fn unknown(arrived: usize) -> PartialBody {
    PartialBody {
        arrived,
        buffered: arrived,
        length: None,
    }
}

fn verdict(ending: Option<AttemptEnding>, body: PartialBody) -> PartialVerdict {
    PartialVerdict::new(ending, body, || body.buffered)
}

/// Guards against memory that is taken by what is never delivered.
#[test]
fn what_no_caller_gets_is_not_kept() {
    for ending in [
        AttemptEnding::InvalidResponse,
        AttemptEnding::Lost,
        AttemptEnding::Unsent,
    ] {
        let rejected = verdict(Some(ending), unknown(0));
        assert_eq!(rejected, PartialVerdict::Reject, "{ending}");
    }
    assert_eq!(verdict(None, unknown(KB)), PartialVerdict::Skip);
    assert_eq!(verdict(None, unknown(17 * MB)), PartialVerdict::Reject);
    let announced = PartialBody {
        length: Some(17 * MB),
        ..unknown(0)
    };
    assert_eq!(verdict(None, announced), PartialVerdict::Reject);
}

/// The head of a refusal says all that counts; its body is awaited only to keep the connection.
#[test]
fn the_end_of_a_long_refusal_is_not_awaited() {
    for ending in [AttemptEnding::NotRun, AttemptEnding::Misdirected] {
        let short = verdict(Some(ending), unknown(16 * KB));
        assert_eq!(short, PartialVerdict::Keep, "{ending}");
        let long = verdict(Some(ending), unknown(16 * KB + 1));
        assert_eq!(long, PartialVerdict::End, "{ending}");
    }
}

#[test]
fn a_served_response_is_kept_while_there_is_memory_and_passed_on_otherwise() {
    let ending = Some(AttemptEnding::Served);
    assert_eq!(verdict(ending, unknown(MB)), PartialVerdict::Keep);
    assert_eq!(verdict(ending, unknown(MB + 1)), PartialVerdict::PassOn);
    let scarce = PartialVerdict::new(ending, unknown(33 * KB), || 5 * MB);
    assert_eq!(scarce, PartialVerdict::PassOn);
}

/// A failure isn't passed on while it arrives, since another worker's response may replace it.
#[test]
fn a_failure_is_kept_while_there_is_memory_and_rejected_otherwise() {
    let ending = Some(AttemptEnding::Failed);
    assert_eq!(verdict(ending, unknown(MB)), PartialVerdict::Keep);
    assert_eq!(verdict(ending, unknown(MB + 1)), PartialVerdict::Reject);
    let scarce = PartialVerdict::new(ending, unknown(33 * KB), || 5 * MB);
    assert_eq!(scarce, PartialVerdict::Reject);
}
