//! Reads the body of a request.
use super::{Inbound, Limits};
use crate::framing::{Framing, of_request};
use crate::head::RequestHead;
use std::time::Instant;

impl Inbound {
    /// The whole body; none where the connection ended before it was here.
    pub(super) fn body(&mut self, head: &RequestHead, limits: &Limits) -> Result<Option<Vec<u8>>, (u16, String)> {
        let mut framing = of_request(&head.headers).map_err(|what| (400, what))?;
        let most = limits.body_bytes as u64;
        if matches!(framing, Framing::Length(length) if length > most) {
            return Err((413, "body too large".into()));
        }
        let until = Instant::now() + limits.body;
        let mut body = Vec::new();
        let mut told = !head.headers.lists("expect", "100-continue");
        loop {
            framing.take(&mut self.buffer, &mut body).map_err(|what| (400, what))?;
            if body.len() as u64 > most {
                return Err((413, "body too large".into()));
            }
            if framing == Framing::Ended {
                return Ok(Some(body));
            }
            if !std::mem::replace(&mut told, true) && self.put(b"HTTP/1.1 100 Continue\r\n\r\n").is_err() {
                return Ok(None);
            }
            if !self.fill(until) {
                return if Instant::now() >= until {
                    Err((408, "the body did not come in time".into()))
                } else {
                    Ok(None)
                };
            }
        }
    }
}
