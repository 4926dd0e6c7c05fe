//! The decoders that are fuzzed.

use {
    crate::{config::config, key_ring::KeyRing, settings::settings},
    clap::ValueEnum,
    conf::{ServiceFile, SiteFile},
    derive_more::Display,
    fastrand::Rng,
    forward::{ForwardExtended, ForwardReply, ForwardRequest},
    peer::{
        ChangeSection, CoarseAge, Datagram, FetchRequest, Format, FrameCodec, GossipEntry,
        Heartbeat, LimitEntry, News, PeerRequest, Roster, Stage, TopicRevs,
    },
    pick::{LimitNews, WorkerTable},
    platform::{
        AccountHeader, StoreCall, decode_addresses, decode_reply, decode_settings,
        encode_addresses, encode_config, encode_forwarded, encode_passed_on, read_admin_call,
        read_credential, read_health, read_request_head, read_response_head,
        remove_account_headers,
        standin::{
            StoredObject, add_key, add_notice, client_request, encode_settings, events_response,
            forge_account, page_response, read_forwarded_head, sign_response, worker_spec,
        },
    },
    poison::{CrashNews, Fingerprint},
    site::{
        ApiKeys, Change, Departure, LoadReport, Notice, ObjectState, Rev, Revs, Topic, Versioned,
        View, Worker, WorkerState,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
    unit::{Rate, Span, Time},
    wire::{ConnectionEnd, Limits, Request, RequestReader, Response, ResponseReader},
};

/// What is fuzzed: a decoder, with the code behind it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, ValueEnum)]
pub enum FuzzTarget {
    /// Responses of a directory.
    #[display("directory")]
    Directory,
    /// Frames with site changes from other daemons, and the view that they change.
    #[display("fetch")]
    Fetch,
    /// Heartbeats, the roster, and the limits that they tell of.
    #[display("heartbeat")]
    Heartbeat,
    /// Requests of callers and operators.
    #[display("request")]
    Request,
    /// Responses of workers, to requests and to health probes.
    #[display("response")]
    Response,
    /// The operators' service files.
    #[display("service-file")]
    ServiceFile,
    /// The platform's settings file.
    #[display("settings")]
    Settings,
    /// The operators' files of sites, with limits and client accounts.
    #[display("site-file")]
    SiteFile,
    /// Responses of the store, and the view that they change.
    #[display("store")]
    Store,
}

const SERVICE_FILE: &str = "[service]\nname = gallery\nhealth = /healthz\n[route browse]\n\
    host = gallery.example\nprefix = /pictures/\nkind = idempotent\nobjective_ms = 200\n";

const SITE_FILE: &str = "[limits]\nidle_ms = 9000\n[account acme]\nkeys = k1, k2\nrate = 0.5\n\
    burst = 7\npriority = 0\n[account blue]\nkeys = k3\n";

impl FuzzTarget {
    /// Valid messages of the target.
    pub(crate) fn samples(self) -> Vec<Vec<u8>> {
        match self {
            Self::Directory => vec![encoded(&encode_addresses(
                &[SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80)],
                Span::secs(2),
            ))],
            Self::Fetch => vec![
                frame(&Vec::from_iter(ChangeSection::new(&change()))),
                frame(&PeerRequest::Forward(ForwardRequest {
                    attempts: 2,
                    config: 7,
                    service: "gallery".into(),
                })),
                frame(&PeerRequest::ForwardExtended(ForwardExtended {
                    account: Some("acme".into()),
                    request: ForwardRequest {
                        attempts: 2,
                        config: 7,
                        service: "gallery".into(),
                    },
                })),
                frame(&ForwardReply::NotRun(Span::millis(40))),
                frame(&PeerRequest::Fetch(FetchRequest {
                    revs: Revs::default(),
                })),
                frame(&PeerRequest::FetchExtended(
                    TopicRevs::new(&Revs::default()),
                )),
            ],
            Self::Heartbeat => [Format::Legacy, Format::Extended]
                .map(|format| Datagram::encode_heartbeat(format, &heartbeat(), &[]))
                .map(Result::unwrap_or_default)
                .to_vec(),
            Self::Request => requests(),
            Self::Response => vec![
                encoded(&worker_response(200)),
                encoded(&worker_response(503)),
            ],
            Self::ServiceFile => vec![SERVICE_FILE.into()],
            Self::Settings => vec![settings_text().into_bytes()],
            Self::SiteFile => vec![SITE_FILE.into()],
            Self::Store => store_bodies(),
        }
    }

    /// Decodes an input and passes what it holds to the code behind. An error is a fine result; a
    /// panic is not.
    pub(crate) fn run(self, input: &[u8], rng: &mut Rng) {
        match self {
            Self::Directory => {
                let mut response = Response::new(200);
                response.body = input.to_vec();
                drop(decode_addresses(&response));
            }
            Self::Fetch => run_fetch(input, rng),
            Self::Heartbeat => run_heartbeat(input),
            Self::Request => run_request(input, rng),
            Self::Response => run_response(input, rng),
            Self::ServiceFile => {
                drop(ServiceFile::parse(
                    "fuzz.ini",
                    &String::from_utf8_lossy(input),
                ));
            }
            Self::Settings => drop(decode_settings(&String::from_utf8_lossy(input))),
            Self::SiteFile => {
                drop(SiteFile::parse("fuzz.ini", &String::from_utf8_lossy(input)));
            }
            Self::Store => run_store(input, rng),
        }
    }
}

