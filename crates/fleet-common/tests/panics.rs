//! A panic of any thread is in the log, with the thread's name and the place.
use fleet_common::{ring, threads};

#[test]
fn a_panic_is_logged_with_its_thread_and_place() {
    ring::start("test");
    let thread = threads::spawn_named("doomed", threads::STACK, || panic!("no way on")).unwrap();
    assert!(thread.join().is_err());
    ring::info("after");
    // The ring was written out with the panic, so only what came after it is left.
    assert_eq!(ring::lines().len(), 1);
}
