//! What daemons send each other reads back as written.

use {
    crate::harness::{ip, name},
    peer::{
        CoarseAge, FetchRequest, FrameCodec, GossipEntry, Heartbeat, Stage, Watch, decode, encode,
    },
    quickcheck::quickcheck,
    site::Revs,
    unit::Span,
};

quickcheck! {
    fn no_bytes_break_the_codec(bytes: Vec<u8>) -> bool {
        let mut frame = FrameCodec::default();
        frame.push(&bytes);
        let _ = frame.decode::<FetchRequest>();
        decode::<Heartbeat>(&bytes).is_err() || bytes.len() > 8
    }

    fn an_age_that_is_told_is_never_too_young(micros: u32) -> bool {
        let span = Span::micros(u64::from(micros % 12_750_000));
        let told = CoarseAge::new(span).span();
        span <= told && told <= span + Span::millis(50)
    }

    fn a_heartbeat_reads_back_as_written(count: u32, life: u32, rows: Vec<(u32, u64)>) -> bool {
        let beat = Heartbeat {
            staleness: Span::millis(u64::from(count)),
            centre: "a".into(),
            contacts: Vec::new(),
            sequence: count,
            ip: ip(1),
            incarnation: life,
            name: name(1),
            revs: Revs::default(),
            gossip: rows
                .into_iter()
                .map(|(key, ago)| GossipEntry { age: CoarseAge::new(Span::micros(ago)), name_hash: key, stage: Stage::Ready })
                .collect(),
            wanted: vec![life],
            stage: Stage::Leaving,
            watch: Watch::Live,
        };
        let bytes = encode(&beat).expect("it is small");
        decode::<Heartbeat>(&bytes).is_ok_and(|read| read == beat)
    }
}

#[test]
fn frames_are_cut_where_they_say_and_not_too_long() {
    let fetch = FetchRequest {
        revs: Revs::default(),
    };
    let bytes = FrameCodec::encode(&fetch).expect("it is small");
    let mut frame = FrameCodec::default();
    for byte in &bytes {
        assert_eq!(frame.decode::<FetchRequest>().expect("readable"), None);
        frame.push(&[*byte]);
    }
    assert_eq!(
        frame.decode::<FetchRequest>().expect("readable"),
        Some(fetch)
    );
    frame.push(&[255; 8]);
    assert!(frame.decode::<FetchRequest>().is_err());
}
