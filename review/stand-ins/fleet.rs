//! A small fleet for the cases of the review: the project's own processes on loopback, and stand-ins for the platform's list,
//! replicas and the operator. Only the standard library is used.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The program of `deploy/system.toml`.
pub const PROGRAM: &str = "target/release/coursebend-node";
const CONTROL_PORT: u16 = 17_480;
const FRONT_PORT: u16 = 17_481;
const READY_PORT: u16 = 17_482;
pub const REPLICA_PORT: u16 = 17_490;
const LIST_PORT: u16 = 17_470;
const OWN_PORTS: (u16, u16) = (17_500, 17_515);
const SEEDS: usize = 3;
const PAGE_ROWS: usize = 50;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// The folder of this run, to be removed however it ends.
static RUN_FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// A pseudo-random number generator (xorshift), so that nothing but the standard library is needed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

pub fn seed_of_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64)
        ^ u64::from(std::process::id()) << 32
}

/// The loopback addresses of a run: a subnet that no other run holds.
pub struct Subnet {
    second: u8,
    third: u8,
    _held: TcpListener,
}

impl Subnet {
    pub fn take() -> Subnet {
        let mut random = Random::new(seed_of_now());
        for _ in 0..200 {
            let (second, third) = (1 + (random.next() % 200) as u8, 1 + (random.next() % 200) as u8);
            if let Ok(held) = TcpListener::bind((Ipv4Addr::new(127, second, third, 254), LIST_PORT)) {
                return Subnet { second, third, _held: held };
            }
        }
        fail_to_run("no free loopback subnet")
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.second, self.third, host), port))
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        self.at(10 + core as u8, CONTROL_PORT)
    }

    pub fn front(&self, edge: usize) -> SocketAddr {
        self.at(50 + edge as u8, FRONT_PORT)
    }

    pub fn ready(&self, edge: usize) -> SocketAddr {
        self.at(50 + edge as u8, READY_PORT)
    }

    pub fn list(&self) -> SocketAddr {
        self.at(9, LIST_PORT)
    }
}

/// The case could not run: exit status 2.
pub fn fail_to_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    remove_run_folder();
    std::process::exit(2)
}

#[derive(Clone, Copy, PartialEq)]
pub enum Class {
    Core,
    Edge,
}

/// A machine with its two processes.
pub struct Machine {
    pub name: String,
    pub class: Class,
    settings: PathBuf,
    text: String,
    pub data: PathBuf,
    folder: PathBuf,
    pub processes: BTreeMap<&'static str, Child>,
}

impl Machine {
    pub fn new(subnet: &Subnet, class: Class, number: usize, folder: &Path) -> Machine {
        let (kind, at) = match class {
            Class::Core => ("core", subnet.control(number)),
            Class::Edge => ("edge", subnet.front(number)),
        };
        let name = format!("{kind}-zone-{number}-1");
        let data = folder.join(&name);
        std::fs::create_dir_all(&data).unwrap_or_else(|e| fail_to_run(&e.to_string()));
        let zone = format!("zone-{}", number % 4);
        let mut text = format!(
            "node_name: \"{name}\"\nrole: \"{kind}\"\nmachine_class: \"{kind}\"\nip: \"{}\"\nzone: \"{zone}\"\nregion: \"r1\"\n\
             zones:\n  zone-0: \"r1\"\n  zone-1: \"r1\"\n  zone-2: \"r1\"\n  zone-3: \"r1\"\n",
            at.ip()
        );
        text += &match class {
            Class::Core => format!("data_path: \"{}\"\nlisten_addrs:\n  control: \"{at}\"\n", data.display()),
            Class::Edge => {
                format!(
                    "data_path: null\nlisten_addrs:\n  front: \"{at}\"\n  readiness: \"{}\"\n",
                    subnet.ready(number)
                )
            }
        };
        text += &format!("internal_ports:\n  - {}\n  - {}\nseed_nodes:\n", OWN_PORTS.0, OWN_PORTS.1);
        (0..SEEDS).for_each(|core| text += &format!("  - \"{}\"\n", subnet.control(core)));
        text += &format!(
            "counts_as_loss: {}\nheartbeat_ms: 1200\nfault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n\
             platform_api:\n  address: \"{}\"\n  rate_per_s: 47.0\n  duties: []\n  max_lag_ms: 800\n",
            class == Class::Core,
            subnet.list()
        );
        text += "bounds:\n  seed_delay_s: 3\n  addr_reuse_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  sync_s: 4\n  \
                 drain_ms: 3000\n  grace_s: 8\n  loss_slack_ms: 200\n  apply_ms: 2000\n  downgrade_ms: 250\n  \
                 max_stretch_ms: 5000\n  fail_closed: true\n  revoke_ms: 5000\n  retry_ratio: 0.2\n  retry_window_s: 10\n  \
                 retry_slack: 58\n  recovery_s: 12\n  transit_ms: 120\n  fence_checks: true\n  lease_ms: 3000\n  \
                 unfreeze_ms: 300\n  version_delay_ms: 15000\n";
        let settings = folder.join(format!("{name}.yaml"));
        Machine { name, class, settings, text, data, folder: folder.to_path_buf(), processes: BTreeMap::new() }
    }

