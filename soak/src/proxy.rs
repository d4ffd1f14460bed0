//! A loopback proxy that impairs the link between two processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use standin::faults::Shared;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::plan::LinkState;

/// Interval at which open connections check whether the link resets them.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A TCP proxy in front of one address.
#[derive(Debug)]
pub(crate) struct Proxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    /// State of the link; applies to open connections too.
    pub state: Shared<LinkState>,
}

impl Proxy {
    pub(crate) async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Shared::<LinkState>::default();
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, upstream, shared.clone()));
            }
        });
        Ok(Self { address, state })
    }
}

async fn serve(stream: TcpStream, upstream: SocketAddr, state: Shared<LinkState>) {
    if state.get() == LinkState::Reset {
        reset(&stream);
        return;
    }
    let Ok(upstream) = TcpStream::connect(upstream).await else {
        return;
    };
    let (from_client, to_client) = stream.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    let until_reset = async {
        while state.get() != LinkState::Reset {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = forward(from_client, to_upstream, &state, |state| state == LinkState::Silent) => {}
        () = forward(from_upstream, to_client, &state, |state| matches!(state, LinkState::Silent | LinkState::OneWay)) => {}
        () = until_reset => {}
    }
}

/// Forwards bytes until either side closes; drops those read while `drops` holds for
/// the state of the link.
async fn forward(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    state: &Shared<LinkState>,
    drops: impl Fn(LinkState) -> bool,
) {
    let mut buf = vec![0; 16 << 10];
    let mut has_dropped = false;
    loop {
        let Ok(count) = rx.read(&mut buf).await else {
            return;
        };
        if count == 0 {
            return;
        }
        let current = state.get();
        // TCP never loses bytes in the middle of a stream, so nothing follows dropped bytes.
        has_dropped |= drops(current);
        if has_dropped {
            continue;
        }
        if let LinkState::Slow(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if tx.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

/// Makes closing the connection reset it.
fn reset(stream: &TcpStream) {
    // If the option cannot be set, the connection is still closed, without a reset.
    let _ = stream.set_zero_linger();
}