fn now() -> Time {
    Time::at(Span::secs(100))
}

fn worker() -> Worker {
    Worker {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
        heartbeats: 1,
        started_ms: 1,
        centre: "a".into(),
        cold_remaining: Span::ZERO,
        id: "w-0".into(),
        service: "gallery".into(),
        slots: 4,
        state: WorkerState::Ready,
        version: "v1".into(),
    }
}

fn change() -> Change {
    let rev = Rev::default();
    Change {
        absent_departure: Departure::Left,
        full: true,
        items: vec![Versioned {
            rev,
            value: ObjectState::Worker(worker()),
        }],
        rev,
        topic: Topic::Workers,
    }
}

fn frame<T: serde::Serialize>(message: &T) -> Vec<u8> {
    FrameCodec::encode(message).unwrap_or_default()
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        staleness: Span::millis(20),
        centre: "a".into(),
        contacts: Vec::new(),
        sequence: 7,
        ip: Ipv4Addr::LOCALHOST,
        incarnation: 3,
        name: "d-1".into(),
        news: Some(Box::new(News {
            crashes: vec![CrashNews {
                age: Span::millis(400),
                request: Fingerprint(1 << 40),
                run: Some(5),
            }],
            limits: vec![LimitEntry {
                age: CoarseAge::new(Span::millis(200)),
                rate: Rate::per_second(2.5),
                run: LimitNews::run_hash("w-0", 1),
            }],
            unreached: vec![11],
        })),
        revs: Revs::default(),
        ages: None,
        gossip: vec![GossipEntry {
            age: CoarseAge::new(Span::millis(300)),
            name_hash: 9,
            stage: Stage::Ready,
        }],
        wanted: vec![1],
        stage: Stage::Ready,
        watch: peer::Watch::Live,
    }
}

fn requests() -> Vec<Vec<u8>> {
    let request = client_request(
        "POST",
        "/payouts/1",
        "gallery.example",
        "r-1",
        Span::secs(1),
        b"body".to_vec(),
    );
    let mut sized = Vec::new();
    request.encode(&mut sized);
    let chunked = b"POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\
        Expect: 100-continue\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    let mut keyed = request;
    for key in ["key-0", "key-1"] {
        add_key(&mut keyed, key);
        forge_account(&mut keyed, "forged");
    }
    let mut accounted = Vec::new();
    keyed.encode(&mut accounted);
    vec![sized, chunked.to_vec(), accounted]
}

