//! The router as a process of its own.
use super::agent;
use super::mask::{mask_response, mask_start};
use super::replica::Replica;
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::time::{Duration, Instant};

/// Far beyond what anything here takes, on a busy machine too.
const BOUND: Duration = Duration::from_secs(30);
const NOBODY: &str = "127.0.0.1:1";

pub struct Router {
    callers: SocketAddr,
    pages: SocketAddr,
    pub frames: SocketAddr,
    start: RefCell<String>,
    child: Child,
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let ((_open, tick), begun) = (channel::<()>(), Instant::now());
    while !holds() {
        assert!(begun.elapsed() < BOUND, "never: {what}");
        assert_eq!(tick.recv_timeout(Duration::from_millis(2)), Err(RecvTimeoutError::Timeout));
    }
}

fn free_addresses() -> [SocketAddr; 3] {
    let bound = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    bound.map(|listener| listener.local_addr().unwrap())
}

fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    if head.contains("Transfer-Encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    length.is_some_and(|length| body.len() >= length.parse().unwrap())
}

fn exchange(to: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(BOUND))?;
    stream.write_all(request.as_bytes())?;
    let (mut response, mut buffer) = (Vec::new(), [0u8; 4096]);
    while !is_complete(&response) {
        match stream.read(&mut buffer)? {
            0 => break,
            count => response.extend_from_slice(&buffer[..count]),
        }
    }
    Ok(String::from_utf8(response).unwrap())
}

/// The exit code of a process that cannot listen on an address.
const ADDRESS_TAKEN: i32 = 66;
/// Addresses that were found free may be taken before the process listens there: so often others are tried.
const MAX_STARTS: usize = 10;

impl Router {
    fn start(agent: SocketAddr) -> Router {
        let started = (0..MAX_STARTS).find_map(|_| Router::start_once(agent));
        started.expect("three addresses that stay free")
    }

    /// A router whose pages answer; none where one of its addresses was taken meanwhile.
    fn start_once(agent: SocketAddr) -> Option<Router> {
        let [callers, pages, frames] = free_addresses();
        let mut command = Command::new(env!("CARGO_BIN_EXE_request-router"));
        let set = |name: &str, value: &str| ["--set".to_string(), format!("{name}={value}")];
        command.args(set("name", "edge-1")).args(set("district", "a"));
        command.args(set("listen", &callers.to_string())).args(set("http", &pages.to_string()));
        command.args(set("frames", &frames.to_string())).args(set("agent", &agent.to_string()));
        let child = RefCell::new(command.spawn().unwrap());
        let answers = || exchange(pages, "GET /health HTTP/1.1\r\nHost: h\r\n\r\n").is_ok();
        let ended = || child.borrow_mut().try_wait().unwrap();
        until("the pages answer", || ended().is_some() || answers());
        if let Some(status) = ended() {
            assert_eq!(status.code(), Some(ADDRESS_TAKEN), "the router ended");
            return None;
        }
        Some(Router { callers, pages, frames, start: Default::default(), child: child.into_inner() })
    }

    pub fn without_agent() -> Router {
        Router::start(NOBODY.parse().unwrap())
    }

    /// A router with a lease and one replica, `r1`.
    pub fn with_one_replica() -> (Router, Replica) {
        let replica = Replica::start();
        let listed = format!(r#"[{{"id":"r1","at":"{}","model":"m1","district":"a","leaving":false}}]"#, replica.at);
        let router = Router::start(agent::start(listed));
        until("the router has a lease", || router.page("/health").starts_with("HTTP/1.1 200"));
        (router, replica)
    }

    /// The response to a caller's request.
    pub fn call(&self, request: &str) -> String {
        let response = exchange(self.callers, request).unwrap();
        let id = response.lines().find_map(|line| line.strip_prefix("X-Request-Id: "));
        if let Some(start) = id.and_then(|id| id.split('-').nth(2)) {
            *self.start.borrow_mut() = start.to_string();
        }
        self.mask(&response)
    }

    /// A page for operators.
    pub fn page(&self, path: &str) -> String {
        let path = path.replace("START", &self.start.borrow());
        self.mask(&exchange(self.pages, &format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")).unwrap())
    }

    /// The id of a request by its number, from 0.
    pub fn request_id(&self, number: usize) -> String {
        format!("edge-1-START-{number}")
    }

    fn mask(&self, response: &str) -> String {
        let start = self.start.borrow();
        let masked = if start.is_empty() { response.to_string() } else { mask_start(response, &start) };
        mask_response(&masked)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
