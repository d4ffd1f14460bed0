//! Options of the sockets to clients and servers.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which a connection with unacknowledged bytes is ended. It allows a few
/// round trips between regions, and is short compared with the deadline of a request.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle time before the first TCP keep-alive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Disables Nagle's algorithm, and limits the time until a peer that vanished without
/// a reset is detected. Failures are only logged.
pub(super) fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for err in results.into_iter().filter_map(Result::err) {
        tracing::debug!(%err, "could not set a socket option; a vanished peer is detected later");
    }
}