fn worker_response(status: u16) -> Response {
    let mut response = Response::new(status);
    response.body = b"w-0 /pictures/1".to_vec();
    let load = LoadReport {
        latency_percent: 100,
        running: 1,
        slots: 4,
        waiting: 0,
    };
    sign_response(&mut response, "r-1", load);
    let notice = Notice {
        leaving: true,
        retry_after: Some(Span::secs(2)),
        rate_limit: Rate::per_second(2.5),
        unreadable: false,
    };
    add_notice(&mut response.headers, notice);
    response
}

fn encoded(response: &Response) -> Vec<u8> {
    let mut out = Vec::new();
    response.encode(&mut out, false);
    out
}

fn settings_text() -> String {
    let store = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 81);
    let settings = settings(
        "d-0",
        "a",
        Ipv4Addr::LOCALHOST,
        8_000,
        store,
        Ipv4Addr::LOCALHOST,
    );
    encode_settings(&settings).unwrap_or_default()
}

/// The bodies of the store's responses with a worker's entry and the configuration.
fn store_bodies() -> Vec<Vec<u8>> {
    let (accounts, keys) = KeyRing::new(2).config(2);
    let objects = [
        StoredObject {
            created: Rev::default(),
            status: serde_json::Value::Null,
            name: "w-0".into(),
            rev: Rev::default(),
            spec: worker_spec(&worker()),
        },
        StoredObject {
            created: Rev::default(),
            status: serde_json::Value::Null,
            name: "main".into(),
            rev: Rev::default(),
            spec: encode_config(&config(1), None, &ApiKeys::default()),
        },
        StoredObject {
            created: Rev::default(),
            status: serde_json::Value::Null,
            name: "main".into(),
            rev: Rev::default(),
            spec: encode_config(&accounts, None, &keys),
        },
    ];
    let events: Vec<(StoredObject, bool)> = objects
        .iter()
        .map(|object| (object.clone(), false))
        .collect();
    vec![
        page_response(&objects, false, Rev::default()).body,
        events_response(&events, Rev::default()).body,
    ]
}

fn run_fetch(input: &[u8], rng: &mut Rng) {
    let mut codec = FrameCodec::default();
    let mut view = View::default();
    for part in split(input, rng) {
        codec.push(part);
        drop(codec.decode::<PeerRequest>());
        drop(codec.decode::<ForwardReply>());
        if let Ok(Some(sections)) = codec.decode::<Vec<ChangeSection>>() {
            let changes = sections.iter().filter_map(|section| section.change().ok()?);
            apply(&mut view, changes.collect());
        }
    }
}

fn apply(view: &mut View, changes: Vec<Change>) {
    let mut table = WorkerTable::new("d-0".into(), "a".into(), Time::ZERO);
    for change in changes {
        for effect in view.apply(change, now()) {
            if let site::Effect::Worker(worker) = effect {
                table.upsert(worker, now());
            }
        }
    }
    table.prune(now());
    drop(view.changes_since(&Revs::default()));
}

fn run_heartbeat(input: &[u8]) {
    let Ok(Datagram::Heartbeat {
        format, heartbeat, ..
    }) = Datagram::decode(input)
    else {
        return;
    };
    let rng = Rng::with_seed(1);
    let ip = Ipv4Addr::new(127, 0, 0, 2);
    let mut roster = Roster::new("d-0".into(), "a".into(), ip, Vec::new(), now(), rng);
    let own = peer::OwnState {
        revs: Revs::default(),
        stage: Stage::Ready,
        watch: peer::Watch::Live,
    };
    for _ in 0..2 {
        drop(roster.handle_heartbeat(now(), &heartbeat, format, &own));
    }
    drop(roster.tick(now() + Span::secs(1), &own));
    let mut table = WorkerTable::new("d-0".into(), "a".into(), Time::ZERO);
    let key = table.upsert(worker(), now());
    for entry in heartbeat.news.iter().flat_map(|news| &news.limits) {
        let news = LimitNews {
            age: entry.age.span(),
            rate: entry.rate,
            run: LimitNews::run_hash("w-0", 1),
        };
        table.adopt_limit(now(), news);
        table.may_send(key, now());
        table.next_opening("gallery", now());
    }
}

