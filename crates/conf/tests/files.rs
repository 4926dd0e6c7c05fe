//! Parsing and combining the INI files in which operators configure a site.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    conf::{Problems, ServiceFile, compile, parse_limits},
    site::{CallerLimits, RouteKind},
    unit::Span,
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
    let config = compile(&files(&[GALLERY, NEW]), CallerLimits::default(), 7);
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
    let config = compile(&files(&[&text, NEW]), CallerLimits::default(), 1).expect("valid");
    let route = config
        .route("gallery.example", "/pictures/1")
        .expect("a route");
    assert_eq!(route.kind, RouteKind::Download);
    assert!(route.kind.is_idempotent());
}

#[test]
fn each_problem_names_its_line_and_the_remedy() {
    let text = GALLERY.replace("kind = idempotent", "kind = maybe");
    assert_eq!(
        error_of(&text),
        "gallery.ini:12: [route browse] kind: \"maybe\" is not allowed; give idempotent, \
         download or at-most-once"
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
    let result = compile(&files(&[GALLERY, GALLERY]), CallerLimits::default(), 1);
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
    let limits = parse_limits("site.ini", "[limits]\nbody_bytes = 10\nidle_ms = 9000\n");
    let limits = limits.expect("valid");
    assert_eq!(
        (limits.body_bytes, limits.idle_timeout),
        (10, Span::secs(9))
    );
    assert_eq!(limits.head_bytes, CallerLimits::default().head_bytes);
    assert!(parse_limits("site.ini", "[limits]\nhead_bytes = 1\n").is_err());
    assert!(parse_limits("site.ini", "[service]\nname = x\n").is_err());
}

#[test]
fn hosts_are_compared_as_callers_name_them() {
    let other = "[service]\nname = other\n[route second]\nhost = GALLERY.example\n\
                 prefix = /pictures/\nkind = idempotent\n";
    let error = compile(&files(&[GALLERY, NEW, other]), CallerLimits::default(), 1)
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
