//! The tool against a platform that loses answers and is down.

#![allow(clippy::expect_used, clippy::panic, missing_docs)]

use {
    standin::{platform::Faults, process::Process},
    std::{fs, path::PathBuf, process::Command},
};

const READS: &str = "[class reads]\nkind = idempotent\npriority = interactive\n";

/// A platform, a folder, and the tool run against them.
struct Bench {
    dir: PathBuf,
    platform: Process,
}

/// One run of the tool with what it must say.
struct Run<'a> {
    args: Vec<String>,
    bench: &'a Bench,
    status: i32,
    stderr: Option<&'a str>,
    stdout: Option<&'a str>,
}

impl Bench {
    fn new() -> Self {
        let name = format!(
            "anvilferry-tool-{}-{:x}",
            std::process::id(),
            fastrand::u64(..)
        );
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("can be made");
        let log = dir.join("platform.log");
        let platform = Process::start("standin-platform", &[], &log).expect("starts");
        Self { dir, platform }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        fs::write(&path, text).expect("can be written");
        path.display().to_string()
    }

    fn service(&self, name: &str) -> String {
        self.file(
            &format!("{name}.ini"),
            &format!("[service]\nname = {name}\n\n{READS}"),
        )
    }

    fn faults(&self, faults: &Faults) {
        let address = self.platform.address("platform").expect("has one");
        let text = serde_json::to_string(faults).expect("is JSON");
        attohttpc::post(format!("http://{address}/admin/faults"))
            .text(text)
            .send()
            .expect("answers");
    }

    fn run<'a>(&'a self, args: &[&str]) -> Run<'a> {
        Run {
            args: args.iter().map(|arg| (*arg).to_owned()).collect(),
            bench: self,
            status: 0,
            stderr: None,
            stdout: None,
        }
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.dir));
    }
}

impl<'a> Run<'a> {
    fn status(mut self, status: i32) -> Self {
        self.status = status;
        self
    }

    fn stderr(mut self, text: &'a str) -> Self {
        self.stderr = Some(text);
        self
    }

    fn stdout(mut self, text: &'a str) -> Self {
        self.stdout = Some(text);
        self
    }

    #[track_caller]
    fn check(self) -> String {
        let address = self.bench.platform.address("platform").expect("has one");
        let output = Command::new(env!("CARGO_BIN_EXE_anvilferry"))
            .args(&self.args)
            .env("ANVILFERRY_PLATFORM", address.to_string())
            .env("USER", "ann")
            .output()
            .expect("runs");
        let (out, err) = (
            String::from_utf8_lossy(&output.stdout).into_owned(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        );
        assert_eq!(
            output.status.code(),
            Some(self.status),
            "{:?}\n{out}{err}",
            self.args
        );
        if let Some(text) = self.stdout {
            assert!(out.contains(text), "{text:?} is not in {out:?}");
        }
        if let Some(text) = self.stderr {
            assert!(err.contains(text), "{text:?} is not in {err:?}");
        }
        out
    }
}

#[test]
fn check_takes_good_files_and_names_what_is_wrong() {
    let bench = Bench::new();
    let good = bench.service("a");
    bench
        .run(&["check", &good])
        .stdout("service a: valid\n")
        .check();
    let bad = bench.file("bad.ini", "[service]\nname = b\nprobez = 1\n");
    bench
        .run(&["check", &bad])
        .status(1)
        .stderr("bad.ini:3: [service] probez: unknown key; allowed here:")
        .check();
    bench
        .run(&["check", "/nowhere.ini"])
        .status(1)
        .stderr("name files that can be read")
        .check();
}

#[test]
fn check_refuses_two_files_of_one_service() {
    let bench = Bench::new();
    let (one, text) = (bench.service("a"), format!("[service]\nname = a\n{READS}"));
    let two = bench.file("other.ini", &text);
    bench
        .run(&["check", &one, &two])
        .status(1)
        .stderr("service a has another file")
        .check();
}

#[test]
fn wrong_usage_has_a_status_of_its_own() {
    let bench = Bench::new();
    bench.run(&["publsh"]).status(2).check();
    bench.run(&["dc", "sideways", "x"]).status(2).check();
}

#[test]
fn publishing_shows_in_history_status_and_diff() {
    let bench = Bench::new();
    let file = bench.service("a");
    bench.run(&["diff", &file]).stdout("+name = a").check();
    bench
        .run(&["publish", &file])
        .stdout("as generation 1")
        .check();
    bench
        .run(&["publish", &file])
        .stdout("nothing has changed since generation 1")
        .check();
    bench.run(&["history"]).stdout("by ann: service a").check();
    bench.run(&["status"]).stdout("generation 1").check();
    let out = bench.run(&["--json", "status"]).check();
    let value: serde_json::Value = serde_json::from_str(&out).expect("is JSON");
    assert_eq!(value["services"][0], "a");
    bench
        .run(&["dc", "out", "cascade-b"])
        .stdout("as generation 2")
        .check();
    bench
        .run(&["status"])
        .stdout("data centre cascade-b is out")
        .check();
}

#[test]
fn crossing_changes_conflict_and_disjoint_ones_land() {
    let bench = Bench::new();
    let (one, two) = (bench.service("a"), bench.service("b"));
    bench.run(&["publish", &one]).check();
    // Who looked at generation 0 has not seen ann's file.
    let text = format!("[service]\nname = a\nslots = 8\n{READS}");
    let other = bench.file("a2.ini", &text);
    bench
        .run(&["publish", "--from", "0", &other])
        .status(3)
        .stderr("service a was changed by ann in generation 1")
        .check();
    bench
        .run(&["publish", "--from", "0", &two])
        .stdout("as generation 2")
        .check();
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let bench = Bench::new();
    let file = bench.service("a");
    bench.run(&["publish", &file]).check();
    let lose = Faults {
        lose: 1,
        ..Faults::default()
    };
    bench.faults(&lose);
    bench
        .run(&["dc", "out", "x"])
        .stdout("as generation 2")
        .check();
    let history = bench.run(&["history"]).check();
    assert_eq!(
        history.lines().count(),
        2,
        "the change was made once: {history}"
    );
}

#[test]
fn a_platform_that_is_down_is_said_so() {
    let bench = Bench::new();
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    bench.faults(&down);
    bench
        .run(&["--timeout", "1", "dc", "out", "x"])
        .status(1)
        .stderr("nothing was published, try again")
        .check();
    bench
        .run(&["status"])
        .status(1)
        .stderr("can't read the platform")
        .check();
}

#[test]
fn completions_are_printed() {
    let bench = Bench::new();
    bench
        .run(&["completions", "bash"])
        .stdout("anvilferry")
        .check();
}
