use std::sync::atomic::{AtomicBool, Ordering};

use jsonrpsee::RpcModule;
use jsonrpsee::server::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::*;

async fn server() -> (SocketAddr, jsonrpsee::server::ServerHandle) {
    let server = Server::builder()
        .build("127.0.0.1:0")
        .await
        .expect("server");
    let address = server.local_addr().expect("address");
    let mut module = RpcModule::new(());
    module
        .register_method("echo", |_, (), _| true)
        .expect("method");
    (address, server.start(module))
}

/// Copies one direction; once `silent` is set, drops what it reads.
async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    silent: Arc<AtomicBool>,
) {
    let mut buf = vec![0; 4096];
    while let Ok(count) = from.read(&mut buf).await {
        if count == 0 {
            break;
        }
        if !silent.load(Ordering::Relaxed) && to.write_all(&buf[..count]).await.is_err() {
            break;
        }
    }
    // A middlebox that has lost a connection's state does not close it.
    std::future::pending::<()>().await;
}

/// Starts a relay whose existing connections can be made to drop all data; new
/// connections work.
async fn relay(to: SocketAddr) -> (SocketAddr, Arc<std::sync::Mutex<Arc<AtomicBool>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("relay");
    let address = listener.local_addr().expect("address");
    let current = Arc::new(std::sync::Mutex::new(Arc::new(AtomicBool::new(false))));
    let shared = Arc::clone(&current);
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let silent = Arc::clone(&shared.lock().expect("lock"));
            let (client_read, client_write) = client.into_split();
            let server = TcpStream::connect(to).await.expect("server");
            let (server_read, server_write) = server.into_split();
            tokio::spawn(forward(client_read, server_write, Arc::clone(&silent)));
            tokio::spawn(forward(server_read, client_write, silent));
        }
    });
    (address, current)
}

async fn echo(peers: &Peers, address: SocketAddr) -> Result<bool, PeerError> {
    peers.call::<bool>(address, "echo", &()).await
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_is_replaced() {
    let (server, _handle) = server().await;
    let (address, current) = relay(server).await;
    let peers = Peers::new(Handle::current(), None);
    assert_eq!(echo(&peers, address).await, Ok(true));
    {
        let mut current = current.lock().expect("lock");
        current.store(true, Ordering::Relaxed);
        *current = Arc::new(AtomicBool::new(false));
    }
    // Without pings this call would wait for the full request timeout.
    let err = echo(&peers, address).await.expect_err("silent connection");
    assert!(err.sent && !err.reason.contains("timeout"), "{err}");
    assert_eq!(echo(&peers, address).await, Ok(true));
}

#[tokio::test(flavor = "multi_thread")]
async fn opening_one_connection_does_not_block_another() {
    let (server, _handle) = server().await;
    let peers = Peers::new(Handle::current(), None);
    let other = SocketAddr::from(([127, 0, 0, 1], 1));
    let slot = peers.slot(other);
    let _opening = slot.lock().await;
    assert_eq!(echo(&peers, server).await, Ok(true));
}
