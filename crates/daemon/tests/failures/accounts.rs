//! Requests of client accounts, and changes of their keys.

use {
    crate::{
        callers::{connect, exchange},
        support::{default_plan, new_caller, start_fleet, state_dump, wait_for_config, wait_until},
    },
    forward::{ForwardExtended, ForwardReply, ForwardRequest},
    peer::{FrameCodec, PeerRequest},
    site::{Account, ApiKeys, Config, KeyDigest},
    socket2::{Domain, Socket, Type},
    standin::{Caller, Cut, Fleet, FleetPlan, Outcome},
    std::{
        io::{Read, Write},
        net::{SocketAddrV4, TcpStream},
        sync::Arc,
        time::Duration,
    },
    unit::{Name, Span},
};

/// Puts a configuration with accounts into force, each with its keys.
fn put_accounts(fleet: &Fleet, version: u64, accounts: &[(&str, &[&str])]) {
    let (config, keys) = accounts_config(version, accounts);
    fleet.store.put_config_with(&config, &keys);
    wait_for_config(fleet, version);
}

/// A configuration with a public route and accounts.
fn accounts_config(version: u64, accounts: &[(&str, &[&str])]) -> (Config, ApiKeys) {
    let mut config = standin::config(version);
    let reads = config.route("gallery.example", "/pictures/").cloned();
    let mut public = (*reads.expect("a route")).clone();
    public.name = "open".into();
    public.prefix = "/open/".into();
    public.public = true;
    config.add_route("gallery.example", public);
    let mut texts = ApiKeys::default();
    for (name, keys) in accounts {
        let name = Name::from(*name);
        let account = Account {
            burst: 0,
            keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
            name: name.clone(),
            priority: None,
            rate: None,
        };
        config.accounts.insert(name.clone(), Arc::new(account));
        texts.insert(name, keys.iter().map(ToString::to_string).collect());
    }
    (config, texts)
}

/// A request with header lines, the last one on its connection.
fn get(path: &str, id: &str, lines: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 2000\r\nConnection: close\r\n{lines}\r\n"
    )
}

/// The status of the response to a request with header lines.
fn status(fleet: &Fleet, path: &str, id: &str, lines: &str) -> u16 {
    let text = exchange(fleet, get(path, id, lines).as_bytes());
    let status = text.split(' ').nth(1).and_then(|text| text.parse().ok());
    status.unwrap_or_else(|| panic!("no response: {text}"))
}

/// The accounts that workers were told of when they ran a request, for each execution.
fn accounts_of(fleet: &Fleet, id: &str) -> Vec<Vec<String>> {
    let runs = fleet.executions.entries().into_iter();
    runs.filter(|run| run.request == id)
        .map(|run| {
            assert!(!run.has_key, "a worker saw the key of {id}");
            run.accounts
        })
        .collect()
}

