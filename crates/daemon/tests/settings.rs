//! Settings and key files as the daemon takes them, and the catalogue of its log events.

#![allow(clippy::expect_used, clippy::panic, missing_docs)]

use std::{
    fs,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
    process::Command,
};

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let name = format!(
            "anvilferry-settings-{}-{:x}",
            std::process::id(),
            fastrand::u64(..)
        );
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("can be made");
        Self(path)
    }

    fn write(&self, name: &str, text: &str, mode: u32) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("can be written");
        fs::set_permissions(&path, fs::Permissions::from_mode(mode)).expect("can be set");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn settings(keys: &Path) -> String {
    format!(
        "[daemon]\nname = e\ndata_centre = d\nregion = r\n[listen]\ncallers = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n[peers]\nkeys = {}\n\
         [platform]\naddresses = 127.0.0.1:1\n",
        keys.display()
    )
}

#[track_caller]
fn check(file: &Path, good: bool, told: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_anvilferryd"))
        .arg("--check")
        .arg(file)
        .output()
        .expect("runs");
    let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    assert_eq!(output.status.success(), good, "{text}");
    assert!(text.contains(told), "{told:?} is not in {text:?}");
    assert!(!text.contains("a-secret"), "a key is shown: {text}");
}

const KEY: &str = "a-secret-of-more-than-thirty-two-characters\n";

#[test]
fn good_settings_are_valid() {
    let folder = Folder::new();
    let keys = folder.write("keys", KEY, 0o600);
    let file = folder.write("e.ini", &settings(&keys), 0o644);
    check(&file, true, "settings are valid");
}

#[test]
fn a_key_file_that_others_can_read_is_refused() {
    let folder = Folder::new();
    let keys = folder.write("keys", KEY, 0o644);
    let file = folder.write("e.ini", &settings(&keys), 0o644);
    check(&file, false, "run chmod 600 on it");
}

#[test]
fn short_absent_and_too_many_keys_are_refused() {
    let folder = Folder::new();
    let short = folder.write("short", "a-secret\n", 0o600);
    let many = folder.write("many", &KEY.repeat(3), 0o600);
    let empty = folder.write("empty", "\n", 0o600);
    for keys in [short, many, empty] {
        let file = folder.write("e.ini", &settings(&keys), 0o644);
        check(&file, false, "must hold one or two lines");
    }
    let file = folder.write("e.ini", &settings(Path::new("/nowhere")), 0o644);
    check(&file, false, "key file: /nowhere");
}

#[test]
fn wrong_settings_are_named() {
    let folder = Folder::new();
    let keys = folder.write("keys", KEY, 0o600);
    let good = settings(&keys);
    let cases = [
        (
            good.replace("name = e", "nome = e"),
            "[daemon] nome: unknown key",
        ),
        (
            good.replace("127.0.0.1:1\n", "\n"),
            "[platform] addresses: value is empty",
        ),
        (
            good.replace("callers = 127.0.0.1:0", "callers = here"),
            "give an address as IP:PORT",
        ),
        (
            format!("{good}[limits]\nconns = 0\n"),
            "give a number from 1 to 20000",
        ),
        (format!("{good}[limit]\n"), "unknown section"),
        ("not an ini file".to_owned(), "syntax"),
    ];
    for (text, told) in cases {
        let file = folder.write("e.ini", &text, 0o644);
        check(&file, false, told);
    }
    check(
        Path::new("/nowhere.ini"),
        false,
        "name a file that can be read",
    );
}

#[test]
fn every_event_stands_in_the_catalogue_and_no_other() {
    let path = format!("{}/../../docs/EVENTS.md", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(path).expect("can be read");
    let listed: Vec<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("| AF"))
        .map(|line| {
            line.split('|')
                .take(2)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join(" ")
        })
        .collect();
    let mut known: Vec<String> = daemon::Event::ALL
        .iter()
        .map(|event| format!("{} {event:?}", event.number()))
        .collect();
    known.sort();
    assert_eq!(listed, known);
}