fn run_request(input: &[u8], rng: &mut Rng) {
    let mut reader = RequestReader::new(Limits::default());
    for part in split(input, rng) {
        reader.push(part);
        while let Ok(Some(request)) = reader.next_request() {
            handle_request(&request);
        }
        reader.take_continue_due();
    }
}

fn handle_request(request: &Request) {
    drop(read_request_head(request));
    read_admin_call(request);
    drop(encode_forwarded(
        request,
        "w-0",
        AccountHeader::Unchanged,
        Span::millis(100),
    ));
    check_accounts(request);
}

/// Checks that neither a worker nor another daemon sees a key or an account that a client sent,
/// whatever its headers look like.
fn check_accounts(request: &Request) {
    read_credential(request);
    let mut cleared = request.clone();
    remove_account_headers(&mut cleared);
    let left = Span::millis(100);
    for request in [request, &cleared] {
        let header = AccountHeader::Replaced(Some("acme"));
        check_sent(&encode_forwarded(request, "w-0", header, left), &["acme"]);
        let header = AccountHeader::Replaced(None);
        check_sent(&encode_forwarded(request, "w-0", header, left), &[]);
        check_sent(&encode_passed_on(request, true, left), &[]);
    }
}

/// Checks the accounts that an encoded request names, and that it has no key.
fn check_sent(bytes: &[u8], accounts: &[&str]) {
    let mut reader = RequestReader::new(Limits {
        body_bytes: usize::MAX,
        head_bytes: usize::MAX,
    });
    reader.push(bytes);
    if let Ok(Some(sent)) = reader.next_request() {
        let head = read_forwarded_head(&sent);
        assert!(!head.has_key, "a key was passed on");
        assert_eq!(head.accounts, accounts, "another account was passed on");
    }
}

fn run_response(input: &[u8], rng: &mut Rng) {
    let mut reader = ResponseReader::new(Limits::default());
    let to_head = rng.bool();
    for part in split(input, rng) {
        reader.push(part);
        while let Ok(Some(response)) = reader.next_response(to_head) {
            handle_response(&response);
        }
        if let Some(partial) = reader.partial() {
            handle_response(partial.head);
        }
        if rng.u32(..4) == 0 {
            drop(reader.take_body());
        }
    }
    let ending = if rng.bool() {
        ConnectionEnd::Closed
    } else {
        ConnectionEnd::Reset
    };
    if let Ok(Some(response)) = reader.finish(ending) {
        handle_response(&response);
    }
}

fn handle_response(response: &Response) {
    let head = read_response_head(response);
    let health = read_health(response);
    let mut table = WorkerTable::new("d-0".into(), "a".into(), Time::ZERO);
    let key = table.upsert(worker(), now());
    let source = pick::NoticeSource::Response;
    table.record_notice(key, now(), Span::secs(2), source, head.notice);
    table.record_health(key, now(), &health);
    table.may_send(key, now());
    table.next_opening("gallery", now());
    let estimate = pick::LatencyEstimate::new(Span::millis(100));
    if let Some(record) = table.get(key) {
        record.expected_latency(now(), &estimate);
    }
}

fn run_store(input: &[u8], rng: &mut Rng) {
    let mut response = Response::new([200, 200, 200, 404, 409, 410, 503][rng.usize(..7)]);
    response.body = input.to_vec();
    let topic = Topic::ALL[rng.usize(..Topic::ALL.len())];
    let calls = [
        StoreCall::List { after: None, topic },
        StoreCall::ListMembers {
            after: None,
            stale_ok: true,
        },
        StoreCall::Watch {
            from: Rev::default(),
            topic,
            wait: Span::secs(1),
        },
        StoreCall::Check {
            from: Rev::default(),
            topic,
        },
        StoreCall::Probe,
    ];
    let call = &calls[rng.usize(..calls.len())];
    drop(decode_reply(call, &response, Departure::Left));
}

/// The parts of an input in which it arrives.
fn split<'a>(input: &'a [u8], rng: &mut Rng) -> Vec<&'a [u8]> {
    let mut rest = input;
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let (part, after) = rest.split_at(rng.usize(1..=rest.len()));
        parts.push(part);
        rest = after;
    }
    parts
}
