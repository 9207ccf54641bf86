//! This program's settings.
use control_chain::view::CoreAt;
use fleet_common::settings::Settings;
use std::path::{Path, PathBuf};

const NAMES: &[&str] = &["id", "data", "cores", "platform"];

pub struct CoreSettings {
    pub id: u8,
    pub data: PathBuf,
    pub cores: Vec<CoreAt>,
    pub platform: Option<String>,
}

impl CoreSettings {
    pub fn own(&self) -> &CoreAt {
        self.cores.iter().find(|c| c.id == self.id).unwrap_or_else(|| std::process::exit(64))
    }
}

pub fn read(file: Option<&Path>, pairs: &[String], only_check: bool) -> CoreSettings {
    let mut settings = Settings::read(file, pairs, NAMES);
    let id = settings.number("id", 0, 1, 200) as u8;
    let data = PathBuf::from(settings.text("data"));
    let mut cores = Vec::new();
    for part in settings.text("cores").split(',') {
        match CoreAt::read(part) {
            Some(core) => cores.push(core),
            None => settings.add_fault(format!("/cores: {part} is not id@chain/node/http")),
        }
    }
    if !cores.iter().any(|c| c.id == id) {
        settings.add_fault(format!("/id: {id} is not among the cores"));
    }
    let platform = Some(settings.text_or("platform", "")).filter(|p| !p.is_empty());
    settings.or_exit(only_check);
    CoreSettings { id, data, cores, platform }
}

/// Reads the settings again; gives the platform's address, the one thing that may change while running.
pub fn reread(file: Option<&Path>, pairs: &[String]) -> Result<Option<String>, String> {
    let mut settings = Settings::read(file, pairs, NAMES);
    let platform = Some(settings.text_or("platform", "")).filter(|p| !p.is_empty());
    if settings.faults().is_empty() { Ok(platform) } else { Err(settings.faults().join("; ")) }
}
