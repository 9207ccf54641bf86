//! Signals before a process is ready for them. One test alone, as signals are the whole process's.
use fleet_common::signals::{Signal, SignalQueue};
use std::sync::mpsc::channel;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(30);

fn send(signal: libc::c_int) {
    assert_eq!(unsafe { libc::raise(signal) }, 0);
}

#[test]
fn what_came_before_the_handler_is_made_up_for() {
    let (early, stopped_early) = channel();
    let signals = SignalQueue::catch(move || early.send(()).unwrap());
    send(libc::SIGXFSZ);
    send(libc::SIGHUP);
    send(libc::SIGTERM);
    stopped_early.recv_timeout(BOUND).unwrap();
    let (tell, told) = channel();
    signals.listen(move |signal| tell.send(signal).unwrap());
    assert_eq!(told.recv_timeout(BOUND), Ok(Signal::Reload));
    send(libc::SIGTERM);
    assert_eq!(told.recv_timeout(BOUND), Ok(Signal::Terminate));
    assert!(stopped_early.try_recv().is_err());
}
