//! The settings of daemons under test.

use {
    conf::{Bounds, Listen, Settings},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddrV4},
    },
    unit::{Name, Span},
};

// Offsets of a daemon's ports from its first port.
const CALLERS_OFFSET: u16 = 0;
const READY_OFFSET: u16 = 1;
const DIRECTORY_OFFSET: u16 = 2;
const OPERATORS_OFFSET: u16 = 3;
const PEERS_OFFSET: u16 = 4;

/// The region of all data centres.
const REGION: &str = "region";

/// The limits on the whole fleet.
pub(crate) fn bounds() -> Bounds {
    Bounds {
        cold_factor: 1.5,
        cold_slack: 5.0,
        drain: Span::secs(2),
        stop_grace: Span::secs(6),
        max_ttl: Span::secs(5),
        probe_rate: 60.0,
        retry_extra: 56.0,
        retry_ratio: 0.2,
        retry_window: Span::secs(10),
        quotas: None,
        rollouts: None,
    }
}

/// Returns the settings of a daemon that listens on `ip`, on consecutive ports from `base` on.
///
/// `seed` is the address of the daemon that it contacts first, before it knows any other.
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
        bounds: bounds(),
        centre: centre.into(),
        max_fds: 4_100,
        ip,
        listen: Listen {
            callers: address(CALLERS_OFFSET),
            directory: address(DIRECTORY_OFFSET),
            operators: Some(address(OPERATORS_OFFSET)),
            ready: address(READY_OFFSET),
        },
        name,
        peer_ports: (base + PEERS_OFFSET, base + PEERS_OFFSET),
        region: REGION.into(),
        regions: BTreeMap::from(["a", "b"].map(|centre| (centre.into(), REGION.into()))),
        seeds: vec![seed],
        store,
    }
}
