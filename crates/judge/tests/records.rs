//! Records as files.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use {
    judge::{Bounds, Entry, Event, Outcome, Record, Subject},
    unit::{Span, Time},
};

fn record() -> Record {
    let entries = vec![
        Entry {
            at: Time::at(Span::millis(7)),
            event: Event::Answered {
                request: "r\n\"1\"".into(),
                outcome: Outcome::Served,
            },
        },
        Entry {
            at: Time::at(Span::millis(3)),
            event: Event::Disrupted {
                subject: Subject::Daemon("d".into()),
                until: Time::at(Span::millis(9)),
            },
        },
    ];
    Record::new(Bounds::default(), entries)
}

fn text() -> String {
    let mut bytes = Vec::new();
    record().write(&mut bytes).expect("written");
    String::from_utf8(bytes).expect("text")
}

fn error(text: &str) -> String {
    let error = Record::read(text.as_bytes()).expect_err("unreadable");
    error.to_string()
}

#[test]
fn a_record_is_read_as_it_was_written() {
    let text = text();
    assert_eq!(text.lines().count(), 3);
    let read = Record::read(text.as_bytes()).expect("readable");
    assert_eq!(read, record());
    assert_eq!(read.entries[0].at, Time::at(Span::millis(3)));
}

#[test]
fn what_can_not_be_read_is_named_by_its_line() {
    assert_eq!(error(""), "line 1: the bounds are missing");
    assert!(error("{}").starts_with("line 1: "), "{}", error("{}"));
    let text = text();
    let cut = &text[..text.len() - 10];
    assert!(error(cut).starts_with("line 3: "), "{}", error(cut));
    let other = text.replace("served", "lost");
    assert!(error(&other).starts_with("line 3: "), "{}", error(&other));
    let late = text.replacen("\"at\":3000", "\"at\":8000", 1);
    assert_eq!(error(&late), "line 3: earlier than the entry before it");
}
