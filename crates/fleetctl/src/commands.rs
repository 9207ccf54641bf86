//! Commands: changes of the control state that operators submit.
use crate::control_plane::{ControlPlane, HttpResponse};
use crate::exit_code;
use fleet_common::hash;
use fleet_common::json::{quote, to_text};
use serde::Serialize;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long `--wait` waits for a command to be in force everywhere.
const APPLIED_TIMEOUT: Duration = Duration::from_secs(15);
const APPLIED_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Statuses from here on are rejections.
const FIRST_REJECTED_STATUS: u16 = 300;

/// What every command is submitted with.
pub struct Submission {
    /// The command's id, under which its outcome can be queried; made up where none is given.
    pub id: Option<String>,
    /// The version that the command replaces; the current one where none is given.
    pub expected_version: Option<u64>,
    /// Whether to wait until the command is in force everywhere.
    pub wait: bool,
}

/// A field of a command and its value.
pub type Field<'a> = (&'a str, String);

fn current_version(control_plane: &ControlPlane, kind: &str) -> Option<u64> {
    let source = if kind.starts_with("key") { "keys" } else { "blueprint" };
    control_plane.source_version(source)
}

/// Replaces the fleet's configuration by a file's content. Returns the exit code.
pub fn apply(control_plane: &ControlPlane, path: &Path, submission: Submission) -> i32 {
    match std::fs::read_to_string(path) {
        Ok(text) => {
            let fields = format!(",\"blueprint\":{}", text.trim());
            send(control_plane, "blueprint", &fields, submission)
        }
        Err(error) => {
            eprintln!("fleetctl: {}: {error}", path.display());
            exit_code::USAGE
        }
    }
}

/// Submits a command of this kind. Returns the exit code.
pub fn submit(control_plane: &ControlPlane, kind: &str, fields: &[Field], submission: Submission) -> i32 {
    let field = |(name, value): &Field| format!(",{}:{}", quote(name), quote(value));
    let fields: String = fields.iter().map(field).collect();
    send(control_plane, kind, &fields, submission)
}

/// Posts a command whose own fields are given as JSON, each behind a comma.
fn send(control_plane: &ControlPlane, kind: &str, fields: &str, submission: Submission) -> i32 {
    let id = submission.id.unwrap_or_else(|| format!("op-{:016x}", hash::unique_id()));
    let Some(expected) = submission.expected_version.or_else(|| current_version(control_plane, kind)) else {
        eprintln!("fleetctl: no control replica can say which version is current");
        return exit_code::UNKNOWN;
    };
    let body = format!("{{\"id\":{},\"expect\":{expected},\"kind\":{}{fields}}}", quote(&id), quote(kind));
    let response = match control_plane.post("/commands", &body) {
        Ok(response) => response,
        Err(error) => {
            eprintln!("fleetctl: unknown whether command {id} took effect: {error}");
            eprintln!("fleetctl: query it later with: fleetctl outcome {id}");
            return exit_code::UNKNOWN;
        }
    };
    if response.status >= FIRST_REJECTED_STATUS || !submission.wait {
        return print_response(&response);
    }
    wait_until_applied(control_plane, &id, &response.text)
}

fn print_response(response: &HttpResponse) -> i32 {
    println!("{}", response.text);
    if response.status >= FIRST_REJECTED_STATUS { exit_code::REJECTED } else { exit_code::DONE }
}

fn wait_until_applied(control_plane: &ControlPlane, id: &str, accepted: &str) -> i32 {
    let deadline = Instant::now() + APPLIED_TIMEOUT;
    loop {
        let outcome = control_plane.get(&format!("/command/{id}")).unwrap_or_default();
        if outcome.contains("\"in force\"") {
            println!("{outcome}");
            return exit_code::DONE;
        }
        if Instant::now() > deadline {
            println!("{accepted}");
            eprintln!("fleetctl: accepted, but not known to be in force yet");
            return exit_code::UNKNOWN;
        }
        std::thread::sleep(APPLIED_POLL_INTERVAL);
    }
}

/// The body of a new membership list.
#[derive(Serialize)]
struct MembersBody<'a> {
    expect: u64,
    cores: Vec<&'a str>,
}

/// Replaces the membership list of control replicas. Returns the exit code.
pub fn set_members(control_plane: &ControlPlane, list: &str, expected_view: Option<u64>) -> i32 {
    let Some(expect) = expected_view.or_else(|| control_plane.source_version("cores")) else {
        eprintln!("fleetctl: no control replica can say which view is current");
        return exit_code::UNKNOWN;
    };
    let body = to_text(&MembersBody { expect, cores: list.split(',').collect() });
    match control_plane.post("/cores", &body) {
        Ok(response) => print_response(&response),
        Err(error) => {
            eprintln!("fleetctl: unknown whether the list took effect (query it: fleetctl holds): {error}");
            exit_code::UNKNOWN
        }
    }
}