    pub fn roles(&self) -> [&'static str; 2] {
        match self.class {
            Class::Core => ["control-core", "prefix-index"],
            Class::Edge => ["request-router", "router-agent"],
        }
    }

    /// Starts both processes, or those of them that do not run.
    pub fn start(&mut self, is_first_start: bool) {
        for role in self.roles() {
            self.start_role(role, is_first_start);
        }
    }

    pub fn start_role(&mut self, role: &'static str, is_first_start: bool) {
        let text = format!("{}bootstrap: {is_first_start}\n", self.text);
        std::fs::write(&self.settings, text).unwrap_or_else(|e| fail_to_run(&e.to_string()));
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{}-{role}.log", self.name)));
        let log = log.unwrap_or_else(|e| fail_to_run(&e.to_string()));
        let errors = log.try_clone().unwrap_or_else(|e| fail_to_run(&e.to_string()));
        let mut command = Command::new(PROGRAM);
        // Whatever becomes of this process, those that it started end with it.
        unsafe {
            command.pre_exec(|| {
                if prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 { Ok(()) } else { Err(std::io::Error::last_os_error()) }
            })
        };
        command.arg(role).env("COURSEBEND_SETTINGS", &self.settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        match command.spawn() {
            Ok(child) => _ = self.processes.insert(role, child),
            Err(error) => fail_to_run(&format!("{PROGRAM} {role}: {error}")),
        }
    }

    pub fn pid(&self, role: &str) -> u32 {
        self.processes.get(role).map_or(0, Child::id)
    }

    pub fn signal(&self, role: &str, signal: &str) {
        let pid = self.pid(role);
        if pid != 0 {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status();
        }
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self, role: &str) {
        if let Some(mut child) = self.processes.remove(role) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a process ended by itself.
    pub fn has_ended(&mut self, role: &str) -> bool {
        self.processes.get_mut(role).is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        for role in self.roles() {
            self.signal(role, "CONT");
            self.kill(role);
        }
    }
}

/// A request or a response: first line, headers (names in lower case) and body.
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v.as_str())
    }

    /// Of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Of a request: the method and the target.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads a message with a length or chunks; none where the connection ended or failed first.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut row = String::new();
        if from.read_line(&mut row).ok()? == 0 {
            return None;
        }
        let row = row.trim_end();
        if row.is_empty() {
            break;
        }
        let (name, value) = row.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let mut message = Message { line: line.trim_end().to_string(), headers, body: Vec::new() };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut size = String::new();
            if from.read_line(&mut size).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Serves each connection of a listener in a thread of its own, until the handler ends it.
pub fn serve(at: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(at).unwrap_or_else(|e| fail_to_run(&format!("{at}: {e}")));
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                handle(stream)
            });
        }
    });
}

