//! Parsing and combining the INI files in which operators configure a site.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    conf::{Problems, ServiceFile, SiteFile, compile},
    site::{CallerLimits, RouteKind},
    unit::{Rate, Span},
};

const GALLERY: &str = "\
; the gallery
[service]
name = gallery
health = /ok
connections = 100
cold_ms = 2000
cold_per_s = 14

[route browse]
host = Gallery.Example
prefix = /pictures/
kind = idempotent
objective_ms = 200
timeout_ms = 800
priority = 2
attempts = 3

[route pay]
host = gallery.example
prefix = /payouts/
kind = at-most-once
targets = gallery:90, gallery-new:10
";

const NEW: &str = "[service]\nname = gallery-new\n";

fn parse(text: &str) -> Result<ServiceFile, Problems> {
    ServiceFile::parse("gallery.ini", text)
}

fn error_of(text: &str) -> String {
    parse(text).expect_err("invalid").to_string()
}

fn files(texts: &[&str]) -> Vec<(String, ServiceFile)> {
    texts
        .iter()
        .enumerate()
        .map(|(index, text)| (format!("{index}.ini"), parse(text).expect("valid")))
        .collect()
}

#[test]
fn files_are_combined_into_one_configuration() {
    let config = compile(&files(&[GALLERY, NEW]), &SiteFile::default(), 7);
    let config = config.expect("valid");
    assert_eq!((config.version, config.services.len()), (7, 2));
    let browse = config
        .route("gallery.example", "/pictures/1")
        .expect("a route");
    assert_eq!(
        (browse.kind.clone(), browse.max_attempts),
        (RouteKind::Idempotent, 3)
    );
    assert_eq!(browse.objective, Span::millis(200));
    let pay = config
        .route("gallery.example", "/payouts/1")
        .expect("a route");
    assert_eq!(
        (pay.kind.clone(), pay.targets.len()),
        (RouteKind::AtMostOnce, 2)
    );
    assert_eq!(pay.timeout, Span::secs(5));
}

#[test]
fn a_route_may_be_for_downloads() {
    let text = GALLERY.replace("kind = idempotent", "kind = download");
    let config = compile(&files(&[&text, NEW]), &SiteFile::default(), 1).expect("valid");
    let route = config
        .route("gallery.example", "/pictures/1")
        .expect("a route");
    assert_eq!(route.kind, RouteKind::Download);
    assert!(route.kind.is_idempotent());
}

#[test]
fn a_route_may_be_public_and_for_uploads() {
    let text = GALLERY.replace("kind = at-most-once", "kind = upload\npublic = true");
    let config = compile(&files(&[&text, NEW]), &SiteFile::default(), 1).expect("valid");
    let route = config.route("gallery.example", "/payouts/1");
    let route = route.expect("a route");
    assert_eq!(
        (route.kind.clone(), route.public),
        (RouteKind::Upload, true)
    );
    assert!(!route.kind.is_idempotent());
    let error = error_of(&GALLERY.replace("priority = 2", "public = yes"));
    assert!(error.contains("give true or false"), "{error}");
}

const ACCOUNTS: &str = "\
[account acme]
keys = secret-1, secret-2
rate = 0.2
burst = 7
priority = 0

[account blue]
keys = secret-3
";

#[test]
fn accounts_are_read_from_the_sites_own_file() {
    let site = SiteFile::parse("site.ini", ACCOUNTS).expect("valid");
    let config = compile(&files(&[GALLERY, NEW]), &site, 1).expect("valid");
    let acme = &config.accounts["acme"];
    assert_eq!(
        (acme.keys.len(), acme.burst, acme.priority),
        (2, 7, Some(0))
    );
    assert_eq!(acme.rate, Rate::per_second(0.2));
    let blue = &config.accounts["blue"];
    assert_eq!((blue.burst, blue.priority, blue.rate), (0, None, None));
    assert_eq!(site.api_keys().of(&"blue".into()), ["secret-3"]);
}

