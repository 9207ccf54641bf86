//! Answers that panic: the listener goes on, however often that happens.
use fleet_common::{Text, frame};
use std::net::TcpListener;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(30);
/// More than a listener serves at once.
const PANICS: usize = 600;

#[test]
fn answers_that_panic_take_no_streams_away() {
    std::panic::set_hook(Box::new(|_| {}));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    frame::serve(listener, |ask: Text| {
        assert_ne!(ask.as_str(), "panic");
        Some(ask)
    });
    for _ in 0..PANICS {
        let answer = frame::Client::new(at, BOUND).call::<Text, Text>(&Text::from("panic"));
        assert!(answer.is_err());
    }
    let answer = frame::Client::new(at, BOUND).call::<Text, Text>(&Text::from("hi"));
    assert_eq!(answer.unwrap().as_str(), "hi");
}
