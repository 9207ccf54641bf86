//! This program's settings.
use chain_replication::view::MemberAddress;
use fleet_common::Rcu;
use fleet_common::settings::Settings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const SETTING_NAMES: &[&str] = &["id", "data", "cores", "platform", "listenChain", "listenNode"];

pub struct ServerSettings {
    pub id: u32,
    pub data: PathBuf,
    pub members: Vec<MemberAddress>,
    pub platform: Option<String>,
    /// Where this core listens, if others reach its listed addresses by way of something else.
    pub listen_chain: Option<SocketAddr>,
    pub listen_node: Option<SocketAddr>,
}

impl ServerSettings {
    pub fn own_address(&self) -> &MemberAddress {
        self.members.iter().find(|c| c.id == self.id).unwrap_or_else(|| std::process::exit(64))
    }
}

pub fn read(file: Option<&Path>, pairs: &[String], only_check: bool) -> ServerSettings {
    let mut settings = Settings::read(file, pairs, SETTING_NAMES);
    let id = settings.number("id", 0, 1, 200) as u32;
    let data = PathBuf::from(settings.text("data"));
    let mut cores = Vec::new();
    for part in settings.text("cores").split(',') {
        match MemberAddress::parse(part) {
            Some(core) => cores.push(core),
            None => settings.add_error(format!("/cores: {part} is not id@chain/node/http")),
        }
    }
    if !cores.iter().any(|c| c.id == id) {
        settings.add_error(format!("/id: {id} is not among the cores"));
    }
    let platform = platform_of(&mut settings);
    let mut listen = |name| settings.has(name).then(|| settings.address(name));
    let (listen_chain, listen_node) = (listen("listenChain"), listen("listenNode"));
    settings.exit_if_invalid(only_check);
    ServerSettings { id, data, members: cores, platform, listen_chain, listen_node }
}

/// Reads the settings again; only the platform's address may change while running.
pub fn reload(file: Option<&Path>, pairs: &[String], platform: &Rcu<Option<String>>) {
    let mut settings = Settings::read(file, pairs, SETTING_NAMES);
    let changed = platform_of(&mut settings);
    settings.apply_if_valid(|| platform.update(|held| *held = changed));
}

fn platform_of(settings: &mut Settings) -> Option<String> {
    Some(settings.text_or("platform", "")).filter(|p| !p.is_empty())
}
