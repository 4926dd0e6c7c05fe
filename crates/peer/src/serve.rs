use {
    crate::{
        FRAME_LIMIT, PeerError,
        counted::Counted,
        decode,
        links::{Incoming, Shared},
        proof::{Session, Side},
    },
    bytes::{Buf, BytesMut},
    h2::{RecvStream, server, server::SendResponse},
    http::{Request, Response},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{sleep, timeout},
    },
    tokio_rustls::TlsAcceptor,
    unit::Name,
};

/// How long a stranger has to prove the shared key.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Strangers that may be trying at once; more are turned away.
const STRANGERS: usize = 64;
/// How long a link may be silent before it is closed.
const SILENCE: Duration = Duration::from_secs(30);

pub(crate) async fn accept(listener: TcpListener, acceptor: TlsAcceptor, shared: Shared) {
    let strangers = Arc::new(Semaphore::new(STRANGERS));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&strangers).try_acquire_owned() else {
            continue;
        };
        let (acceptor, shared) = (acceptor.clone(), shared.clone());
        tokio::spawn(async move {
            if let Err(error) = receive(socket, acceptor, &shared, permit).await {
                log::debug!("link from a peer: {error}");
            }
        });
    }
}

async fn receive(
    socket: TcpStream,
    acceptor: TlsAcceptor,
    shared: &Shared,
    permit: OwnedSemaphorePermit,
) -> Result<(), PeerError> {
    socket.set_nodelay(true)?;
    let opening = open(socket, acceptor, shared);
    let opened = timeout(PATIENCE, opening)
        .await
        .map_err(|_| PeerError::Timeout)??;
    drop(permit);
    let Opened {
        body,
        mut connection,
        name,
        response: _response,
    } = opened;
    tokio::select! {
        // Drives the connection; a second stream is refused by dropping it.
        () = async { while connection.accept().await.is_some() {} } => Ok(()),
        result = frames(body, &name, shared) => result,
    }
}

struct Opened {
    body: RecvStream,
    connection: server::Connection<tokio_rustls::server::TlsStream<Counted>, bytes::Bytes>,
    name: Name,
    /// Kept, so that the stream stays open.
    response: h2::SendStream<bytes::Bytes>,
}

async fn open(
    socket: TcpStream,
    acceptor: TlsAcceptor,
    shared: &Shared,
) -> Result<Opened, PeerError> {
    let socket = Counted::new(socket, Arc::clone(&shared.bytes));
    let tls = acceptor.accept(socket).await?;
    let session = Session::of(tls.get_ref().1)?;
    let mut connection = server::Builder::new()
        .max_concurrent_streams(1)
        .max_header_list_size(4 << 10)
        .handshake(tls)
        .await?;
    let (request, respond) = connection.accept().await.ok_or(PeerError::Proof)??;
    let (name, response) = admit(&session, &request, respond, shared)?;
    Ok(Opened {
        body: request.into_body(),
        connection,
        name,
        response,
    })
}

fn admit(
    session: &Session,
    request: &Request<RecvStream>,
    mut respond: SendResponse<bytes::Bytes>,
    shared: &Shared,
) -> Result<(Name, h2::SendStream<bytes::Bytes>), PeerError> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let name = header("anvilferry-name");
    if !session.check(&shared.keys, Side::Client, name, header("anvilferry-proof")) {
        return Err(PeerError::Proof);
    }
    let response = Response::builder()
        .header("anvilferry-name", &*shared.me)
        .header(
            "anvilferry-proof",
            session.prove(&shared.keys, Side::Server, &shared.me),
        )
        .body(())
        .map_err(|_| PeerError::Proof)?;
    let stream = respond.send_response(response, false)?;
    Ok((name.into(), stream))
}

async fn frames(mut body: RecvStream, name: &Name, shared: &Shared) -> Result<(), PeerError> {
    let mut rest = BytesMut::new();
    loop {
        let data = timeout(SILENCE, body.data())
            .await
            .map_err(|_| PeerError::Timeout)?;
        let Some(data) = data.transpose()? else {
            return Ok(());
        };
        body.flow_control().release_capacity(data.len())?;
        rest.extend_from_slice(&data);
        while let Some(packet) = split(&mut rest)? {
            let frame = decode(&packet)?;
            if shared
                .sink
                .send(Incoming::Frame(name.clone(), frame))
                .is_err()
            {
                return Ok(());
            }
        }
    }
}

/// Takes the next whole packet out of what has arrived.
fn split(rest: &mut BytesMut) -> Result<Option<BytesMut>, PeerError> {
    let Some(length) = rest.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > FRAME_LIMIT {
        return Err(PeerError::Decode(
            bincode::error::DecodeError::LimitExceeded,
        ));
    }
    if rest.len() < 4 + length {
        return Ok(None);
    }
    rest.advance(4);
    Ok(Some(rest.split_to(length)))
}
