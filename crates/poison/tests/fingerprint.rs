//! By what a request is known when it comes again.

use {poison::Fingerprint, std::net::Ipv4Addr};

#[test]
fn a_fingerprint_depends_on_each_part() {
    let [a, b] = [Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2)];
    let all = [
        Fingerprint::new(a, "h", "GET", "/x", b""),
        Fingerprint::new(b, "h", "GET", "/x", b""),
        Fingerprint::new(a, "i", "GET", "/x", b""),
        Fingerprint::new(a, "h", "PUT", "/x", b""),
        Fingerprint::new(a, "h", "GET", "/y", b""),
        Fingerprint::new(a, "h", "GET", "/x", b"z"),
    ];
    for (at, first) in all.iter().enumerate() {
        assert!(all[at + 1..].iter().all(|other| other != first));
    }
    assert_eq!(all[0], Fingerprint::new(a, "h", "GET", "/x", b""));
}
