//! One process of the fleet.
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

/// How a process is started, and the process while it runs.
pub struct Process {
    /// Its name in the fleet.
    pub name: String,
    /// The program that it runs.
    pub program: &'static str,
    /// The program's arguments.
    pub args: Vec<String>,
    /// Where it shows its pages.
    pub http: SocketAddr,
    /// The largest file it may write, in bytes: a disk that is full beyond it.
    pub file_max: Option<u64>,
    child: Option<Child>,
    /// Processes that were told to stop and whose successors were started already.
    former: Vec<Child>,
    log: PathBuf,
    /// Starts that the log told of before the present life began.
    former_starts: usize,
}

/// The folder in which the project's programs lie.
/// ```
/// assert!(local_fleet::child::programs().is_dir());
/// ```
pub fn programs() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().map(PathBuf::from).unwrap_or_default();
    let mut up = folder.as_path();
    while !up.join("control-server").exists() {
        match up.parent() {
            Some(parent) => up = parent,
            None => return folder,
        }
    }
    up.to_path_buf()
}

impl Process {
    /// Prepares a process; it is not started yet.
    /// ```
    /// let process = local_fleet::child::Process::new("core-1", "control-server", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp".into());
    /// assert!(!process.runs());
    /// ```
    pub fn new(name: &str, program: &'static str, args: Vec<String>, http: SocketAddr, logs: PathBuf) -> Self {
        Process {
            name: name.into(),
            program,
            args,
            http,
            file_max: None,
            child: None,
            former: Vec::new(),
            log: logs.join(format!("{name}.log")),
            former_starts: 0,
        }
    }

    /// Starts it.
    /// ```no_run
    /// # let mut process = local_fleet::child::Process::new("x", "control-server", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp".into());
    /// process.start();
    /// ```
    pub fn start(&mut self) {
        self.former_starts = self.logged_starts();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let mut command = Command::new(programs().join(self.program));
        command.args(&self.args).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log.map(Stdio::from).unwrap_or_else(|_| Stdio::null()));
        // Whatever ends us ends the fleet: a killed local-fleet must leave nobody behind.
        let file_max = self.file_max;
        let follow = move || {
            if let Some(most) = file_max {
                let limit = libc::rlimit { rlim_cur: most, rlim_max: most };
                // Without the signal ignored the process would die of it instead of seeing the error.
                unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
                unsafe { libc::setrlimit(libc::RLIMIT_FSIZE, &limit) };
            }
            match unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) } {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            }
        };
        unsafe { command.pre_exec(follow) };
        self.child = command.spawn().map_err(|e| eprintln!("local-fleet: {} cannot start: {e}", self.name)).ok();
    }

    /// Whether it was started and not killed by us.
    /// ```
    /// # let process = local_fleet::child::Process::new("x", "control-server", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp".into());
    /// assert!(!process.runs());
    /// ```
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal, by the process's own id.
    /// ```
    /// # let process = local_fleet::child::Process::new("x", "control-server", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp".into());
    /// process.signal(libc::SIGSTOP);
    /// ```
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Tells it to stop and starts its successor at once, while it still drains.
    /// ```
    /// # let mut process = local_fleet::child::Process::new("x", "no-such-program", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp".into());
    /// process.succeed();
    /// ```
    pub fn succeed(&mut self) {
        self.signal(libc::SIGTERM);
        self.former.extend(self.child.take());
        // Those that have ended are not to stay as zombies.
        self.former.retain_mut(|former| !matches!(former.try_wait(), Ok(Some(_))));
        self.start();
    }

    /// Kills it outright.
    /// ```
    /// # let mut process = local_fleet::child::Process::new("x", "control-server", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp".into());
    /// process.kill();
    /// ```
    pub fn kill(&mut self) {
        for mut child in self.child.take().into_iter().chain(self.former.drain(..)) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// How it ended, where it did so by itself; it counts as not started from then on.
    /// ```
    /// # let mut process = local_fleet::child::Process::new("x", "control-server", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp".into());
    /// assert_eq!(process.ended(), None);
    /// ```
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// How many of its lives have said in the log that they start.
    /// ```
    /// # let process = local_fleet::child::Process::new("x", "control-server", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp/none".into());
    /// assert_eq!(process.logged_starts(), 0);
    /// ```
    pub fn logged_starts(&self) -> usize {
        std::fs::read_to_string(&self.log).unwrap_or_default().matches(" starts: ").count()
    }

    /// Whether the present life has said in the log that it starts.
    /// ```
    /// # let process = local_fleet::child::Process::new("x", "control-server", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp/none".into());
    /// assert!(!process.has_logged_its_start());
    /// ```
    pub fn has_logged_its_start(&self) -> bool {
        self.logged_starts() > self.former_starts
    }

    /// The most memory that it has had resident so far, in bytes; 0 where it does not run.
    /// ```
    /// # let process = local_fleet::child::Process::new("x", "control-server", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp".into());
    /// assert_eq!(process.peak_memory_bytes(), 0);
    /// ```
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = self.child.as_ref().map(|child| std::fs::read_to_string(format!("/proc/{}/status", child.id())));
        let status = status.and_then(Result::ok).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        peak.and_then(|kib| kib.trim().parse::<u64>().ok()).unwrap_or(0) << 10
    }

    /// Waits for it to end by itself; gives its exit code.
    /// ```
    /// # let mut process = local_fleet::child::Process::new("x", "control-server", vec![], "127.0.0.1:1".parse().unwrap(), "/tmp".into());
    /// assert_eq!(process.wait(), None);
    /// ```
    pub fn wait(&mut self) -> Option<i32> {
        self.child.take().and_then(|mut child| child.wait().ok()?.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
