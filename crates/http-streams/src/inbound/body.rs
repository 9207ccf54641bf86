//! Reading the body of a request.
use super::{Inbound, LimitsSource, RequestLimits};
use crate::error::RequestError;
use crate::framing::{Framing, request_framing};
use crate::head::RequestHead;
use fleet_common::memory_budget::Reservation;
use std::time::Instant;

/// A body is in memory twice while it is sent to a replica.
const COPIES: usize = 2;

/// Lets a client that sent `Expect: 100-continue` send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

impl Inbound {
    /// The complete body; `None` where the connection ended before.
    pub(super) fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &mut RequestLimits<impl LimitsSource>,
    ) -> Result<Option<Vec<u8>>, RequestError> {
        let mut framing = request_framing(&head.headers)?;
        if matches!(framing, Framing::Length(length) if length > limits.now().body_bytes as u64) {
            return Err(RequestError::BodyTooLarge);
        }
        let deadline = Instant::now() + limits.now().body_timeout;
        let mut body = Vec::new();
        self.body_memory = limits.source.body_memory().map(Reservation::new);
        let mut may_send = !head.headers.contains_token("expect", "100-continue");
        loop {
            framing.take(&mut self.buffer, &mut body)?;
            if body.len() > limits.now().body_bytes {
                return Err(RequestError::BodyTooLarge);
            }
            if self.body_memory.as_mut().is_some_and(|memory| !memory.grow_to(body.capacity() * COPIES)) {
                return Err(RequestError::OutOfMemory);
            }
            if framing == Framing::Ended {
                return Ok(Some(body));
            }
            if !std::mem::replace(&mut may_send, true) && self.write_all(CONTINUE).is_err() {
                return Ok(None);
            }
            if !self.fill(deadline) {
                let timed_out = Instant::now() >= deadline;
                return if timed_out { Err(RequestError::BodyTimeout) } else { Ok(None) };
            }
        }
    }
}
