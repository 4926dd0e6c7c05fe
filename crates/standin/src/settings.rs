//! The settings of daemons under test.

use {
    conf::{Bounds, Listen, Settings},
    std::net::{Ipv4Addr, SocketAddrV4},
    unit::{Name, Span},
};

const CALLERS: u16 = 0;
const READY: u16 = 1;
const DIRECTORY: u16 = 2;
const OPERATORS: u16 = 3;
const PEERS: u16 = 4;

/// The settings of a daemon on an address whose ports begin at `base`.
pub(crate) fn settings(
    name: &str,
    centre: &str,
    ip: Ipv4Addr,
    base: u16,
    store: SocketAddrV4,
    seed: Ipv4Addr,
) -> Settings {
    let address = |port| SocketAddrV4::new(ip, base + port);
    let name: Name = name.into();
    Settings {
        bounds: Bounds {
            cold_factor: 1.5,
            cold_slack: 5.0,
            drain: Span::secs(2),
            stop_grace: Span::secs(6),
            max_ttl: Span::secs(5),
            probe_rate: 60.0,
            retry_extra: 56.0,
            retry_ratio: 0.2,
            retry_window: Span::secs(10),
        },
        centre: centre.into(),
        max_fds: 4_100,
        ip,
        listen: Listen {
            callers: address(CALLERS),
            directory: address(DIRECTORY),
            operators: Some(address(OPERATORS)),
            ready: address(READY),
        },
        name,
        peer_ports: (base + PEERS, base + PEERS),
        region: "region".into(),
        seeds: vec![seed],
        store,
    }
}
