//! Other programs on the machines of the instances, which take addresses while nobody has them.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

/// Time for which the address of a connection stays taken after its end.
pub const TIME_WAIT: Duration = Duration::from_secs(60);

/// How an address is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// By a listener.
    Listener,
    /// By an open connection.
    Connection,
    /// By a connection that has ended, for [`TIME_WAIT`].
    EndedConnection,
}

/// An address that another program has, until this is dropped or later.
#[derive(Debug)]
pub struct TakenAddress {
    /// How it was taken.
    pub manner: Manner,
    /// Listener, or both ends of a connection.
    _sockets: Vec<Socket>,
}

impl TakenAddress {
    /// Takes an address, by a listener if a connection can't have it.
    ///
    /// # Errors
    ///
    /// Somebody else has it.
    pub fn take(addr: SocketAddr, manner: Manner) -> io::Result<Self> {
        let sockets = match manner {
            Manner::Listener => listener(addr),
            Manner::Connection => connection(addr),
            Manner::EndedConnection => ended_connection(addr),
        };
        if let Ok(sockets) = sockets {
            return Ok(Self { manner, _sockets: sockets });
        }
        Ok(Self { manner: Manner::Listener, _sockets: listener(addr)? })
    }
}

fn listener(addr: SocketAddr) -> io::Result<Vec<Socket>> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(4)?;
    Ok(vec![socket])
}

/// A connection from this address; it is reset on drop, which frees the address.
fn connection(addr: SocketAddr) -> io::Result<Vec<Socket>> {
    let sockets: Vec<Socket> = connect_from(addr)?.into();
    for socket in &sockets {
        SockRef::from(socket).set_linger(Some(Duration::ZERO))?;
    }
    Ok(sockets)
}

/// Ends a connection from this address in the usual way, which keeps the address.
fn ended_connection(addr: SocketAddr) -> io::Result<Vec<Socket>> {
    let [here, there] = connect_from(addr)?;
    drop(here);
    drop(there);
    Ok(Vec::new())
}

fn connect_from(addr: SocketAddr) -> io::Result<[Socket; 2]> {
    let target = TcpListener::bind("127.0.0.1:0")?;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&addr.into())?;
    socket.connect(&target.local_addr()?.into())?;
    let (accepted, _): (TcpStream, _) = target.accept()?;
    Ok([socket, accepted.into()])
}