/// Guards against accounts that daemons would refuse, and against messages that show keys.
#[test]
fn problems_of_accounts_are_reported_without_keys() {
    for (from, to, message) in [
        ("secret-3", "secret-1", "account acme has one of these keys"),
        ("secret-3", "secret 3", "a key is empty or contains a space"),
        (
            "secret-3",
            "secret-3,",
            "a key is empty or contains a space",
        ),
        ("secret-3", "", "value is empty"),
        ("keys = secret-3\n", "", "key is missing"),
        ("rate = 0.2", "rate = -1", "[account acme] rate"),
        ("rate = 0.2", "rate = nan", "[account acme] rate"),
        ("burst = 7", "burst = 0.5", "[account acme] burst"),
        ("priority = 0", "priority = high", "[account acme] priority"),
        ("[account blue]", "[account acme]", "duplicate section"),
        (
            "[account blue]",
            "[account  acme]",
            "another account has this name",
        ),
        ("[account blue]", "[account ]", "unknown section"),
    ] {
        let text = ACCOUNTS.replace(from, to);
        let error = match SiteFile::parse("site.ini", &text) {
            Ok(_) => panic!("{to:?} is accepted"),
            Err(error) => error.to_string(),
        };
        assert!(error.contains(message), "{error}");
        assert!(!error.contains("secret"), "{error}");
    }
}

#[test]
fn each_problem_names_its_line_and_the_remedy() {
    let text = GALLERY.replace("kind = idempotent", "kind = maybe");
    assert_eq!(
        error_of(&text),
        "gallery.ini:12: [route browse] kind: \"maybe\" is not allowed; give idempotent, \
         download, at-most-once or upload"
    );
    let text = GALLERY.replace("priority = 2", "priority = high");
    assert!(error_of(&text).contains("gallery.ini:15: [route browse] priority"));
    let text = GALLERY.replace("prefix = /payouts/", "prefix = /payouts");
    assert!(error_of(&text).contains("give a path between slashes"));
    let text = GALLERY.replace("gallery:90, gallery-new:10", "gallery:0");
    assert!(error_of(&text).contains("[route pay] targets"));
    let text = GALLERY.replace("health = /ok", "health = ok");
    assert!(error_of(&text).contains("give a path that begins with a slash"));
    let text = GALLERY.replace("host = gallery.example", "hots = gallery.example");
    let error = error_of(&text);
    assert!(
        error.contains("unknown key") && error.contains("key is missing"),
        "{error}"
    );
    assert!(error_of("[service]\n").contains("[service] name: key is missing"));
    assert!(error_of("[service]\nname = a b\n").contains("not a name"));
    assert!(error_of("[server]\nname = a\n").contains("unknown section"));
}

#[test]
fn all_conflicts_between_files_are_reported() {
    let result = compile(&files(&[GALLERY, GALLERY]), &SiteFile::default(), 1);
    let error = result.expect_err("conflicts").to_string();
    for part in [
        "service gallery has another file",
        "another route has this name",
        "another route has this host and prefix",
        "service gallery-new has no file",
    ] {
        assert!(error.contains(part), "{part}: {error}");
    }
}

#[test]
fn limits_are_read_from_a_separate_file() {
    let limits = SiteFile::parse("site.ini", "[limits]\nbody_bytes = 10\nidle_ms = 9000\n");
    let limits = limits.expect("valid").limits;
    assert_eq!(
        (limits.body_bytes, limits.idle_timeout),
        (10, Span::secs(9))
    );
    assert_eq!(limits.head_bytes, CallerLimits::default().head_bytes);
    assert!(SiteFile::parse("site.ini", "[limits]\nhead_bytes = 1\n").is_err());
    assert!(SiteFile::parse("site.ini", "[service]\nname = x\n").is_err());
}

#[test]
fn hosts_are_compared_as_callers_name_them() {
    let other = "[service]\nname = other\n[route second]\nhost = GALLERY.example\n\
                 prefix = /pictures/\nkind = idempotent\n";
    let error = compile(&files(&[GALLERY, NEW, other]), &SiteFile::default(), 1)
        .expect_err("the same host and prefix")
        .to_string();
    assert!(
        error.contains("another route has this host and prefix"),
        "{error}"
    );
    let error = error_of(&GALLERY.replace("host = gallery.example", "host = gallery.example:80"));
    assert!(error.contains("give the host without a port"), "{error}");
}

#[test]
fn a_route_needs_a_name() {
    let error = error_of(&GALLERY.replace("[route pay]", "[route ]"));
    assert!(error.contains("[route]: unknown section"), "{error}");
}
