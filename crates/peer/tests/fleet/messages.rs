//! Tests of the encoding of messages between daemons.

use {
    crate::harness::{ip, name},
    peer::{
        ChangeSection, CoarseAge, Datagram, FetchRequest, Format, FrameCodec, GossipEntry,
        Heartbeat, LimitEntry, MemberAges, News, PeerRequest, Section, SectionTag, Stage, Watch,
        decode, encode,
    },
    poison::{CrashNews, Fingerprint},
    quickcheck::quickcheck,
    site::{Change, Departure, Era, Rev, Revs, Topic},
    unit::{Rate, Span},
};

quickcheck! {
    fn arbitrary_bytes_do_not_panic_the_datagram_decoder(bytes: Vec<u8>) -> bool {
        let extended: Vec<u8> = [0xFF, 1, 0].into_iter().chain(bytes.iter().copied()).collect();
        let _ = Datagram::decode(&extended);
        Datagram::decode(&bytes).is_err() || bytes.len() > 1
    }

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
            ages: None,
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

#[test]
fn a_receiver_of_the_legacy_form_gets_a_heartbeat_without_sections() {
    // Guards against a datagram that builds which know only heartbeats refuse.
    let section = Section::new(SectionTag::Rollouts, &7_u32).expect("encodable");
    let heartbeat = heartbeat();
    let bytes = Datagram::encode_heartbeat(Format::Legacy, &heartbeat, &[section]);
    let bytes = bytes.expect("encodable");
    assert_eq!(decode::<Heartbeat>(&bytes).expect("valid"), heartbeat);
}

#[test]
fn a_section_of_an_extended_heartbeat_arrives_and_legacy_receivers_refuse_it() {
    let section = Section::new(SectionTag::Rejecting, &7_u32).expect("encodable");
    let bytes = Datagram::encode_heartbeat(Format::Extended, &heartbeat(), &[section]);
    let bytes = bytes.expect("encodable");
    assert!(decode::<Heartbeat>(&bytes).is_err());
    let Ok(Datagram::Heartbeat {
        format,
        heartbeat: received,
        sections,
    }) = Datagram::decode(&bytes)
    else {
        panic!("not a heartbeat");
    };
    assert_eq!((format, *received), (Format::Extended, heartbeat()));
    assert!(sections[0].has_tag(SectionTag::Rejecting));
    assert_eq!(sections[0].content::<u32>().expect("valid"), 7);
}

#[test]
fn a_datagram_of_an_unknown_kind_or_layout_is_no_error() {
    // Guards against log lines about each message of a later build.
    for bytes in [[0xFF, 1, 99], [0xFF, 2, 0]] {
        assert_eq!(
            Datagram::decode(&bytes).expect("skipped"),
            Datagram::Unknown
        );
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        staleness: Span::ZERO,
        centre: "a".into(),
        contacts: Vec::new(),
        sequence: 1,
        ip: ip(1),
        incarnation: 7,
        name: name(1),
        news: None,
        revs: Revs::default(),
        ages: None,
        gossip: Vec::new(),
        wanted: Vec::new(),
        stage: Stage::Ready,
        watch: Watch::Off,
    }
}

/// Guards against a truncated datagram that counts as one of a later build.
#[test]
fn a_truncated_extended_datagram_is_an_error() {
    for bytes in [&[0xFF][..], &[0xFF, 1], &[0xFF, 2], &[0xFF, 1, 0]] {
        assert!(Datagram::decode(bytes).is_err(), "{bytes:?}");
    }
}

/// Guards against a legacy heartbeat that changes as topics are added, and against revisions of
/// later topics that don't arrive.
#[test]
fn revisions_of_a_section_become_part_of_the_heartbeat_and_unknown_topics_are_skipped() {
    let known = Rev::new(Era(1), 9);
    let section = Section::new(SectionTag::Revs, &vec![(1_u8, known), (200, known)]);
    let section = section.expect("encodable");
    let bytes = Datagram::encode_heartbeat(Format::Extended, &heartbeat(), &[section]);
    let Ok(Datagram::Heartbeat { heartbeat, .. }) = Datagram::decode(&bytes.expect("encodable"))
    else {
        panic!("not a heartbeat");
    };
    let mut expected = Revs::default();
    expected.raise(Topic::Config, known);
    assert_eq!(heartbeat.revs, expected);
}

/// Guards against a reply to a fetch that a build without one of its topics refuses.
#[test]
fn changes_of_known_topics_arrive_and_those_of_unknown_topics_are_skipped() {
    let change = Change {
        absent_departure: Departure::Left,
        full: false,
        items: Vec::new(),
        rev: Rev::new(Era(1), 9),
        topic: Topic::Workers,
    };
    let section = ChangeSection::new(&change).expect("encodable");
    assert_eq!(section.change().expect("valid"), Some(change));
    let unknown: ChangeSection =
        decode(&encode(&(vec![7_u8], 200_u8)).expect("encodable")).expect("a section");
    assert_eq!(unknown.change().expect("skipped"), None);
    let broken: ChangeSection =
        decode(&encode(&(vec![7_u8], 3_u8)).expect("encodable")).expect("a section");
    assert!(broken.change().is_err());
}

#[test]
fn the_revision_of_the_rollouts_does_not_change_the_legacy_form() {
    // Guards against heartbeats that builds without rollouts refuse.
    let mut later = heartbeat();
    later.revs.rollouts = site::Rev::new(site::Era(1), 900);
    let encoded = encode(&later).expect("encodable");
    assert_eq!(encoded, encode(&heartbeat()).expect("encodable"));
}

#[test]
fn the_reply_to_a_fetch_carries_sections_of_heartbeats_that_earlier_builds_skip() {
    let section = Section::new(SectionTag::Rollouts, &7_u32).expect("encodable");
    let carried = ChangeSection::of_section(&section).expect("encodable");
    assert_eq!(carried.section().expect("valid"), Some(section));
    // A build that knows only topics sees one that it doesn't know.
    assert_eq!(carried.change().expect("skipped"), None);
}

#[test]
fn compact_gossip_survives_the_extended_form_and_leaves_the_legacy_form_as_it_was() {
    let mut compact = heartbeat();
    compact.ages = Some(Box::new(MemberAges {
        ages: vec![0, 7, 255],
        digest: 9,
    }));
    let bytes = Datagram::encode_heartbeat(Format::Extended, &compact, &[]).expect("encodable");
    let Ok(Datagram::Heartbeat {
        heartbeat: decoded, ..
    }) = Datagram::decode(&bytes)
    else {
        panic!("no heartbeat");
    };
    assert_eq!(*decoded, compact);
    let legacy = Datagram::encode_heartbeat(Format::Legacy, &compact, &[]).expect("encodable");
    assert_eq!(legacy, encode(&heartbeat()).expect("encodable"));
}
