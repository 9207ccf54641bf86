//! What a process needs before it can serve, and may not have at its first try: an address that its predecessor is just
//! giving up, a settings file that is being written. It is asked for until it can be had, as a process that ends instead is
//! only started again, into the same trouble.
use crate::ring;
use std::fmt::Display;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// The delay before the second attempt; it doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(20);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(250);

/// Attempts something until it succeeds. An error is announced where it differs from the one before.
/// ```
/// let mut left = 2;
/// let ready = fleet_common::startup::until_ready("counting", || {
///     left -= 1;
///     if left > 0 { Err("not yet") } else { Ok(7) }
/// });
/// assert_eq!(ready, 7);
/// ```
pub fn until_ready<T, E: Display>(what: &str, mut attempt: impl FnMut() -> Result<T, E>) -> T {
    let (begun, mut delay, mut announced) = (Instant::now(), RETRY_DELAY, None);
    loop {
        match attempt() {
            Ok(ready) => {
                if announced.is_some() {
                    ring::announce(&format!("{what}: ready after {:.3} s", begun.elapsed().as_secs_f64()));
                }
                return ready;
            }
            Err(error) => {
                let text = error.to_string();
                if announced.as_ref() != Some(&text) {
                    ring::announce(&format!("{what}: {text}; trying again"));
                    announced = Some(text);
                }
            }
        }
        std::thread::sleep(delay);
        delay = (delay * 2).min(RETRY_DELAY_MAX);
    }
}

/// Listens on an address as soon as it can be had.
/// ```
/// let listener = fleet_common::startup::listen("127.0.0.1:0".parse().unwrap());
/// assert!(listener.local_addr().unwrap().port() > 0);
/// ```
pub fn listen(at: SocketAddr) -> TcpListener {
    until_ready(&format!("listening on {at}"), || TcpListener::bind(at))
}
