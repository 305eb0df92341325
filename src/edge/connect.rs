//! Opens TCP connections.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Opens a connection whose own port a listener may still bind. The system chooses that port, and it
/// may be one that this or another instance listens on after its next start.
///
/// # Errors
///
/// The connection was refused, or the system has no room for it.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.connect(addr).await
}
