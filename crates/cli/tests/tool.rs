//! The operators' tool as operators call it.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    standin::{Mood, Store},
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

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A store and a folder with files, for calls of the tool.
struct Scene {
    folder: PathBuf,
    store: Store,
}

impl Scene {
    fn new() -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("tool-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let scene = Self {
            folder,
            store: Store::start().expect("a store"),
        };
        scene.write("gallery.ini", GALLERY);
        scene
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.join(name), text).expect("written");
    }

    fn call(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_anvilferry"))
            .args(arguments)
            .args(["--timeout", "3"])
            .env("ANVILFERRY_STORE", self.store.address.to_string())
            .current_dir(&self.folder)
            .output()
            .expect("it runs")
    }

    /// What the tool prints where it succeeds.
    fn done(&self, arguments: &[&str]) -> String {
        let output = self.call(arguments);
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    }

    /// The exit status and the complaint where it fails.
    fn failed(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let output = self.call(arguments);
        let told = String::from_utf8(output.stderr).expect("text");
        (output.status.code(), told)
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        // A folder that can't be removed is left to the system.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn checks_files_without_a_store() {
    let scene = Scene::new();
    assert_eq!(scene.done(&["check", "."]), "valid: 1 services, 1 routes\n");
    scene.write("bad.ini", "[service]\nname = b\ncolour = red\n");
    let (code, told) = scene.failed(&["check", "."]);
    assert_eq!(code, Some(1));
    assert!(
        told.contains("bad.ini:3: [service] colour: unknown key"),
        "{told}"
    );
}

#[test]
fn publishes_what_has_changed_and_nothing_else() {
    let scene = Scene::new();
    let diff = scene.done(&["diff", "."]);
    assert_eq!(diff, "+ service gallery\n+ route browse\n");
    assert_eq!(scene.done(&["publish", "."]), "published version 1\n");
    assert_eq!(scene.done(&["diff", "."]), "");
    assert!(
        scene
            .done(&["publish", "."])
            .contains("nothing has changed")
    );
    scene.write("gallery.ini", &GALLERY.replace("/pictures/", "/images/"));
    assert_eq!(scene.done(&["diff", "."]), "~ route browse\n");
    assert_eq!(scene.done(&["publish", "."]), "published version 2\n");
}

#[test]
fn a_version_that_was_not_looked_at_conflicts() {
    let scene = Scene::new();
    scene.done(&["publish", "."]);
    scene.write("gallery.ini", &GALLERY.replace("/pictures/", "/images/"));
    let (code, told) = scene.failed(&["publish", "--from", "9", "."]);
    assert_eq!(code, Some(3), "{told}");
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let scene = Scene::new();
    scene.store.lose_answers(1);
    assert_eq!(scene.done(&["publish", "."]), "published version 1\n");
    scene.store.lose_answers(1);
    assert!(scene.done(&["dc", "out", "a"]).contains("is out"));
}

#[test]
fn takes_data_centres_out_and_in() {
    let scene = Scene::new();
    assert_eq!(scene.done(&["dc", "out", "a"]), "data centre a is out\n");
    assert_eq!(
        scene.done(&["dc", "out", "a"]),
        "data centre a is already out\n"
    );
    assert!(scene.done(&["status"]).contains("data centres out: a"));
    assert_eq!(scene.done(&["dc", "in", "a"]), "data centre a is in\n");
    assert_eq!(
        scene.done(&["dc", "in", "a"]),
        "data centre a is already in\n"
    );
}

#[test]
fn tells_of_a_store_that_does_nothing() {
    let scene = Scene::new();
    scene.store.set_mood(Mood::Busy);
    let (code, told) = scene.failed(&["publish", "."]);
    assert_eq!(code, Some(1), "{told}");
    assert!(told.contains("the store"), "{told}");
}

#[test]
fn explains_a_request_from_logs() {
    let scene = Scene::new();
    scene.write(
        "daemon.log",
        "not json\n\
         {\"unix_ms\":2,\"event\":\"answered\",\"request\":\"r1\",\"elapsed_ms\":9,\"daemon\":\"d\",\
         \"answer\":\"lost\"}\n\
         {\"unix_ms\":1,\"event\":\"sent\",\"request\":\"r1\",\"elapsed_ms\":2,\"daemon\":\"d\",\
         \"worker\":\"w-1\"}\n\
         {\"unix_ms\":1,\"event\":\"sent\",\"request\":\"r2\",\"elapsed_ms\":2}\n",
    );
    assert_eq!(
        scene.done(&["explain", "r1", "--log", "daemon.log"]),
        "d +2 ms sent worker=w-1\nd +9 ms answered answer=lost\n"
    );
    assert_eq!(
        scene.failed(&["explain", "r9", "--log", "daemon.log"]).0,
        Some(1)
    );
}

#[test]
fn wrong_usage_has_a_status_of_its_own() {
    let scene = Scene::new();
    assert_eq!(scene.failed(&["publish"]).0, Some(2));
    assert_eq!(scene.failed(&["explain", "r1"]).0, Some(2));
    assert!(scene.done(&["completions", "bash"]).contains("anvilferry"));
}
