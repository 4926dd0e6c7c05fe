//! Runs the command-line tool against a stand-in store.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    standin::{Store, StoreFault},
    std::{
        fs,
        path::PathBuf,
        process::{Command, Output},
        sync::atomic::{AtomicU32, Ordering},
    },
};

const GALLERY: &str = "\
[service]
name = gallery
[route browse]
host = gallery.example
prefix = /pictures/
kind = idempotent
";

/// Numbers the temporary folders of this process.
static FOLDER_COUNT: AtomicU32 = AtomicU32::new(0);

/// A stand-in store, and a temporary folder with a site's files in which the tool runs.
struct Fixture {
    folder: PathBuf,
    store: Store,
}

impl Fixture {
    fn new() -> Self {
        let number = FOLDER_COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("tool-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let fixture = Self {
            folder,
            store: Store::start().expect("a store"),
        };
        fixture.write("gallery.ini", GALLERY);
        fixture
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.join(name), text).expect("written");
    }

    fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_anvilferry"))
            .args(arguments)
            .args(["--timeout", "3"])
            .env("ANVILFERRY_STORE", self.store.address.to_string())
            .current_dir(&self.folder)
            .output()
            .expect("it runs")
    }

    /// Runs the tool without the address of a store, which must succeed.
    fn run_without_store(&self, arguments: &[&str]) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_anvilferry"))
            .args(arguments)
            .env_remove("ANVILFERRY_STORE")
            .current_dir(&self.folder)
            .output()
            .expect("it runs");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    }

    /// Runs the tool, which must succeed. Returns its standard output.
    fn run_ok(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    }

    /// Runs the tool, which is expected to fail. Returns its exit status and its standard error.
    fn run_failing(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let output = self.run(arguments);
        let message = String::from_utf8(output.stderr).expect("text");
        (output.status.code(), message)
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // A folder that can't be removed is left to the system.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn checks_files_without_a_store() {
    let fixture = Fixture::new();
    assert_eq!(
        fixture.run_without_store(&["check", "."]),
        "valid: 1 services, 1 routes\n"
    );
    fixture.write("bad.ini", "[service]\nname = b\ncolour = red\n");
    let (code, message) = fixture.run_failing(&["check", "."]);
    assert_eq!(code, Some(1));
    assert!(
        message.contains("bad.ini:3: [service] colour: unknown key"),
        "{message}"
    );
}

#[test]
fn publishes_only_when_files_changed() {
    let fixture = Fixture::new();
    let diff = fixture.run_ok(&["diff", "."]);
    assert_eq!(diff, "+ service gallery\n+ route browse\n");
    assert_eq!(fixture.run_ok(&["publish", "."]), "published version 1\n");
    assert_eq!(fixture.run_ok(&["diff", "."]), "");
    assert!(
        fixture
            .run_ok(&["publish", "."])
            .contains("nothing has changed")
    );
    fixture.write("gallery.ini", &GALLERY.replace("/pictures/", "/images/"));
    assert_eq!(fixture.run_ok(&["diff", "."]), "~ route browse\n");
    assert_eq!(fixture.run_ok(&["publish", "."]), "published version 2\n");
}

#[test]
fn publishing_from_another_version_conflicts() {
    let fixture = Fixture::new();
    fixture.run_ok(&["publish", "."]);
    fixture.write("gallery.ini", &GALLERY.replace("/pictures/", "/images/"));
    let (code, message) = fixture.run_failing(&["publish", "--from", "9", "."]);
    assert_eq!(code, Some(3), "{message}");
}

#[test]
fn a_write_without_a_response_is_confirmed_by_reading_back() {
    let fixture = Fixture::new();
    fixture.store.drop_responses(1);
    assert_eq!(fixture.run_ok(&["publish", "."]), "published version 1\n");
    fixture.store.drop_responses(1);
    assert!(fixture.run_ok(&["dc", "out", "a"]).contains("is out"));
}

#[test]
fn a_publication_that_the_store_loses_is_reported() {
    let fixture = Fixture::new();
    fixture.run_ok(&["publish", "."]);
    fixture.store.back_up();
    fixture.write("gallery.ini", &GALLERY.replace("/pictures/", "/images/"));
    fixture.store.lose_next_write();
    let (code, message) = fixture.run_failing(&["publish", "--wait", "."]);
    assert_eq!(code, Some(1));
    assert!(message.contains("older copy; publish again"), "{message}");
    assert_eq!(
        fixture.run_ok(&["publish", "--wait", "."]),
        "published version 2\n"
    );
}

