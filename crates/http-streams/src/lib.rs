//! HTTP/1.1 on plain sockets, parsed by `httparse`: callers' connections, kept connections to replicas,
//! and waiting on both at once. A connection here can be cut so that it looks cut, closed without a
//! word, and told apart from one that another request's late answer has spoilt.

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
