//! Service files, settings and edits: what is taken, and what is said of the rest.

#![allow(clippy::expect_used, clippy::panic, missing_docs)]

use {
    conf::{Change, Edit, Generation, Kind, Root, Service, Settings},
    quickcheck::quickcheck,
    std::collections::BTreeMap,
};

const GOOD: &str =
    "[service]\nname = s\n\n[class reads]\nkind = idempotent\npriority = interactive\n";
const SETTINGS: &str = "[daemon]\nname = e\ndata_centre = d\nregion = r\n[listen]\n\
    callers = 127.0.0.1:1\noperators = 127.0.0.1:2\npeers = 127.0.0.1:3\n[peers]\nkeys = k\n\
    [platform]\naddresses = 127.0.0.1:4\n";

quickcheck! {
    fn any_text_is_a_service_or_is_refused(text: String) -> bool {
        Service::parse("f", &text).is_ok() || Service::parse("f", &text).is_err()
    }

    fn any_text_below_a_section_is_taken_or_refused(text: String) -> bool {
        let text = format!("{GOOD}{text}");
        Service::parse("f", &text).is_ok() || Service::parse("f", &text).is_err()
    }

    fn any_settings_are_taken_or_refused(text: String) -> bool {
        let text = format!("{SETTINGS}{text}");
        Settings::parse("f", &text).is_ok() || Settings::parse("f", &text).is_err()
    }
}

#[track_caller]
fn refused(text: &str, told: &str) {
    let Err(problems) = Service::parse("f.ini", text) else {
        panic!("was taken: {text}");
    };
    assert_eq!(problems.to_string(), told);
}

#[test]
fn a_short_file_has_defaults() {
    let service = Service::parse("f", GOOD).expect("is valid");
    assert_eq!(
        (service.slots, service.cold, service.conns, service.entries),
        (4, 1, 220, 3)
    );
    let class = service.class("GET", "/x").expect("has a class");
    assert_eq!(class.kind, Kind::Idempotent);
}

#[test]
fn the_first_class_that_covers_a_request_decides() {
    let text = "[service]\nname = s\n[class pay]\nmethods = POST\npath = /pay\n\
        kind = at-most-once\npriority = interactive\n[class rest]\nkind = idempotent\n\
        priority = deferrable\n";
    let service = Service::parse("f", text).expect("is valid");
    let name = |method, path| {
        service
            .class(method, path)
            .map(|class| class.name.to_string())
    };
    assert_eq!(name("POST", "/pay/1").as_deref(), Some("pay"));
    assert_eq!(name("GET", "/pay/1").as_deref(), Some("rest"));
}

#[test]
fn an_unknown_key_is_named_with_its_line() {
    refused(
        "[service]\nname = s\nslotz = 4\n[class a]\nkind = idempotent\npriority = interactive\n",
        "f.ini:3: [service] slotz: unknown key; allowed here: caller_requests, cold_start, conns, \
         entries, extra_percent, name, out_percent, probe_path, probes, queue, slots",
    );
}

#[test]
fn a_number_out_of_range_is_named_with_the_range() {
    refused(
        &GOOD.replace("name = s", "name = s\nslots = 0"),
        "f.ini:3: [service] slots: \"0\" is not allowed; give a number from 1 to 1024",
    );
}

#[test]
fn an_unknown_kind_is_named_with_the_allowed_ones() {
    refused(
        &GOOD.replace("idempotent", "maybe"),
        "f.ini:5: [class reads] kind: \"maybe\" is not allowed; give at-most-once or idempotent\n\
         f.ini:1: [service]: no class is valid; add a [class NAME] section with kind and priority",
    );
}

#[test]
fn a_doubled_key_is_refused() {
    refused(
        &GOOD.replace("name = s", "name = s\nname = t"),
        "f.ini:3: [service] name: key stands twice; keep one of them",
    );
}

#[test]
fn an_unknown_section_is_refused() {
    refused(
        &format!("{GOOD}[klass x]\n"),
        "f.ini:7: [klass x]: unknown section; remove it or correct its name",
    );
}

