use {
    crate::{
        Frame, PeerError,
        counted::Counted,
        encode,
        links::{Incoming, Shared},
        proof::{Session, Side},
    },
    bytes::{BufMut, Bytes, BytesMut},
    h2::{SendStream, client},
    rustls::pki_types::ServerName,
    std::{future::poll_fn, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::mpsc::{Receiver, Sender, channel},
        task::JoinHandle,
        time::{sleep, timeout},
    },
    unit::Name,
};

/// Frames that wait for one peer; more are lost.
const ROOM: usize = 256;
/// How long a step of a link's opening, or one frame, may take.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Between two tries to open a link.
const PAUSE: Duration = Duration::from_millis(200);

/// An outgoing link to one peer, opened again whenever it breaks.
pub(crate) struct Link {
    address: SocketAddr,
    frames: Sender<Frame>,
    task: JoinHandle<()>,
}

impl Link {
    pub(crate) fn open(peer: Name, address: SocketAddr, shared: Shared) -> Self {
        let (frames, queue) = channel(ROOM);
        let task = tokio::spawn(keep(peer, address, shared, queue));
        Self {
            address,
            frames,
            task,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn send(&self, frame: Frame) {
        drop(self.frames.try_send(frame));
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn keep(peer: Name, address: SocketAddr, shared: Shared, mut queue: Receiver<Frame>) {
    loop {
        let result = connect_and_send(&peer, address, &shared, &mut queue).await;
        if let Err(error) = result {
            log::debug!("link to {peer}: {error}");
        }
        if shared.sink.send(Incoming::Down(peer.clone())).is_err() {
            return;
        }
        sleep(PAUSE).await;
        while queue.try_recv().is_ok() {}
    }
}

async fn connect_and_send(
    peer: &Name,
    address: SocketAddr,
    shared: &Shared,
    queue: &mut Receiver<Frame>,
) -> Result<(), PeerError> {
    let opening = open(peer, address, shared);
    let (mut stream, driver) = timeout(PATIENCE, opening)
        .await
        .map_err(|_| PeerError::Timeout)??;
    drop(shared.sink.send(Incoming::Up(peer.clone())));
    let mut driver = driver;
    loop {
        tokio::select! {
            _ = &mut driver => return Ok(()),
            frame = queue.recv() => match frame {
                None => return Ok(()),
                Some(frame) => {
                    let bytes = packet(&frame)?;
                    let sending = send(&mut stream, bytes);
                    timeout(PATIENCE, sending).await.map_err(|_| PeerError::Timeout)??;
                }
            },
        }
    }
}

type Opened = (SendStream<Bytes>, JoinHandle<()>);

async fn open(peer: &Name, address: SocketAddr, shared: &Shared) -> Result<Opened, PeerError> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let socket = Counted::new(socket, Arc::clone(&shared.bytes));
    let name = ServerName::IpAddress(address.ip().into());
    let tls = shared.connector.connect(name, socket).await?;
    let session = Session::of(tls.get_ref().1)?;
    let (mut sender, connection) = client::handshake(tls).await?;
    let driver = tokio::spawn(async move {
        drop(connection.await);
    });
    poll_fn(|cx| sender.poll_ready(cx)).await?;
    let request = http::Request::post("http://peer/v1/frames")
        .header("anvilferry-name", &*shared.me)
        .header(
            "anvilferry-proof",
            session.prove(&shared.keys, Side::Client, &shared.me),
        )
        .body(())
        .map_err(|_| PeerError::Proof)?;
    let (response, stream) = sender.send_request(request, false)?;
    let response = response.await?;
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let name = header("anvilferry-name");
    // A peer from the settings is known by its address until the list names it.
    let expected = name == &**peer || **peer == *address.to_string();
    let proven = session.check(&shared.keys, Side::Server, name, header("anvilferry-proof"));
    if !expected || !proven {
        return Err(PeerError::Proof);
    }
    Ok((stream, driver))
}

/// A frame with its length in front.
fn packet(frame: &Frame) -> Result<Bytes, PeerError> {
    let body = encode(frame)?;
    let mut bytes = BytesMut::with_capacity(body.len() + 4);
    bytes.put_u32(u32::try_from(body.len()).unwrap_or(u32::MAX));
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// Sends bytes as the peer makes room for them.
async fn send(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), PeerError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let room = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let room = room.ok_or(PeerError::Timeout)??;
        let part = bytes.split_to(room.min(bytes.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}
