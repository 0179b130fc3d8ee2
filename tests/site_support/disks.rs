//! Control processes whose disks can be made full while they run.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

use rustix::process::{Pid, Resource, Rlimit, prlimit};

use super::Site;

impl Site {
    /// Restarts the control instance of a machine so that its disk can be filled. Its output goes
    /// through a pipe, which takes lines while its disk is full.
    pub fn restart_control_with_limited_disk(&mut self, machine: u8) {
        let name = format!("control-{machine}");
        self.kill(&name);
        // The ignored signal is inherited, so a write beyond the limit fails with an error.
        let mut child = Command::new("sh")
            .arg("-c")
            .arg("trap '' XFSZ; exec \"$0\" run \"$1\"")
            .arg(env!("CARGO_BIN_EXE_lilacspindled"))
            .arg(self.folder.join(format!("{name}.ini")))
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let path = self.folder.join(format!("{name}.log"));
        std::thread::spawn(move || {
            let options = std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(path);
            let mut log = options.unwrap();
            for line in lines.map_while(Result::ok) {
                if writeln!(log, "{line}").is_err() {
                    return;
                }
            }
        });
        self.processes.insert(name, child);
    }

    /// Makes the disk of a control instance refuse every write, or accept writes again.
    pub fn set_disk_full(&self, machine: u8, full: bool) {
        self.limit_files(machine, full.then_some(0));
    }

    /// Limits the length of the files that a control instance writes.
    pub fn limit_files(&self, machine: u8, bytes: Option<u64>) {
        let id = self.process_id(&format!("control-{machine}"));
        let id = Pid::from_raw(i32::try_from(id).unwrap());
        let limit = Rlimit {
            current: bytes,
            maximum: None,
        };
        prlimit(id, Resource::Fsize, limit).unwrap();
    }
}
