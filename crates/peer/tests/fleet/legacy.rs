//! Messages to and from builds up to 02d23ad, compared with recorded ones. The recorded files were
//! encoded by a program that was linked with the crates of 02d23ad; streams are recorded as frames.

use {
    forward::{ForwardReply, ForwardRequest},
    peer::{
        CoarseAge, Contact, Datagram, FetchRequest, Format, FrameCodec, GossipEntry, Heartbeat,
        LimitEntry, News, PeerRequest, Stage, Watch,
    },
    poison::{CrashNews, Fingerprint},
    site::{
        Account, Change, ColdStart, Config, Departure, Era, KeyDigest, LegacyChange, ObjectState,
        Rev, Revs, Route, RouteKind, Service, Target, Topic, Versioned, Worker, WorkerState,
    },
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        sync::Arc,
    },
    unit::{Map, Name, Rate, Span},
};

const HEARTBEAT: &[u8] = include_bytes!("recorded/heartbeat");
const FETCH: &[u8] = include_bytes!("recorded/fetch");
const FETCH_REPLY: &[u8] = include_bytes!("recorded/fetch-reply");
const FORWARD: &[u8] = include_bytes!("recorded/forward");
const NOT_RUN: &[u8] = include_bytes!("recorded/not-run");

fn rev(number: u64) -> Rev {
    Rev::new(Era(2), number)
}

fn revs() -> Revs {
    let mut revs = Revs::default();
    revs.raise(Topic::Config, rev(7));
    revs.raise(Topic::Evacuations, rev(300));
    revs.raise(Topic::Workers, rev(70_000));
    revs
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        staleness: Span::millis(120),
        centre: "a".into(),
        contacts: vec![Contact {
            centre: "b".into(),
            ip: Ipv4Addr::new(10, 0, 0, 2),
            name: "front-b-1".into(),
        }],
        sequence: 41,
        ip: Ipv4Addr::new(10, 0, 0, 1),
        incarnation: 0xFFFF_FF07,
        name: "front-a-0".into(),
        news: Some(Box::new(News {
            crashes: vec![CrashNews {
                age: Span::millis(400),
                request: Fingerprint(1 << 40),
                run: Some(5),
            }],
            limits: vec![LimitEntry {
                age: CoarseAge::new(Span::millis(200)),
                rate: Rate::per_second(2.5),
                run: 9,
            }],
            unreached: vec![11],
        })),
        revs: revs(),
        ages: None,
        gossip: vec![GossipEntry {
            age: CoarseAge::new(Span::millis(300)),
            name_hash: 9,
            stage: Stage::Ready,
        }],
        wanted: vec![1],
        stage: Stage::Leaving,
        watch: Watch::Live,
    }
}

fn forward_request() -> ForwardRequest {
    ForwardRequest {
        attempts: 2,
        config: 7,
        service: "gallery".into(),
    }
}

fn route(name: &str, prefix: &str, kind: RouteKind) -> Route {
    Route {
        max_attempts: 3,
        kind,
        name: name.into(),
        objective: Span::millis(200),
        prefix: prefix.into(),
        priority: 1,
        problem: None,
        public: true,
        targets: vec![Target {
            service: "gallery".into(),
            weight: 5,
        }],
        timeout: Span::secs(2),
    }
}

/// A configuration with accounts, public routes and uploads, which 02d23ad doesn't know.
fn config() -> Config {
    let mut config = Config {
        version: 12,
        ..Config::default()
    };
    let account = Account {
        burst: 5,
        keys: vec![KeyDigest::of("key")],
        name: "acme".into(),
        priority: None,
        rate: None,
    };
    config.accounts = Map::from_iter([(Name::from("acme"), Arc::new(account))]);
    let routes = [
        route("browse", "/pictures/", RouteKind::Idempotent),
        route("originals", "/originals/", RouteKind::Download),
        route("payouts", "/payouts/", RouteKind::AtMostOnce),
        route("import", "/import/", RouteKind::Upload),
        Route::unserved("old".into(), "/old/".into(), "no service".into()),
    ];
    for route in routes {
        config.add_route("gallery.example", route);
    }
    let service = Service {
        cold_start: ColdStart {
            rate: 2.5,
            span: Span::secs(30),
        },
        max_conns: 16,
        health_path: "/healthz".into(),
        name: "gallery".into(),
    };
    config.services = Map::from_iter([(Name::from("gallery"), Arc::new(service))]);
    config
}

