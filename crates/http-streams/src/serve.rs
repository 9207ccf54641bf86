//! A pool of workers that accept for themselves: one wakes for a new connection and stays with it.
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

const STACK: usize = 256 << 10;
/// Idle workers beyond so many end.
const IDLE_KEPT: usize = 8;

struct Pool {
    listener: TcpListener,
    most: usize,
    all: AtomicUsize,
    idle: AtomicUsize,
    handle: Box<dyn Fn(TcpStream) + Send + Sync>,
}

/// Serves a listener with up to `most` workers; connections beyond that wait to be accepted.
/// ```
/// use std::io::{Read, Write};
/// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let at = listener.local_addr().unwrap();
/// http_streams::serve::serve(listener, 4, |mut stream| _ = stream.write_all(b"hi"));
/// let mut text = String::new();
/// std::net::TcpStream::connect(at).unwrap().read_to_string(&mut text).unwrap();
/// assert_eq!(text, "hi");
/// ```
pub fn serve(listener: TcpListener, most: usize, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let pool = Pool { listener, most, all: 0.into(), idle: 0.into(), handle: Box::new(handle) };
    hire(&Arc::new(pool));
}

fn hire(pool: &Arc<Pool>) {
    if pool.all.fetch_add(1, Ordering::AcqRel) >= pool.most {
        pool.all.fetch_sub(1, Ordering::AcqRel);
        return;
    }
    pool.idle.fetch_add(1, Ordering::AcqRel);
    let worker = pool.clone();
    let hired = std::thread::Builder::new().stack_size(STACK).spawn(move || work(&worker));
    if hired.is_err() {
        pool.idle.fetch_sub(1, Ordering::AcqRel);
        pool.all.fetch_sub(1, Ordering::AcqRel);
    }
}

fn work(pool: &Arc<Pool>) {
    loop {
        let accepted = pool.listener.accept();
        // Somebody must always be there to accept.
        if pool.idle.fetch_sub(1, Ordering::AcqRel) == 1 {
            hire(pool);
        }
        match accepted {
            Ok((stream, _)) => {
                // One caller's trouble must not take the worker from the others.
                let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| (pool.handle)(stream)));
            }
            // Out of descriptors: give those that hold them time to end.
            Err(_) => std::thread::sleep(std::time::Duration::from_millis(20)),
        }
        if pool.idle.fetch_add(1, Ordering::AcqRel) >= IDLE_KEPT {
            pool.idle.fetch_sub(1, Ordering::AcqRel);
            pool.all.fetch_sub(1, Ordering::AcqRel);
            return;
        }
    }
}
