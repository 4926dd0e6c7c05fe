//! By what a request is known when it comes again.

use poison::Fingerprint;

#[test]
fn a_fingerprint_depends_on_each_part() {
    let all = [
        Fingerprint::new("h", "GET", "/x", b""),
        Fingerprint::new("i", "GET", "/x", b""),
        Fingerprint::new("h", "PUT", "/x", b""),
        Fingerprint::new("h", "GET", "/y", b""),
        Fingerprint::new("h", "GET", "/x", b"z"),
    ];
    for (at, first) in all.iter().enumerate() {
        assert!(all[at + 1..].iter().all(|other| other != first));
    }
    assert_eq!(all[0], Fingerprint::new("h", "GET", "/x", b""));
}
