use {
    mio::net::TcpStream,
    socket2::{SockRef, TcpKeepalive},
    std::{
        io::{self, ErrorKind, Read, Write},
        net::Shutdown,
        time::Duration,
    },
    unit::{Span, Time},
    wire::ConnectionEnd,
};

const CHUNK: usize = 16 << 10;
/// How long a connection that must be known to live may be quiet before it is probed, and the pause
/// between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged on such a connection.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// A stream socket that never blocks, with the bytes that wait to be sent.
#[derive(Debug)]
pub(crate) struct Channel {
    /// Whether the connection is made.
    pub(crate) connected: bool,
    out: Vec<u8>,
    /// Bytes that were handed to the system.
    pub(crate) sent: u64,
    pub(crate) sock: TcpStream,
    /// When bytes last arrived or were sent.
    pub(crate) used: Time,
}

impl Channel {
    pub(crate) fn new(sock: TcpStream, connected: bool, now: Time) -> Self {
        // Without the option small messages are late, which nobody needs to be told.
        let _ = sock.set_nodelay(true);
        Self {
            connected,
            out: Vec::new(),
            sent: 0,
            sock,
            used: now,
        }
    }

    /// Lets the system find out soon where the other end has gone.
    pub(crate) fn detect_loss(&self) -> io::Result<()> {
        let sock = SockRef::from(&self.sock);
        let keepalive = TcpKeepalive::new()
            .with_time(PROBE_PAUSE)
            .with_interval(PROBE_PAUSE)
            .with_retries(PROBES);
        sock.set_tcp_keepalive(&keepalive)?;
        sock.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
    }

    /// Reads what has arrived; tells how the connection ended, where it did.
    pub(crate) fn read(&mut self, into: &mut Vec<u8>, now: Time) -> Option<ConnectionEnd> {
        let mut chunk = [0; CHUNK];
        loop {
            match self.sock.read(&mut chunk) {
                Ok(0) => return Some(ConnectionEnd::Closed),
                Ok(size) => {
                    self.used = now;
                    into.extend_from_slice(&chunk[..size]);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                Err(_) => return Some(ConnectionEnd::Reset),
            }
        }
    }

    /// Sends bytes now, or once the connection takes them.
    pub(crate) fn write(&mut self, bytes: &[u8], now: Time) -> Result<(), ConnectionEnd> {
        self.out.extend_from_slice(bytes);
        self.flush(now)
    }

    /// Sends what waits.
    pub(crate) fn flush(&mut self, now: Time) -> Result<(), ConnectionEnd> {
        if !self.connected {
            return Ok(());
        }
        let mut done = 0;
        let result = loop {
            if done == self.out.len() {
                break Ok(());
            }
            match self.sock.write(&self.out[done..]) {
                Ok(0) => break Err(ConnectionEnd::Reset),
                Ok(size) => {
                    done += size;
                    self.sent += size as u64;
                    self.used = now;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(_) => break Err(ConnectionEnd::Reset),
            }
        };
        self.out.drain(..done);
        result
    }

    /// Whether bytes wait to be sent.
    pub(crate) fn has_unsent(&self) -> bool {
        !self.out.is_empty()
    }

    /// Takes in that the socket can be written to: finishes connecting, and sends what waits.
    pub(crate) fn handle_writable(&mut self, now: Time) -> Result<(), ConnectionEnd> {
        if !self.connected {
            match self.sock.take_error() {
                Ok(None) => {}
                Ok(Some(_)) | Err(_) => return Err(ConnectionEnd::Reset),
            }
            match self.sock.peer_addr() {
                Ok(_) => self.connected = true,
                Err(error) if error.kind() == ErrorKind::NotConnected => return Ok(()),
                Err(_) => return Err(ConnectionEnd::Reset),
            }
        }
        self.flush(now)
    }

    /// Ends the sending side, so that the other end reads all before it sees the close.
    pub(crate) fn half_close(&self) {
        // Where the other end is gone already, there is nothing to end.
        let _ = self.sock.shutdown(Shutdown::Write);
    }

    /// The time since bytes last went either way.
    pub(crate) fn idle(&self, now: Time) -> Span {
        now.since(self.used)
    }
}
