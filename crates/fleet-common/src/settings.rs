//! Settings: a JSON file, flags over it, all faults reported together.
use crate::{PeerError, Step, json, ring};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Exit code when settings are faulty.
pub const EXIT_SETTINGS: i32 = 64;
/// Exit code when the disk's state is damaged.
pub const EXIT_DISK: i32 = 65;
/// Exit code when an address cannot be listened on.
pub const EXIT_LISTEN: i32 = 66;

/// Settings as read, with the faults found so far.
#[derive(Default)]
pub struct Settings {
    values: BTreeMap<String, String>,
    faults: Vec<String>,
}

/// Listens on an address, or ends the process saying why it cannot.
/// ```
/// let listener = fleet_common::settings::listen("demo", "127.0.0.1:0".parse().unwrap());
/// assert!(listener.local_addr().unwrap().port() > 0);
/// ```
pub fn listen(program: &str, at: SocketAddr) -> std::net::TcpListener {
    std::net::TcpListener::bind(at).unwrap_or_else(|e| {
        eprintln!("{program}: cannot listen on {at}: {e}");
        std::process::exit(EXIT_LISTEN)
    })
}

impl Settings {
    /// Reads an optional file and lays flags (`name=value`) over it. Only `names` are known.
    /// ```
    /// use fleet_common::settings::Settings;
    /// let mut settings = Settings::read(None, &["listen=127.0.0.1:0".into(), "odd=1".into()], &["listen"]);
    /// settings.address("listen");
    /// assert_eq!(settings.errors().len(), 1);
    /// ```
    pub fn read(file: Option<&std::path::Path>, flags: &[String], names: &[&str]) -> Self {
        let mut settings = Settings::default();
        if let Some(path) = file {
            match std::fs::read(path) {
                Ok(text) => settings.take_file(&text),
                Err(e) => settings.faults.push(format!("{}: {e}", path.display())),
            }
        }
        for flag in flags {
            match flag.split_once('=') {
                Some((name, value)) => _ = settings.values.insert(name.into(), value.into()),
                None => settings.faults.push(format!("{flag}: name=value is wanted")),
            }
        }
        let unknown = settings.values.keys().filter(|n| !names.contains(&n.as_str()));
        settings.faults.extend(unknown.map(|n| format!("/{n}: unknown setting")).collect::<Vec<_>>());
        settings
    }

    fn take_file(&mut self, text: &[u8]) {
        let root = match json::root(text) {
            Ok(root) => root,
            Err(fault) => return self.faults.push(fault.to_string()),
        };
        match root.fields() {
            Ok(fields) => {
                for (name, place) in fields {
                    let value = match place.items() {
                        Ok(items) => items.iter().map(|i| i.text().unwrap_or_default()).collect::<Vec<_>>().join(","),
                        Err(_) => place.text().unwrap_or_else(|_| place.raw().to_string()),
                    };
                    self.values.insert(name, value);
                }
            }
            Err(fault) => self.faults.push(fault.to_string()),
        }
    }

    /// A text that must be there.
    /// ```
    /// # use fleet_common::settings::Settings;
    /// let mut settings = Settings::read(None, &["name=edge-1".into()], &["name"]);
    /// assert_eq!(settings.text("name"), "edge-1");
    /// ```
    pub fn text(&mut self, name: &str) -> String {
        match self.values.get(name) {
            Some(value) if !value.is_empty() => value.clone(),
            _ => {
                self.faults.push(format!("/{name}: missing"));
                String::new()
            }
        }
    }

    /// Whether a setting is given at all.
    /// ```
    /// let settings = fleet_common::settings::Settings::read(None, &["a=1".into()], &["a", "b"]);
    /// assert!(settings.has("a") && !settings.has("b"));
    /// ```
    pub fn has(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }

    /// A text with a default.
    /// ```
    /// # use fleet_common::settings::Settings;
    /// assert_eq!(Settings::read(None, &[], &[]).text_or("district", "a"), "a");
    /// ```
    pub fn text_or(&mut self, name: &str, other: &str) -> String {
        self.values.get(name).cloned().unwrap_or_else(|| other.to_string())
    }

    /// A number within bounds, with a default.
    /// ```
    /// # use fleet_common::settings::Settings;
    /// let mut settings = Settings::read(None, &["alpha=0".into()], &["alpha"]);
    /// assert_eq!(settings.number("alpha", 5, 1, 100), 5);
    /// assert_eq!(settings.errors().len(), 1);
    /// ```
    pub fn number(&mut self, name: &str, other: u64, least: u64, most: u64) -> u64 {
        let Some(value) = self.values.get(name) else {
            return other;
        };
        match value.parse() {
            Ok(number) if (least..=most).contains(&number) => number,
            _ => {
                self.faults.push(format!("/{name}: a whole number from {least} to {most} is wanted, not {value}"));
                other
            }
        }
    }

    /// An address that must be there, as IP and port.
    /// ```
    /// # use fleet_common::settings::Settings;
    /// let mut settings = Settings::read(None, &["at=127.0.0.1:80".into()], &["at"]);
    /// assert_eq!(settings.address("at").port(), 80);
    /// ```
    pub fn address(&mut self, name: &str) -> SocketAddr {
        self.addresses(name).into_iter().next().unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Addresses parted by commas; at least one.
    /// ```
    /// # use fleet_common::settings::Settings;
    /// let mut settings = Settings::read(None, &["seeds=127.0.0.1:1,127.0.0.1:2".into()], &["seeds"]);
    /// assert_eq!(settings.addresses("seeds").len(), 2);
    /// ```
    pub fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let text = self.text(name);
        let mut found = Vec::new();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            match part.trim().parse() {
                Ok(address) => found.push(address),
                Err(_) => self.faults.push(format!("/{name}: {part} is not an IP and port")),
            }
        }
        found
    }

    /// Adds a fault found by the program itself.
    /// ```
    /// # use fleet_common::settings::Settings;
    /// let mut settings = Settings::read(None, &[], &[]);
    /// settings.add_error("/id: odd".into());
    /// assert_eq!(settings.errors().len(), 1);
    /// ```
    pub fn add_error(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// All faults found so far.
    /// ```
    /// # use fleet_common::settings::Settings;
    /// assert!(Settings::read(None, &[], &[]).errors().is_empty());
    /// ```
    pub fn errors(&self) -> &[String] {
        &self.faults
    }

    /// Puts settings that were read again to use; faulty ones change nothing and are an error.
    /// ```
    /// # use fleet_common::settings::Settings;
    /// let settings = Settings::read(None, &["odd=1".into()], &[]);
    /// settings.apply_if_valid(|| panic!("faulty settings must change nothing"));
    /// ```
    pub fn apply_if_valid(&self, put: impl FnOnce()) {
        match self.errors() {
            [] => put(),
            faults => ring::error(&PeerError::at(Step::Settings, "own settings", faults.join("; "))),
        }
    }

    /// Ends the process when there are faults (all shown), or when only a check was wanted.
    /// ```no_run
    /// # use fleet_common::settings::Settings;
    /// Settings::read(None, &[], &[]).exit_if_invalid(true);
    /// ```
    pub fn exit_if_invalid(&self, only_check: bool) {
        if !self.faults.is_empty() {
            for fault in &self.faults {
                eprintln!("settings: {fault}");
            }
            std::process::exit(EXIT_SETTINGS);
        }
        if only_check {
            println!("settings: ok");
            std::process::exit(0);
        }
    }
}
