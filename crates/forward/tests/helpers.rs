//! Which daemon gets a request, and what it takes.

use {
    fastrand::Rng,
    forward::{ForwardRequest, HelperMember, Helpers, Intake, service_hash},
    std::net::Ipv4Addr,
    unit::{Set, Span, Time},
};

const NOW: Time = Time::at(Span::secs(10));

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

/// Daemons 1 to 3 in this daemon's data centre, 4 to 6 in another one. Daemons 2 and 4 don't read a
/// request's account.
fn helpers() -> Helpers {
    let mut helpers = Helpers::default();
    helpers.set_members((1..=6).map(|last| HelperMember {
        ip: ip(last),
        local: last <= 3,
        reads_account: last != 2 && last != 4,
    }));
    helpers
}

/// The helpers that are chosen in a hundred draws.
fn chosen(helpers: &Helpers, now: Time, asked: &[Ipv4Addr]) -> Set<Ipv4Addr> {
    let mut rng = Rng::with_seed(1);
    (0..100)
        .filter_map(|_| helpers.choose(now, "s", asked, false, &mut rng))
        .collect()
}

fn set(lasts: &[u8]) -> Set<Ipv4Addr> {
    lasts.iter().map(|last| ip(*last)).collect()
}

#[test]
fn helpers_of_the_own_data_centre_come_first() {
    assert_eq!(chosen(&helpers(), NOW, &[]), set(&[1, 2, 3]));
    assert_eq!(chosen(&helpers(), NOW, &[ip(1)]), set(&[2, 3]));
}

/// Guards against a request that a helper would run without its account.
#[test]
fn a_request_with_an_account_goes_to_no_helper_that_cannot_read_it() {
    let helpers = helpers();
    let mut rng = Rng::with_seed(1);
    let mut chosen = |asked: &[Ipv4Addr]| -> Set<Ipv4Addr> {
        (0..100)
            .filter_map(|_| helpers.choose(NOW, "s", asked, true, &mut rng))
            .collect()
    };
    assert_eq!(chosen(&[]), set(&[1, 3]));
    assert_eq!(chosen(&[ip(1), ip(3)]), set(&[5, 6]));
    assert_eq!(chosen(&[1, 3, 5, 6].map(ip)), set(&[]));
}

#[test]
fn a_daemon_that_is_cut_off_itself_gets_nothing() {
    let mut helpers = helpers();
    helpers.record_report(NOW, ip(1), &[service_hash("s")]);
    helpers.record_report(NOW, ip(2), &[service_hash("other")]);
    assert_eq!(chosen(&helpers, NOW, &[]), set(&[2, 3]));
    helpers.record_report(NOW, ip(1), &[]);
    assert_eq!(chosen(&helpers, NOW, &[]), set(&[1, 2, 3]));
}

#[test]
fn the_whole_region_helps_where_most_of_a_data_centre_is_cut_off() {
    let mut helpers = helpers();
    for last in [1, 2] {
        helpers.record_report(NOW, ip(last), &[service_hash("s")]);
    }
    assert_eq!(chosen(&helpers, NOW, &[]), set(&[3, 4, 5, 6]));
}

#[test]
fn no_helper_is_chosen_where_all_are_cut_off() {
    let mut helpers = helpers();
    for last in 1..=6 {
        helpers.record_report(NOW, ip(last), &[service_hash("s")]);
    }
    assert_eq!(chosen(&helpers, NOW, &[]), set(&[]));
    let later = NOW + Span::secs(6);
    assert_eq!(
        chosen(&helpers, later, &[]).len(),
        3,
        "old reports don't count"
    );
}

#[test]
fn a_helper_that_refused_is_left_out_for_a_while() {
    let mut helpers = helpers();
    helpers.record_refusal(NOW, ip(1));
    assert_eq!(chosen(&helpers, NOW, &[]), set(&[2, 3]));
    assert_eq!(chosen(&helpers, NOW + Span::secs(1), &[]), set(&[1, 2, 3]));
}

#[test]
fn a_helper_takes_only_what_costs_its_own_callers_nothing() {
    let request = ForwardRequest {
        attempts: 2,
        config: 7,
        service: "s".into(),
    };
    let free = Intake {
        body_bytes: 10,
        config: 7,
        cut: false,
        in_flight: 31,
        ready: true,
        routed: true,
    };
    assert!(free.admits(&request));
    let refusing = [
        Intake {
            in_flight: 32,
            ..free
        },
        Intake {
            body_bytes: 9 << 20,
            ..free
        },
        Intake { config: 6, ..free },
        Intake { cut: true, ..free },
        Intake {
            ready: false,
            ..free
        },
        Intake {
            routed: false,
            ..free
        },
    ];
    assert!(refusing.iter().all(|intake| !intake.admits(&request)));
}
