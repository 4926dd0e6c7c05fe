//! Tests of the encoding of messages between daemons.

use {
    crate::harness::{ip, name},
    peer::{
        CoarseAge, FetchRequest, FrameCodec, GossipEntry, Heartbeat, LimitEntry, News, PeerRequest,
        Stage, Watch, decode, encode,
    },
    poison::{CrashNews, Fingerprint},
    quickcheck::quickcheck,
    site::Revs,
    unit::{Rate, Span},
};

quickcheck! {
    fn arbitrary_bytes_do_not_panic_the_codec(bytes: Vec<u8>) -> bool {
        let mut codec = FrameCodec::default();
        codec.push(&bytes);
        let _ = codec.decode::<PeerRequest>();
        decode::<Heartbeat>(&bytes).is_err() || bytes.len() > 8
    }

    fn a_coarse_age_is_rounded_up_by_at_most_one_step(micros: u32) -> bool {
        let span = Span::micros(u64::from(micros % 12_750_000));
        let rounded = CoarseAge::new(span).span();
        span <= rounded && rounded <= span + Span::millis(50)
    }

    fn a_heartbeat_decodes_as_it_was_encoded(
        sequence: u32,
        incarnation: u32,
        entries: Vec<(u32, u64)>
    ) -> bool {
        let heartbeat = Heartbeat {
            staleness: Span::millis(u64::from(sequence)),
            centre: "a".into(),
            contacts: Vec::new(),
            sequence,
            ip: ip(1),
            incarnation,
            name: name(1),
            news: Some(Box::new(News {
            crashes: vec![CrashNews {
                age: Span::millis(u64::from(sequence)),
                request: Fingerprint(u64::from(sequence) << 32),
                run: Some(incarnation),
            }],
            limits: vec![LimitEntry {
                age: CoarseAge::new(Span::millis(u64::from(sequence))),
                rate: Rate::per_second(f64::from(sequence) / 10.0),
                run: incarnation,
            }],
                unreached: vec![incarnation],
            })),
            revs: Revs::default(),
            gossip: entries
                .into_iter()
                .map(|(name_hash, micros)| GossipEntry {
                    age: CoarseAge::new(Span::micros(micros)),
                    name_hash,
                    stage: Stage::Ready,
                })
                .collect(),
            wanted: vec![incarnation],
            stage: Stage::Leaving,
            watch: Watch::Live,
        };
        let bytes = encode(&heartbeat).expect("a small message");
        decode::<Heartbeat>(&bytes).is_ok_and(|decoded| decoded == heartbeat)
    }
}

/// A message that no daemon would read is not sent.
#[test]
fn a_message_that_is_too_long_is_not_encoded() {
    let long = vec![1u8; 9 << 20];
    assert!(encode(&long).is_err());
    assert!(FrameCodec::encode(&long).is_err());
    assert!(encode(&long[..7 << 20].to_vec()).is_ok());
}

#[test]
fn a_frame_decodes_once_it_is_complete_and_one_that_is_too_long_is_rejected() {
    let request = PeerRequest::Fetch(FetchRequest {
        revs: Revs::default(),
    });
    let bytes = FrameCodec::encode(&request).expect("a small message");
    let mut codec = FrameCodec::default();
    for byte in &bytes {
        assert_eq!(codec.decode::<PeerRequest>().expect("valid"), None);
        codec.push(&[*byte]);
    }
    assert_eq!(codec.decode::<PeerRequest>().expect("valid"), Some(request));
    codec.push(&[255; 8]);
    assert!(codec.decode::<PeerRequest>().is_err());
}
