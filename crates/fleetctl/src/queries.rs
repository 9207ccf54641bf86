//! Queries of nodes and routers.
use crate::exit_code;
use fleet_common::{PeerError, http_client};
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Gets a page of one node.
pub fn fetch(at: SocketAddr, path: &str) -> Result<String, PeerError> {
    http_client::json("GET", &format!("http://{at}{path}"), "", REQUEST_TIMEOUT)
}

/// Prints a page, or why there is none. Returns the exit code.
pub fn print_result(answer: Result<String, PeerError>) -> i32 {
    match answer {
        Ok(text) => {
            println!("{text}");
            exit_code::DONE
        }
        Err(error) => {
            eprintln!("fleetctl: {error}");
            exit_code::UNKNOWN
        }
    }
}

/// Prints a request's trace by the first router that remembers it. Returns the exit code.
pub fn explain(routers: &[SocketAddr], request: &str) -> i32 {
    for router in routers {
        if let Ok(trace) = fetch(*router, &format!("/explain/{request}")) {
            println!("{trace}");
            return exit_code::DONE;
        }
    }
    eprintln!("fleetctl: none of {} routers remembers {request}", routers.len());
    exit_code::UNKNOWN
}
