use {
    crate::error::DaemonError,
    mio::{
        Interest, Poll, Token,
        net::{TcpListener, UdpSocket},
    },
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    },
};

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Callers with requests.
    Callers,
    /// Callers that ask where to connect.
    Directory,
    /// Operators.
    Operators,
    /// Other daemons.
    Peers,
    /// The platform, asking whether the daemon is ready.
    Readiness,
}

/// The token of the socket for datagrams between daemons.
pub(crate) const UDP_TOKEN: Token = Token(0);
/// The first token of listeners.
const FIRST_LISTENER_TOKEN: usize = 1;
/// The first token of connections.
pub(crate) const FIRST_CONN_TOKEN: usize = 16;

/// The sockets on which a daemon is reached.
#[derive(Debug)]
pub(crate) struct Listeners {
    /// The listener of each door; `None` once it is shut.
    doors: Vec<(ListenerKind, Option<TcpListener>)>,
    pub(crate) udp_socket: UdpSocket,
}

impl Listeners {
    pub(crate) fn open(
        poll: &Poll,
        addresses: &[(ListenerKind, SocketAddrV4)],
        peers: (Ipv4Addr, u16),
    ) -> Result<Self, DaemonError> {
        let mut doors = Vec::new();
        for (at, (door, address)) in addresses.iter().enumerate() {
            let listen = || -> io::Result<TcpListener> {
                let mut listener = TcpListener::bind(SocketAddr::V4(*address))?;
                let token = Token(FIRST_LISTENER_TOKEN + at);
                poll.registry()
                    .register(&mut listener, token, Interest::READABLE)?;
                Ok(listener)
            };
            let listener = listen().map_err(|source| DaemonError::Listen {
                address: address.to_string(),
                source,
            })?;
            doors.push((*door, Some(listener)));
        }
        let address = SocketAddrV4::new(peers.0, peers.1);
        let open = || -> io::Result<UdpSocket> {
            let mut udp_socket = UdpSocket::bind(SocketAddr::V4(address))?;
            poll.registry()
                .register(&mut udp_socket, UDP_TOKEN, Interest::READABLE)?;
            Ok(udp_socket)
        };
        let udp_socket = open().map_err(|source| DaemonError::Listen {
            address: address.to_string(),
            source,
        })?;
        Ok(Self { doors, udp_socket })
    }

    /// The listener of a token.
    pub(crate) fn get(&self, token: Token) -> Option<(ListenerKind, &TcpListener)> {
        let at = token.0.checked_sub(FIRST_LISTENER_TOKEN)?;
        let (door, listener) = self.doors.get(at)?;
        Some((*door, listener.as_ref()?))
    }

    /// Takes no further connections at a door.
    pub(crate) fn close(&mut self, door: ListenerKind) {
        for (other, listener) in &mut self.doors {
            if *other == door {
                *listener = None;
            }
        }
    }
}
