//! Connections to others, made so that they never keep a process from listening.
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Connects within `timeout`. The system may give the connection a port at which a process of this machine is about to
/// listen; as both allow the address to be reused, that process gets it all the same.
/// ```
/// let refused = fleet_common::socket::connect("127.0.0.1:1".parse().unwrap(), std::time::Duration::from_millis(50));
/// assert!(refused.is_err());
/// ```
pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.connect_timeout(&to.into(), timeout)?;
    Ok(socket.into())
}