#[test]
fn more_wrong_things_are_refused() {
    let wrong = [
        "",
        "[service]\n",
        "name = s\n",
        "[service\nname = s\n",
        "[service]\nname = a b\n[class r]\nkind = idempotent\npriority = interactive\n",
        "[service]\nname = s\n[class r]\nkind = idempotent\n",
        "[service]\nname = s\n[class r]\nkind = idempotent\npriority = interactive\npath = x\n",
        "[service]\nname = s\n[class r]\nkind = idempotent\npriority = interactive\nmethods = get\n",
        "[service]\nname = s\n[class r]\nkind = idempotent\npriority = interactive\ndeadline_ms = 1\n",
        "[service]\nname = s\ncold_start = 5\n[class r]\nkind = idempotent\npriority = interactive\n",
        "[service]\nname =\n[class r]\nkind = idempotent\npriority = interactive\n",
        "[service]\nname = s\nextra_percent = 50\n[class r]\nkind = idempotent\npriority = interactive\n",
    ];
    for text in wrong {
        let problems = Service::parse("f", text).expect_err(text);
        assert!(problems.to_string().contains("f:"), "{text}");
    }
}

#[test]
fn settings_name_what_is_missing() {
    let text = SETTINGS
        .replace("region = r\n", "")
        .replace("127.0.0.1:4", "nowhere");
    let problems = Settings::parse("d.ini", &text)
        .expect_err("is not valid")
        .to_string();
    assert!(
        problems.contains("d.ini:1: [daemon] region: key is missing"),
        "{problems}"
    );
    assert!(
        problems.contains("[platform] addresses: \"nowhere\" is not an address"),
        "{problems}"
    );
}

#[test]
fn a_huge_file_is_refused() {
    let text = format!("{GOOD};{}", "x".repeat(600_000));
    let problems = Service::parse("f", &text)
        .expect_err("is too long")
        .to_string();
    assert!(problems.contains("at most 524288 bytes"), "{problems}");
}

fn change(id: &str) -> Change {
    Change {
        at: 0,
        by: id.to_owned(),
        generation: 0,
        id: id.to_owned(),
        touched: Vec::new(),
    }
}

fn touching(id: &str, edit: &Edit) -> Change {
    Change {
        touched: edit.touched(),
        ..change(id)
    }
}

fn services(name: &str, object: &str) -> Edit {
    Edit::Services(BTreeMap::from([(name.into(), Some(object.to_owned()))]))
}

#[test]
fn disjoint_edits_both_land_and_crossing_ones_conflict() {
    let (one, two) = (services("a", "a.1"), services("b", "b.1"));
    let first = one.apply(
        Generation(0),
        &Root::default(),
        Generation(0),
        touching("ann", &one),
    );
    let first = first.expect("nobody else");
    let both = two.apply(Generation(0), &first, Generation(1), touching("bob", &two));
    let both = both.expect("is disjoint");
    assert_eq!(both.services.len(), 2);
    let cross = services("a", "a.2");
    let conflict = cross.apply(Generation(0), &both, Generation(2), touching("cid", &cross));
    let conflict = conflict.expect_err("crosses ann's");
    assert_eq!((&*conflict.by, conflict.generation), ("ann", 1));
    let again = cross.apply(Generation(1), &both, Generation(2), touching("cid", &cross));
    assert!(
        again.is_ok(),
        "who has seen ann's change may change it again"
    );
}

#[test]
fn a_change_made_and_undone_since_is_a_conflict_too() {
    let out = Edit::Centre("x".into(), true);
    let back = Edit::Centre("x".into(), false);
    let root = out.apply(
        Generation(5),
        &Root::default(),
        Generation(5),
        touching("ann", &out),
    );
    let root = root.expect("nobody else");
    let root = back.apply(Generation(6), &root, Generation(6), touching("ann", &back));
    let root = root.expect("has seen it");
    assert!(
        out.apply(Generation(5), &root, Generation(7), touching("bob", &out))
            .is_err()
    );
}

#[test]
fn history_that_no_longer_reaches_back_is_a_conflict() {
    let mut root = Root::default();
    for number in 0..60 {
        let edit = Edit::Vm(format!("vm-{number}").into(), true);
        let base = Generation(number);
        root = edit
            .apply(base, &root, base, touching("ann", &edit))
            .expect("nobody else");
    }
    assert_eq!(root.history.len(), 50);
    let edit = Edit::Vm("other".into(), true);
    assert!(
        edit.apply(Generation(3), &root, Generation(60), touching("bob", &edit))
            .is_err()
    );
    assert!(
        edit.apply(
            Generation(20),
            &root,
            Generation(60),
            touching("bob", &edit)
        )
        .is_ok()
    );
}
