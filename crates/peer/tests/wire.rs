//! Frames, spreading and places, over arbitrary input.

#![allow(clippy::expect_used, clippy::panic, missing_docs)]

use {
    conf::{Bundle, Generation},
    peer::{Candidate, Spread, Update, decode, encode, entries, home, merge, update_for},
    quickcheck::quickcheck,
    std::collections::BTreeMap,
    unit::Name,
};

quickcheck! {
    fn any_bytes_are_a_frame_or_are_refused(bytes: Vec<u8>) -> bool {
        match decode(&bytes) {
            Ok(frame) => encode(&frame).is_ok(),
            Err(_) => true,
        }
    }

    fn a_claim_of_a_huge_length_is_refused(tail: Vec<u8>) -> bool {
        // An Update whose length says 2^62 bytes.
        let mut bytes = vec![3, 253, 0, 0, 0, 0, 0, 0, 0, 64];
        bytes.extend(tail);
        decode(&bytes).is_err()
    }

    fn generations_and_lists_never_go_back(offers: Vec<(u8, u8)>) -> bool {
        let mut spread = Spread::default();
        let (mut generation, mut list) = (0, 0);
        for (one, two) in offers {
            spread.accept(Generation(u64::from(one)));
            spread.accept_list(u64::from(two));
            if spread.generation().0 < generation || spread.list() < list {
                return false;
            }
            (generation, list) = (spread.generation().0, spread.list());
        }
        true
    }

    fn any_json_is_an_update_or_is_refused(text: String) -> bool {
        serde_json::from_str::<Update>(&text).is_ok() || serde_json::from_str::<Update>(&text).is_err()
    }
}

fn fleet(count: usize) -> Vec<Candidate> {
    let one = |number: usize| Candidate {
        centre: ["a", "b", "c", "d"][number % 4].into(),
        name: format!("entry-{number}").into(),
    };
    (0..count).map(one).collect()
}

#[test]
fn homes_are_dealt_evenly() {
    let fleet = fleet(13);
    let chosen = entries("s", 3, &fleet);
    let workers: Vec<Name> = (0..14).map(|number| format!("w{number}").into()).collect();
    let mut counts = BTreeMap::new();
    for name in home(&workers, &chosen).into_iter().flatten() {
        *counts.entry(name.clone()).or_insert(0) += 1;
    }
    let mut counts: Vec<i32> = counts.into_values().collect();
    counts.sort_unstable();
    assert_eq!(counts, [4, 5, 5]);
}

#[test]
fn entries_stand_in_different_data_centres_and_move_little() {
    let fleet = fleet(13);
    let chosen = entries("s", 3, &fleet);
    let mut centres: Vec<&str> = chosen.iter().map(|own| &*own.centre).collect();
    centres.dedup();
    assert_eq!(centres.len(), 3);
    let gone = chosen[1].name.clone();
    let rest: Vec<Candidate> = fleet
        .iter()
        .filter(|own| own.name != gone)
        .cloned()
        .collect();
    let after = entries("s", 3, &rest);
    assert_eq!(after[0], chosen[0], "the place before it stays");
}

#[test]
fn a_fresh_daemon_waits_for_enough_peers_and_for_the_newest() {
    let mut spread = Spread::default();
    spread.heard(&"b".into(), Generation(4), 1);
    assert!(!spread.caught_up(2), "one of two others isn't enough");
    spread.heard(&"c".into(), Generation(5), 1);
    assert!(!spread.caught_up(2), "it has nothing yet");
    spread.accept(Generation(4));
    spread.accept_list(1);
    assert!(!spread.caught_up(2), "a peer has something newer");
    spread.accept(Generation(5));
    assert!(spread.caught_up(2));
}

#[test]
fn an_update_carries_what_has_changed_and_merges_to_the_whole() {
    let change = |generation: u64, touched: &str| conf::Change {
        at: 0,
        by: "ann".to_owned(),
        generation,
        id: generation.to_string(),
        touched: vec![touched.to_owned()],
    };
    let mut old = Bundle {
        generation: Generation(1),
        ..Bundle::default()
    };
    old.root.history.push(change(1, "service a"));
    old.root.services.insert("a".into(), "a.1".to_owned());
    old.texts.insert("a.1".to_owned(), "A".to_owned());
    let mut new = old.clone();
    new.generation = Generation(2);
    new.root.history.push(change(2, "service b"));
    new.root.services.insert("b".into(), "b.1".to_owned());
    new.texts.insert("b.1".to_owned(), "B".to_owned());
    let update = update_for(&new, &new.vms, Generation(1), 0);
    let sent = update.bundle.expect("is newer");
    assert_eq!(sent.texts.len(), 1, "only the text that changed");
    assert_eq!(merge(&old, sent.clone()), Some(new.clone()));
    assert_eq!(merge(&Bundle::default(), sent), None, "a text is missing");
    assert_eq!(update_for(&new, &new.vms, Generation(2), 0).bundle, None);
}
