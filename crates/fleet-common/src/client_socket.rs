//! The stream under a request that `tiny_http` holds: the library gives no way to it, so it is found
//! among the process's own descriptors by the caller's address.
use std::net::SocketAddr;

/// A caller that neither sends nor takes anything for so long is given up: the library itself would
/// wait for ever, and a few such callers would hold every worker.
static IDLE: libc::timeval = libc::timeval { tv_sec: 8, tv_usec: 0 };

/// Finds our end of the caller's stream. The request or writer we hold keeps it open, so the
/// address stands for this stream alone while we look.
pub(crate) fn with_stream(caller: Option<SocketAddr>, act: impl Fn(i32) -> bool) -> bool {
    let Some(SocketAddr::V4(caller)) = caller else {
        return false;
    };
    let Ok(entries) = std::fs::read_dir("/proc/self/fd") else {
        return false;
    };
    for fd in entries.flatten().filter_map(|e| e.file_name().to_str()?.parse::<i32>().ok()) {
        let mut at: libc::sockaddr_in = unsafe { std::mem::zeroed() };
        let mut size = std::mem::size_of::<libc::sockaddr_in>() as libc::socklen_t;
        let found = unsafe { libc::getpeername(fd, (&raw mut at).cast(), &mut size) } == 0;
        if found
            && at.sin_family == libc::AF_INET as u16
            && u16::from_be(at.sin_port) == caller.port()
            && u32::from_be(at.sin_addr.s_addr) == u32::from(*caller.ip())
        {
            return act(fd);
        }
    }
    false
}

pub(crate) fn bound_waiting(fd: i32) -> bool {
    let size = std::mem::size_of::<libc::timeval>() as libc::socklen_t;
    [libc::SO_RCVTIMEO, libc::SO_SNDTIMEO]
        .into_iter()
        .all(|option| unsafe { libc::setsockopt(fd, libc::SOL_SOCKET, option, (&raw const IDLE).cast(), size) == 0 })
}

/// A caller that only closed its sending side (as `attohttpc` does after each request) has not left;
/// one whose stream is broken or closed both ways has.
pub(crate) fn caller_left(caller: Option<SocketAddr>) -> bool {
    with_stream(caller, |fd| {
        let mut look = libc::pollfd { fd, events: libc::POLLIN, revents: 0 };
        unsafe { libc::poll(&raw mut look, 1, 0) > 0 && look.revents & (libc::POLLERR | libc::POLLHUP) != 0 }
    })
}