fn worker() -> Worker {
    Worker {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 8_080),
        started_ms: 1_700_000_000_000,
        centre: "a".into(),
        cold_remaining: Span::secs(3),
        id: "w-0".into(),
        heartbeats: 17,
        service: "gallery".into(),
        slots: 4,
        state: WorkerState::Draining,
        version: "v2".into(),
    }
}

fn change(topic: Topic, items: Vec<(u64, ObjectState)>) -> Change {
    let item = |(number, value): (u64, ObjectState)| Versioned {
        rev: rev(number),
        value,
    };
    Change {
        absent_departure: Departure::Lapsed,
        full: topic == Topic::Config,
        items: items.into_iter().map(item).collect(),
        rev: revs().of(topic),
        topic,
    }
}

fn decode_frame<T: serde::de::DeserializeOwned>(frame: &[u8]) -> T {
    let mut codec = FrameCodec::default();
    codec.push(frame);
    let message = codec.decode().expect("valid").expect("complete");
    assert!(codec.take_rest().is_empty());
    message
}

/// Guards against a heartbeat that 02d23ad refuses, or refusing one of its heartbeats.
#[test]
fn a_legacy_heartbeat_is_byte_for_byte_that_of_02d23ad() {
    let encoded = Datagram::encode_heartbeat(Format::Legacy, &heartbeat(), &[]);
    assert_eq!(encoded.expect("encodable"), HEARTBEAT);
    let Ok(Datagram::Heartbeat {
        format,
        heartbeat: decoded,
        sections,
    }) = Datagram::decode(HEARTBEAT)
    else {
        panic!("not a heartbeat");
    };
    assert_eq!((format, *decoded), (Format::Legacy, heartbeat()));
    assert!(sections.is_empty());
}

/// Guards against requests that change their numbers as later ones are added.
#[test]
fn requests_and_replies_are_byte_for_byte_those_of_02d23ad() {
    let fetch = PeerRequest::Fetch(FetchRequest { revs: revs() });
    assert_eq!(FrameCodec::encode(&fetch).expect("encodable"), FETCH);
    assert_eq!(decode_frame::<PeerRequest>(FETCH), fetch);
    let forward = PeerRequest::Forward(forward_request());
    assert_eq!(FrameCodec::encode(&forward).expect("encodable"), FORWARD);
    assert_eq!(decode_frame::<PeerRequest>(FORWARD), forward);
    let not_run = ForwardReply::NotRun(Span::millis(40));
    assert_eq!(FrameCodec::encode(&not_run).expect("encodable"), NOT_RUN);
    assert_eq!(decode_frame::<ForwardReply>(NOT_RUN), not_run);
}

/// Guards against a reply that 02d23ad can't decode, or decodes as something else, because the model
/// has accounts, versions, public routes and uploads.
#[test]
fn the_reply_to_a_fetch_is_byte_for_byte_that_of_02d23ad() {
    let evacuations = vec![
        (299, ObjectState::Evacuated("b".into())),
        (300, ObjectState::Returned("c".into())),
    ];
    let workers = vec![
        (69_000, ObjectState::Worker(worker())),
        (
            70_000,
            ObjectState::WorkerRemoved("w-1".into(), Departure::Left),
        ),
    ];
    let changes = [
        change(
            Topic::Config,
            vec![(7, ObjectState::Config(Arc::new(config())))],
        ),
        change(Topic::Evacuations, evacuations),
        change(Topic::Workers, workers),
    ];
    let legacy: Vec<LegacyChange> = changes.iter().filter_map(LegacyChange::new).collect();
    assert_eq!(FrameCodec::encode(&legacy).expect("encodable"), FETCH_REPLY);
}
