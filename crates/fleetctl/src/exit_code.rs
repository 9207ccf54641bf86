//! The exit codes of the tool; scripts of operators rely on them.

/// Done, or alike.
pub const DONE: i32 = 0;
/// Rejected, or different.
pub const REJECTED: i32 = 1;
/// Unknown whether it took effect, or nobody was reached.
pub const UNKNOWN: i32 = 2;
/// Wrong usage.
pub const USAGE: i32 = 64;
