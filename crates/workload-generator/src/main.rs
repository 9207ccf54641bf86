//! Prints one day of a site's catalogue, or how many days it has.
use workload_generator::{GenerateError, catalogue, site::Site};

mod flags {
    xflags::xflags! {
        /// Generates day files for the users' bench.
        cmd workload-generator {
            /// The site file.
            required site: String
            /// The seed of the catalogue, 1 if not given.
            optional --seed seed: u64
            /// The number of the day to print, from 0 on; without it the days are listed.
            optional --day number: usize
        }
    }
}

fn main() {
    let flags = flags::WorkloadGenerator::from_env_or_exit();
    match text(&flags) {
        Ok(text) => print!("{text}"),
        Err(error) => {
            eprintln!("workload-generator: {error}");
            std::process::exit(1);
        }
    }
}

fn text(flags: &flags::WorkloadGenerator) -> Result<String, GenerateError> {
    let site = Site::read(&flags.site)?;
    let days = catalogue::days(&site, flags.seed.unwrap_or(1))?;
    let Some(number) = flags.day else {
        return Ok(days.iter().enumerate().map(|(number, day)| format!("{number} {}\n", day.name)).collect());
    };
    let last = days.len().saturating_sub(1);
    days.get(number).ok_or(GenerateError::NoSuchDay { number, last })?.to_toml()
}
