//! The stand-ins as a program.

fn main() {
    test_doubles::run(test_doubles::flags::TestDoubles::from_env_or_exit());
}
