//! The files in which operators describe a site.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    conf::{Problems, ServiceFile, compile, parse_limits},
    site::{CallerLimits, Idempotency},
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

fn complaint(text: &str) -> String {
    parse(text).expect_err("it is wrong").to_string()
}

fn files(texts: &[&str]) -> Vec<(String, ServiceFile)> {
    texts
        .iter()
        .enumerate()
        .map(|(at, text)| (format!("{at}.ini"), parse(text).expect("valid")))
        .collect()
}

#[test]
fn a_site_is_its_files_together() {
    let config = compile(&files(&[GALLERY, NEW]), CallerLimits::default(), 7);
    let config = config.expect("valid");
    assert_eq!((config.version, config.services.len()), (7, 2));
    let browse = config
        .route("gallery.example", "/pictures/1")
        .expect("a route");
    assert_eq!(
        (browse.idempotency, browse.max_attempts),
        (Idempotency::Idempotent, 3)
    );
    assert_eq!(browse.objective, Span::millis(200));
    let pay = config
        .route("gallery.example", "/payouts/1")
        .expect("a route");
    assert_eq!(
        (pay.idempotency, pay.targets.len()),
        (Idempotency::AtMostOnce, 2)
    );
    assert_eq!(pay.timeout, Span::secs(5));
}

#[test]
fn each_mistake_is_named_with_its_line_and_the_way_out() {
    let text = GALLERY.replace("kind = idempotent", "kind = maybe");
    assert_eq!(
        complaint(&text),
        "gallery.ini:12: [route browse] kind: \"maybe\" is not allowed; give idempotent or \
         at-most-once"
    );
    let text = GALLERY.replace("priority = 2", "priority = high");
    assert!(complaint(&text).contains("gallery.ini:15: [route browse] priority"));
    let text = GALLERY.replace("prefix = /payouts/", "prefix = /payouts");
    assert!(complaint(&text).contains("give a path between slashes"));
    let text = GALLERY.replace("gallery:90, gallery-new:10", "gallery:0");
    assert!(complaint(&text).contains("[route pay] targets"));
    let text = GALLERY.replace("health = /ok", "health = ok");
    assert!(complaint(&text).contains("give a path that begins with a slash"));
    let text = GALLERY.replace("host = gallery.example", "hots = gallery.example");
    let told = complaint(&text);
    assert!(
        told.contains("unknown key") && told.contains("key is missing"),
        "{told}"
    );
    assert!(complaint("[service]\n").contains("[service] name: key is missing"));
    assert!(complaint("[service]\nname = a b\n").contains("not a name"));
    assert!(complaint("[server]\nname = a\n").contains("unknown section"));
}

#[test]
fn files_that_clash_are_refused_together() {
    let told = compile(&files(&[GALLERY, GALLERY]), CallerLimits::default(), 1);
    let told = told.expect_err("they clash").to_string();
    for part in [
        "service gallery has another file",
        "another route has this name",
        "another route has this host and prefix",
        "service gallery-new has no file",
    ] {
        assert!(told.contains(part), "{part}: {told}");
    }
}

#[test]
fn limits_have_a_file_of_their_own() {
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