/// Guards against requests that run without a known key, and against a worker that is told another
/// account than the key's, or sees the key.
#[test]
fn requests_run_for_the_account_of_their_key() {
    let fleet = start_fleet();
    put_accounts(&fleet, 2, &[("acme", &["key-a"]), ("blue", &["key-b"])]);
    let forged = "Tenant: blue\r\ntenant: blue\r\n";
    for (path, id, lines, wanted, account) in [
        ("/pictures/1", "r1", "", 401, None),
        (
            "/pictures/1",
            "r2",
            "Authorization: Bearer nope\r\n",
            401,
            None,
        ),
        (
            "/pictures/1",
            "r3",
            "Authorization: Basic key-a\r\n",
            401,
            None,
        ),
        (
            "/pictures/1",
            "r4",
            "Authorization: Bearer key-a\r\nAuthorization: Bearer key-a\r\n",
            401,
            None,
        ),
        (
            "/pictures/1",
            "r5",
            "Authorization: Bearer key-a\r\n",
            200,
            Some("acme"),
        ),
        ("/open/1", "r6", "", 200, None),
        ("/open/1", "r7", "Authorization: Bearer nope\r\n", 200, None),
        (
            "/open/1",
            "r8",
            "Authorization: Bearer key-b\r\n",
            200,
            Some("blue"),
        ),
        ("/nowhere/1", "r9", "", 404, None),
    ] {
        assert_eq!(
            status(&fleet, path, id, &format!("{lines}{forged}")),
            wanted,
            "{id}"
        );
        let runs = accounts_of(&fleet, id);
        assert_eq!(runs.len(), usize::from(wanted == 200), "{id}");
        let account: Vec<String> = account.into_iter().map(str::to_owned).collect();
        assert!(runs.iter().all(|run| *run == account), "{id}: {runs:?}");
    }
    let metrics = fleet.operators_page(0, "/metrics").unwrap_or_default();
    for (reason, count) in [
        ("absent", 1),
        ("unknown", 1),
        ("malformed", 1),
        ("repeated", 1),
    ] {
        let line = format!("anvilferry_key_refusals_total{{reason=\"{reason}\"}} {count}");
        assert!(metrics.contains(&line), "{metrics}");
    }
    let shown = &state_dump(&fleet, 0)["accounts"]["shown"];
    assert_eq!(
        (&shown[0]["name"], &shown[0]["requests"]),
        (&"acme".into(), &1.into())
    );
    assert_eq!(
        (&shown[1]["name"], &shown[1]["requests"]),
        (&"blue".into(), &1.into())
    );
    let log = fleet.log(0).unwrap_or_default();
    let dump = state_dump(&fleet, 0).to_string();
    for page in [&metrics, &log, &dump] {
        assert!(!page.contains("key-a") && !page.contains("nope"), "{page}");
    }
    assert!(log.contains("\"event\":\"key-refused\""));
}

/// Guards against headers that change for deployments without accounts.
#[test]
fn without_accounts_requests_need_no_key() {
    let fleet = start_fleet();
    let lines = "Authorization: Basic x\r\nTenant: t\r\n";
    assert_eq!(status(&fleet, "/pictures/1", "r1", lines), 200);
    let runs = fleet.executions.entries();
    assert!(runs[0].has_key);
    assert_eq!(runs[0].accounts, ["t"]);
}

/// Guards against keys that stay in force on open connections.
#[test]
fn a_key_that_is_dropped_is_refused_on_open_connections() {
    let fleet = start_fleet();
    put_accounts(&fleet, 2, &[("acme", &["old", "both"])]);
    let mut callers: Vec<Caller> = Vec::new();
    for key in ["old", "both", "new"] {
        let mut caller = new_caller(key);
        caller.key = Some(key.to_owned());
        let served = fleet.send(&mut caller, 0, "GET", "/pictures/1").outcome == Outcome::Served;
        assert_eq!(served, key != "new");
        callers.push(caller);
    }
    put_accounts(&fleet, 3, &[("acme", &["new", "both"])]);
    for caller in &mut callers {
        let result = fleet.send(caller, 0, "GET", "/pictures/1");
        assert!(result.conn_age > Duration::ZERO, "the connection was kept");
        let refused = caller.key.as_deref() == Some("old");
        assert_eq!(result.status, Some(if refused { 401 } else { 200 }));
    }
}

/// Pipelined requests with a key.
fn pipelined(prefix: &str, count: usize, key: &str) -> String {
    let request = |number| {
        format!(
            "GET /pictures/1 HTTP/1.1\r\nHost: gallery.example\r\nRequest-Id: {prefix}{number}\r\n\
             Deadline-Ms: 8000\r\nAuthorization: Bearer {key}\r\n\r\n"
        )
    };
    (0..count).map(request).collect()
}

