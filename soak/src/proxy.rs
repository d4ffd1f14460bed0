//! A loopback proxy on the way between two processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use standin::faults::Shared;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::plan::Way;

/// Time between two looks at a way that resets.
const LOOK: Duration = Duration::from_millis(20);

/// A proxy before one address.
#[derive(Debug)]
pub(crate) struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it does.
    pub way: Shared<Way>,
}

impl Proxy {
    pub(crate) async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let way = Shared::<Way>::default();
        let shared = way.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, to, shared.clone()));
            }
        });
        Ok(Self { address, way })
    }
}

async fn serve(stream: TcpStream, to: SocketAddr, way: Shared<Way>) {
    if way.get() == Way::Reset {
        reset(&stream);
        return;
    }
    let Ok(other) = TcpStream::connect(to).await else {
        return;
    };
    let (from_caller, to_caller) = stream.into_split();
    let (from_server, to_server) = other.into_split();
    let until_reset = async {
        while way.get() != Way::Reset {
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = pass(from_caller, to_server, &way, |way| way == Way::Silent) => {}
        () = pass(from_server, to_caller, &way, |way| matches!(way, Way::Silent | Way::OneWay)) => {}
        () = until_reset => {}
    }
}

/// Passes bytes until an end closes; those read while the way `drops` are lost.
async fn pass(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    way: &Shared<Way>,
    drops: impl Fn(Way) -> bool,
) {
    let mut buf = vec![0; 16 << 10];
    let mut lost = false;
    loop {
        let Ok(count) = rx.read(&mut buf).await else {
            return;
        };
        if count == 0 {
            return;
        }
        let now = way.get();
        // A connection that has lost bytes passes none after them.
        lost |= drops(now);
        if lost {
            continue;
        }
        if let Way::Slow(delay) = now {
            tokio::time::sleep(delay).await;
        }
        if tx.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

/// Makes closing the connection reset it.
fn reset(stream: &TcpStream) {
    // Without the option the connection is closed all the same.
    let _ = stream.set_zero_linger();
}
