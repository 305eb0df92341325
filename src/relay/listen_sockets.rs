//! Binds the addresses without which a relay can't do its work.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use nix::errno::Errno;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::time::sleep;

use super::RelayListen;
use super::log_event::record;
use super::process_event::ProcessEvent;
use crate::decide::start_wait::AfterFailure;
use crate::decide::start_wait::StartFailure;
use crate::decide::start_wait::StartWait;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::Timestamp;

/// System errors of a bind that may go away by themselves, besides those with a kind of their own.
const TEMPORARY_ERRORS: [Errno; 4] = [Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM];

/// Length of the queue of connections that wait to be accepted.
pub const BACKLOG: u32 = 1024;

/// Listeners of a relay, all bound.
#[derive(Debug)]
pub struct ListenSockets {
    /// For calls of other entry instances.
    pub peer: TcpListener,
    /// For readiness checks.
    pub ready: TcpListener,
    /// For callers' requests.
    pub caller: TcpListener,
}

/// An address that can't be bound.
struct BindFailure {
    addr: SocketAddr,
    error: io::Error,
}

impl ListenSockets {
    /// Binds all addresses; while one is in use, tries again until `wait` is over. `on_failure` is
    /// called at each failed try.
    ///
    /// # Errors
    ///
    /// `Internal` if an address can't be bound by then, or never can be.
    pub async fn bind(
        listen: &RelayListen,
        wait: StartWait,
        now: impl Fn() -> Timestamp,
        on_failure: impl Fn(),
    ) -> Result<Self> {
        let mut logged = None;
        loop {
            // None is kept over a wait: connections to a listener that serves nothing would hang.
            let failure = match Self::try_bind(listen) {
                Ok(sockets) => {
                    if logged.is_some() {
                        let waited_ms = wait.waited(now()).as_millis();
                        record(&ProcessEvent::AddressesBound { waited_ms });
                    }
                    return Ok(sockets);
                }
                Err(failure) => failure,
            };
            on_failure();
            match wait.on_failure(now(), kind_of(&failure.error)) {
                AfterFailure::GiveUp => return Err(failure.into_error(wait.waited(now()))),
                AfterFailure::TryAgain(delay) => {
                    if logged != Some(failure.addr) {
                        logged = Some(failure.addr);
                        failure.record();
                    }
                    sleep(delay).await;
                }
            }
        }
    }

    fn try_bind(listen: &RelayListen) -> std::result::Result<Self, BindFailure> {
        let try_bind = |addr| bind(addr).map_err(|error| BindFailure { addr, error });
        Ok(Self {
            peer: try_bind(listen.peer)?,
            ready: try_bind(listen.ready)?,
            caller: try_bind(listen.caller)?,
        })
    }
}

impl BindFailure {
    fn record(&self) {
        let (addr, detail) = (&self.addr.to_string(), &self.error.to_string());
        record(&ProcessEvent::AddressUnavailable { addr, detail });
    }

    fn into_error(self, waited: Duration) -> Error {
        let (Self { addr, error }, waited_ms) = (self, waited.as_millis());
        let detail = format!("address {addr} can't be bound: {error} (tried for {waited_ms} ms)");
        Error::new(ErrorKind::Internal, detail)
    }
}

/// Whether an address may become free by itself.
fn kind_of(error: &io::Error) -> StartFailure {
    let is_temporary = match error.kind() {
        io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable => true,
        _ => TEMPORARY_ERRORS.iter().any(|known| error.raw_os_error() == Some(*known as i32)),
    };
    if is_temporary { StartFailure::Temporary } else { StartFailure::Permanent }
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