/// Guards against queued and pipelined requests that run after their key was dropped.
#[test]
fn queued_requests_whose_key_is_dropped_do_not_run() {
    let fleet = Fleet::start(&FleetPlan {
        daemon_centres: vec!["a"],
        proxied: true,
        ..default_plan()
    })
    .expect("a fleet");
    let put = |version, key| {
        let (mut config, keys) = accounts_config(version, &[("acme", &[key, "both"])]);
        for route in config.hosts.values_mut().flatten() {
            let route = Arc::make_mut(route);
            // Requests wait for a worker as long as that takes.
            (route.objective, route.timeout) = (Span::secs(8), Span::secs(8));
        }
        fleet.store.put_config_with(&config, &keys);
        wait_for_config(&fleet, version);
    };
    put(2, "old");
    fleet.cut_from_workers(0, Some(Cut::Hang));
    let mut queued = connect(&fleet);
    let text = pipelined("old", 3, "old") + &pipelined("both", 3, "both");
    queued.write_all(text.as_bytes()).expect("the daemon reads");
    wait_until("they wait", || {
        let requests = &state_dump(&fleet, 0)["requests"];
        requests
            .as_array()
            .is_some_and(|requests| requests.len() == 6)
    });
    put(3, "new");
    assert!(fleet.executions.arrivals().is_empty());
    fleet.cut_from_workers(0, None);
    let mut answers = String::new();
    let mut chunk = [0; 4_096];
    wait_until("all are answered", || {
        let size = queued.read(&mut chunk).expect("responses");
        answers.push_str(&String::from_utf8_lossy(&chunk[..size]));
        answers.matches("HTTP/1.1 ").count() == 6
    });
    assert_eq!(answers.matches("HTTP/1.1 401").count(), 3, "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 3, "{answers}");
    let arrivals = fleet.executions.arrivals();
    assert!(
        arrivals
            .iter()
            .all(|arrival| !arrival.request.starts_with("old"))
    );
}

/// Guards against one bad account that stops a configuration, and against a key of two accounts.
#[test]
fn a_bad_account_is_reported_and_the_rest_is_in_force() {
    let fleet = start_fleet();
    put_accounts(&fleet, 2, &[("acme", &["k", "a"]), ("blue", &["k"])]);
    assert_eq!(
        status(&fleet, "/pictures/1", "r1", "Authorization: Bearer k\r\n"),
        401
    );
    assert_eq!(
        status(&fleet, "/pictures/1", "r2", "Authorization: Bearer a\r\n"),
        200
    );
    wait_until("it is reported", || {
        let problems = &state_dump(&fleet, 0)["accounts"]["problems"];
        problems
            .as_array()
            .is_some_and(|problems| problems.len() == 2)
    });
    let log = fleet.log(0).unwrap_or_default();
    assert!(log.contains("\"event\":\"account-problem\""));
}

/// A connection to the port for other daemons of the first daemon, from the address of the second.
fn connect_as_peer(fleet: &Fleet) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let source = SocketAddrV4::new(*fleet.address(1).ip(), 0);
    socket.bind(&source.into()).expect("an own address");
    let address = fleet.peer_address(0).into();
    socket.connect(&address).expect("the daemon listens");
    let conn = TcpStream::from(socket);
    conn.set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a timeout");
    conn
}

/// The answer to a request with header lines that a daemon forwards for an account.
fn forward(fleet: &Fleet, account: Option<&str>, id: &str, lines: &str) -> ForwardReply {
    let head = PeerRequest::ForwardExtended(ForwardExtended {
        account: account.map(Name::from),
        request: ForwardRequest {
            attempts: 2,
            config: 2,
            service: "gallery".into(),
        },
    });
    let mut conn = connect_as_peer(fleet);
    let mut bytes = FrameCodec::encode(&head).expect("a small message");
    bytes.extend(get("/pictures/1", id, lines).into_bytes());
    conn.write_all(&bytes).expect("the daemon reads");
    let mut answer = Vec::new();
    conn.read_to_end(&mut answer).expect("an answer");
    let mut codec = FrameCodec::default();
    codec.push(&answer);
    codec.decode().expect("a reply").expect("a whole reply")
}

/// Guards against a helper that runs a forwarded request for no account or another one, or takes
/// one whose account it doesn't know.
#[test]
fn a_helper_runs_a_forwarded_request_for_the_account_that_it_is_told() {
    let fleet = start_fleet();
    put_accounts(&fleet, 2, &[("acme", &["key-a"]), ("blue", &["key-b"])]);
    let forged = "Tenant: blue\r\nAuthorization: Bearer key-b\r\n";
    let reply = forward(&fleet, Some("acme"), "f1", forged);
    assert!(matches!(reply, ForwardReply::Response(_)), "{reply:?}");
    assert_eq!(accounts_of(&fleet, "f1"), [["acme"]]);
    for (account, id) in [(Some("gone"), "f2"), (None, "f3")] {
        let reply = forward(&fleet, account, id, "Tenant: blue\r\n");
        assert_eq!(reply, ForwardReply::Declined);
        assert!(accounts_of(&fleet, id).is_empty());
    }
}
