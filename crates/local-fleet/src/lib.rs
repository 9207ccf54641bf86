//! A fleet on loopback: the project's own programs and stand-ins as processes, for trying out and for
//! drills. Of all the project's programs only this one and the platform's soak start others.

pub mod child;
pub mod fleet;
mod layout;
pub mod measure;
pub mod ports;
pub mod relay;
pub mod shape;
