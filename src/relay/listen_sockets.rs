//! Binds the addresses that a relay listens on, each as soon as it is free.

use std::io;
use std::net::SocketAddr;

use nix::errno::Errno;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::time::sleep;

use super::addresses::Addresses;
use crate::decide::listening::BindFailure;
use crate::decide::listening::ListenAddress;

/// System errors of a bind that may go away by themselves, besides those with a kind of their own.
const TEMPORARY_ERRORS: [Errno; 5] =
    [Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM, Errno::ENOSPC];

/// Length of the queue of connections that wait to be accepted.
pub const BACKLOG: u32 = 1024;

/// Tries `bind` with an address until it succeeds; `on_failure` is called at each failed try. Waits
/// without an end if the settings have no such address.
pub async fn bind_when_free<T>(
    addresses: &Addresses,
    address: ListenAddress,
    bind: impl Fn(SocketAddr) -> io::Result<T>,
    on_failure: impl Fn(),
) -> T {
    let Some(addr) = addresses.socket_addr(address) else { return std::future::pending().await };
    loop {
        let error = match bind(addr) {
            Ok(socket) => {
                addresses.on_bound(address);
                return socket;
            }
            Err(error) => error,
        };
        on_failure();
        let retry = addresses.on_failure(address, kind_of(&error), &error.to_string());
        sleep(retry.delay).await;
    }
}

/// Whether an address may become free by itself.
fn kind_of(error: &io::Error) -> BindFailure {
    let is_temporary =
        || TEMPORARY_ERRORS.iter().any(|known| error.raw_os_error() == Some(*known as i32));
    match error.kind() {
        io::ErrorKind::AddrInUse => BindFailure::Taken,
        io::ErrorKind::AddrNotAvailable => BindFailure::NotThere,
        _ if is_temporary() => BindFailure::Taken,
        _ => BindFailure::Permanent,
    }
}

/// Binds an IPv4 listener with `SO_REUSEADDR`.
///
/// # Errors
///
/// The address can't be bound.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