/// A complete response in one write.
pub fn respond(mut to: &TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    to.write_all(text.as_bytes()).is_ok()
}

/// A replica as the platform lists it.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub capacity: u32,
    pub is_draining: bool,
    /// The models of a model replica, each with the version of its weights.
    pub models: Vec<(String, u64)>,
}

impl Listed {
    fn json(&self) -> String {
        let condition = if self.is_draining { "draining" } else { "ready" };
        let row = |(name, revision): &(String, u64)| {
            format!("{{\"name\":\"{name}\",\"revision\":{revision},\"adapters\":[]}}")
        };
        let rows: Vec<String> = self.models.iter().map(row).collect();
        let models = match rows.is_empty() {
            true => String::new(),
            false => format!(",\"phase\":\"unified\",\"models\":[{}]", rows.join(",")),
        };
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\"capacity\":{},\"condition\":\"{condition}\",\
             \"warmup_left_ms\":0{models},\"id\":\"{}\"}}",
            self.service, self.address, self.zone, self.capacity, self.id
        )
    }
}

/// The platform's list.
pub type List = Arc<Mutex<Vec<Listed>>>;

/// Serves the platform's list, page by page.
pub fn serve_list(at: SocketAddr, list: List) {
    serve(at, move |stream| {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reading = BufReader::new(reading);
        while let Some(request) = read_message(&mut reading) {
            let (_, target) = request.target();
            let first: usize =
                target.split_once("page_token=p-").and_then(|(_, at)| at.split('&').next()?.parse().ok()).unwrap_or(0);
            let rows = list.lock().unwrap().clone();
            let page: Vec<String> = rows.iter().skip(first).take(PAGE_ROWS).map(Listed::json).collect();
            let next =
                if first + PAGE_ROWS < rows.len() { format!("\"p-{}\"", first + PAGE_ROWS) } else { "null".into() };
            let body = format!("{{\"replicas\":[{}],\"next_token\":{next}}}", page.join(","));
            if !respond(&stream, 200, "Content-Type: application/json\r\n", &body) {
                return;
            }
        }
    });
}

/// Sends one request on a connection of its own, and reads the response.
pub fn call(to: SocketAddr, method: &str, path: &str, headers: &str, body: &str, wait: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// An operator's call, sent again to one control machine after another until it is clear; gives the final status.
pub fn operator_call(cores: &[SocketAddr], path: &str, headers: &str, body: &str, within: Duration) -> u16 {
    let begun = Instant::now();
    for core in cores.iter().cycle() {
        if begun.elapsed() > within {
            break;
        }
        match call(*core, "POST", path, headers, body, Duration::from_secs(1)) {
            Some(response) if response.status() < 500 && ![408, 429].contains(&response.status()) => {
                return response.status();
            }
            _ => std::thread::sleep(Duration::from_millis(150)),
        }
    }
    0
}

/// Whether the platform would find a router ready.
pub fn is_ready(at: SocketAddr) -> bool {
    call(at, "GET", "/-/ready", "", "", Duration::from_secs(1)).is_some_and(|answer| answer.status() == 200)
}

/// Waits until something holds; exits with 2 if it never does.
pub fn wait_until(what: &str, within: Duration, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > within {
            fail_to_run(&format!("never: {what}"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A folder for the data and logs of a run, below the system's temporary folder; it is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path =
            std::env::temp_dir().join(format!("coursebend-review-{}-{}", std::process::id(), seed_of_now() % 100_000));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| fail_to_run(&e.to_string()));
        *RUN_FOLDER.lock().unwrap() = Some(path.clone());
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        remove_run_folder();
    }
}

fn remove_run_folder() {
    let folder = RUN_FOLDER.lock().unwrap().take();
    if let Some(folder) = folder.filter(|_| std::env::var_os("KEEP_LOGS").is_none()) {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// The lines of `record.txt`, with the time since the start of the run.
pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|e| fail_to_run(&format!("{}: {e}", path.display())));
        Arc::new(Record { begun: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.begun.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn both(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }
}