#[test]
fn evacuates_data_centres_and_ends_evacuations() {
    let fixture = Fixture::new();
    assert_eq!(
        fixture.run_ok(&["dc", "out", "a"]),
        "data centre a is out\n"
    );
    assert_eq!(
        fixture.run_ok(&["dc", "out", "a"]),
        "data centre a is already out\n"
    );
    assert!(fixture.run_ok(&["status"]).contains("data centres out: a"));
    assert_eq!(fixture.run_ok(&["dc", "in", "a"]), "data centre a is in\n");
    assert_eq!(
        fixture.run_ok(&["dc", "in", "a"]),
        "data centre a is already in\n"
    );
}

#[test]
fn reports_a_store_that_refuses_every_call() {
    let fixture = Fixture::new();
    fixture.store.set_fault(StoreFault::Unavailable);
    let (code, message) = fixture.run_failing(&["publish", "."]);
    assert_eq!(code, Some(1), "{message}");
    assert!(message.contains("the store"), "{message}");
}

#[test]
fn explains_a_request_from_log_files() {
    let fixture = Fixture::new();
    fixture.write(
        "daemon.log",
        "not json\n\
         {\"unix_ms\":2,\"event\":\"answered\",\"request\":\"r1\",\"elapsed_ms\":9,\"daemon\":\"d\",\
         \"answer\":\"lost\"}\n\
         {\"unix_ms\":1,\"event\":\"sent\",\"request\":\"r1\",\"elapsed_ms\":2,\"daemon\":\"d\",\
         \"worker\":\"w-1\"}\n\
         {\"unix_ms\":1,\"event\":\"sent\",\"request\":\"r2\",\"elapsed_ms\":2}\n",
    );
    assert_eq!(
        fixture.run_ok(&["explain", "r1", "--log", "daemon.log"]),
        "d +2 ms sent worker=w-1\nd +9 ms answered answer=lost\n"
    );
    assert_eq!(
        fixture
            .run_failing(&["explain", "r9", "--log", "daemon.log"])
            .0,
        Some(1)
    );
}

#[test]
fn wrong_usage_exits_with_status_2() {
    let fixture = Fixture::new();
    assert_eq!(fixture.run_failing(&["publish"]).0, Some(2));
    assert_eq!(fixture.run_failing(&["explain", "r1"]).0, Some(2));
    assert_eq!(fixture.run_failing(&["where", "a.example", "/"]).0, Some(2));
    assert!(
        fixture
            .run_ok(&["completions", "bash"])
            .contains("anvilferry")
    );
}

/// Guards against keys that are lost on the way to the store, or shown by the tool.
#[test]
fn accounts_are_published_with_their_keys_and_shown_without() {
    let fixture = Fixture::new();
    fixture.write(
        "site.ini",
        "[account acme]\nkeys = secret-1, secret-2\nrate = 5\n",
    );
    let check = fixture.run_without_store(&["check", "."]);
    assert_eq!(check, "valid: 1 services, 1 routes, 1 accounts\n");
    fixture.run_ok(&["publish", "."]);
    assert!(fixture.run_ok(&["diff", "."]).is_empty());
    assert!(
        fixture
            .run_ok(&["publish", "."])
            .contains("nothing has changed")
    );
    fixture.write(
        "site.ini",
        "[account acme]\nkeys = secret-1, secret-3\nrate = 5\n",
    );
    assert_eq!(fixture.run_ok(&["diff", "."]), "~ account acme\n");
    let published = fixture.run_ok(&["publish", "."]);
    assert!(!published.contains("secret"), "{published}");
    fixture.write("site.ini", "[account acme]\nkeys = secret 4\n");
    let refused = fixture.run(&["check", "."]);
    assert!(!refused.status.success());
    let text = String::from_utf8_lossy(&refused.stderr);
    assert!(
        text.contains("[account acme] keys") && !text.contains("secret"),
        "{text}"
    );
    fixture.write("site.ini", "");
    assert_eq!(fixture.run_ok(&["diff", "."]), "- account acme\n");
}
