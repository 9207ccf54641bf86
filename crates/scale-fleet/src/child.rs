//! A child process of this same program, and how it is asked.
use crate::roles::Role;
use scale_fleet::counts::Report;
use scale_fleet::usage::{self, Usage};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// A running child; it ends with this.
pub struct Played {
    pub name: String,
    process: Child,
    to: ChildStdin,
    from: BufReader<ChildStdout>,
}

impl Played {
    pub fn start(name: &str, role: &Role) -> Result<Self, String> {
        let fault = |e: &dyn std::fmt::Display| format!("starting {name}: {e}");
        let text = sonic_rs::to_string(role).map_err(|e| fault(&e))?;
        let program = std::env::current_exe().map_err(|e| fault(&e))?;
        let mut command = Command::new(program);
        command.args(["--role", &text]).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::inherit());
        let mut process = command.spawn().map_err(|e| fault(&e))?;
        let (to, from) = (process.stdin.take(), process.stdout.take());
        let (to, from) = to.zip(from).ok_or_else(|| fault(&"no pipes"))?;
        Ok(Played { name: name.into(), process, to, from: BufReader::new(from) })
    }

    /// Says a word and waits for the answer.
    pub fn ask(&mut self, word: &str) -> Result<Report, String> {
        let fault = |e: &dyn std::fmt::Display| format!("asking {} to {word}: {e}", self.name);
        writeln!(self.to, "{word}").and_then(|_| self.to.flush()).map_err(|e| fault(&e))?;
        let mut line = String::new();
        self.from.read_line(&mut line).map_err(|e| fault(&e))?;
        sonic_rs::from_str(&line).map_err(|e| fault(&e))
    }

    pub fn usage(&self) -> Usage {
        usage::of(self.process.id()).unwrap_or_default()
    }

    /// Ends it at once, as a machine that fails.
    pub fn end(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Played {
    fn drop(&mut self) {
        self.end();
    }
}
