//! The stand-ins as a program.

fn main() {
    stand_in::run(stand_in::flags::StandIn::from_env_or_exit());
}
