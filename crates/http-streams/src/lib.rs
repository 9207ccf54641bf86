//! HTTP/1.1 on plain sockets, parsed by `httparse`, for a proxy that must know what each side can have seen.
//!
//! General HTTP libraries hide what a router has to decide on: whether any byte of a request was sent, whether a
//! response is complete, whether the client has gone, whether an idle connection is still usable. Here these are
//! outcomes of their own. [`inbound`] is a client's connection, [`outbound`] and [`pool`] are those to replicas, and
//! [`wait`] watches both at once.

pub mod error;

pub mod framing;
pub mod head;
pub mod inbound;
pub mod latch;
pub mod limits;
pub mod outbound;
mod outcome;
pub mod pool;
pub mod serve;
pub mod wait;
