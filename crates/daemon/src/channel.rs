//! Non-blocking reading and writing of a TCP socket.

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

/// The maximum number of bytes that one read of the socket returns.
const READ_CHUNK: usize = 16 << 10;
/// The largest send buffer that a connection keeps while it has nothing to send, in bytes.
const MAX_IDLE_BUFFER: usize = 16 << 10;
/// How long a connection with keepalive may be silent before the system probes it, and the interval
/// between these probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the system closes the connection.
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged on a connection with keepalive.
const MAX_UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// What is left on a connection after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadResult {
    /// Nothing for now.
    Drained,
    /// Nothing any more; the connection ended.
    Ended(ConnectionEnd),
    /// There may be more bytes.
    More,
}

/// A non-blocking TCP socket with its send buffer.
#[derive(Debug)]
pub(crate) struct Channel {
    /// Whether connecting has completed.
    pub(crate) connected: bool,
    /// Bytes that the system has not yet accepted for sending.
    unsent: Vec<u8>,
    /// How many bytes the system has accepted for sending.
    pub(crate) sent: u64,
    pub(crate) sock: TcpStream,
    /// When bytes were last received or sent.
    pub(crate) last_active: Time,
    /// When the system last accepted bytes for sending.
    pub(crate) last_sent: Time,
}

impl Channel {
    /// Wraps a socket that is connected, or whose connecting was started.
    pub(crate) fn new(sock: TcpStream, connected: bool, now: Time) -> Self {
        // A failure is ignored: without the option small messages are only delayed.
        let _ = sock.set_nodelay(true);
        Self {
            connected,
            unsent: Vec::new(),
            sent: 0,
            sock,
            last_active: now,
            last_sent: now,
        }
    }

    /// Sets TCP keepalive and a limit on unacknowledged bytes, so that the system soon detects that
    /// the other end is lost.
    ///
    /// # Errors
    /// Fails if the system refuses the options.
    pub(crate) fn detect_loss(&self) -> io::Result<()> {
        let sock = SockRef::from(&self.sock);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        sock.set_tcp_keepalive(&keepalive)?;
        sock.set_tcp_user_timeout(Some(MAX_UNACKNOWLEDGED))
    }

    /// Appends received bytes to `into`, all of them or about [`READ_CHUNK`].
    pub(crate) fn read(&mut self, into: &mut Vec<u8>, now: Time) -> ReadResult {
        let mut chunk = [0; READ_CHUNK];
        while into.len() < READ_CHUNK {
            match self.sock.read(&mut chunk) {
                Ok(0) => return ReadResult::Ended(ConnectionEnd::Closed),
                Ok(size) => {
                    self.last_active = now;
                    into.extend_from_slice(&chunk[..size]);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadResult::Drained,
                Err(_) => return ReadResult::Ended(ConnectionEnd::Reset),
            }
        }
        ReadResult::More
    }

    /// Buffers bytes and sends as much as the connection takes now.
    ///
    /// # Errors
    /// Fails if the connection broke.
    pub(crate) fn write(&mut self, bytes: &[u8], now: Time) -> Result<(), ConnectionEnd> {
        self.unsent.extend_from_slice(bytes);
        self.flush(now)
    }

    /// Sends as much of the buffer as the connection takes now; nothing before connecting has
    /// completed.
    ///
    /// # Errors
    /// Fails if the connection broke.
    pub(crate) fn flush(&mut self, now: Time) -> Result<(), ConnectionEnd> {
        if !self.connected {
            return Ok(());
        }
        let mut done = 0;
        let result = loop {
            if done == self.unsent.len() {
                break Ok(());
            }
            match self.sock.write(&self.unsent[done..]) {
                Ok(0) => break Err(ConnectionEnd::Reset),
                Ok(size) => {
                    done += size;
                    self.sent += size as u64;
                    self.last_active = now;
                    self.last_sent = now;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(_) => break Err(ConnectionEnd::Reset),
            }
        };
        self.unsent.drain(..done);
        if self.unsent.is_empty() && self.unsent.capacity() > MAX_IDLE_BUFFER {
            self.unsent = Vec::new();
        }
        result
    }

    /// How many bytes in the buffer are not sent yet.
    pub(crate) fn unsent_len(&self) -> usize {
        self.unsent.len()
    }

    /// Whether bytes in the buffer are not sent yet.
    pub(crate) fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Handles that the socket became writable: completes connecting and sends from the buffer.
    ///
    /// # Errors
    /// Fails if connecting failed or the connection broke.
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

    /// Shuts down the sending side, so that the other end reads everything before it sees the
    /// close.
    pub(crate) fn half_close(&self) {
        // A failure is ignored: it means that the other end has already closed or reset.
        let _ = self.sock.shutdown(Shutdown::Write);
    }

    /// The time since bytes were last received or sent.
    pub(crate) fn idle(&self, now: Time) -> Span {
        now.since(self.last_active)
    }
}
