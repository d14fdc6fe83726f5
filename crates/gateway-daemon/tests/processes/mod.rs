//! Gateway processes for tests.

use std::fs;
use std::fs::File;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;

use jd_net::lock;
use jd_soak::Fleet;
use jd_soak::ProcessSignal;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// Gateway processes whose settings and logs are in a folder. Those that still run are killed on drop.
pub(crate) struct Processes {
    running: Mutex<Vec<Option<Child>>>,
    starts: Mutex<Vec<u32>>,
    dir: PathBuf,
    more_settings: String,
}

impl Processes {
    /// Processes with further lines in the `[instance]` section of their settings.
    pub(crate) fn new(dir: PathBuf, instances: usize, more_settings: &str) -> Processes {
        Processes {
            running: Mutex::new((0..instances).map(|_| None).collect()),
            starts: Mutex::new(vec![0; instances]),
            dir,
            more_settings: more_settings.into(),
        }
    }

    /// The process of an instance, if it has not ended.
    #[allow(dead_code)]
    pub(crate) fn id(&self, index: usize) -> Option<u32> {
        self.is_running(index)
            .then(|| lock(&self.running)[index].as_ref().map(Child::id))?
    }
}

impl Fleet for Processes {
    fn start(&self, index: usize, settings: &str) {
        let start = {
            let mut starts = lock(&self.starts);
            starts[index] += 1;
            starts[index]
        };
        let file = self.dir.join(format!("{index}.ini"));
        let own = format!("[instance]\n{}", self.more_settings);
        let settings = settings.replacen("[instance]\n", &own, 1);
        fs::write(&file, settings).expect("a settings file");
        let log = self.dir.join(format!("{index}-{start}.log"));
        let log = File::create(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_jacinthdeal-gateway"))
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        lock(&self.running)[index] = Some(child.expect("a process"));
    }

    fn signal(&self, index: usize, signal: ProcessSignal) {
        let signal = match signal {
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Stop => Signal::TERM,
            ProcessSignal::Pause => Signal::STOP,
            ProcessSignal::Resume => Signal::CONT,
            ProcessSignal::Reload => Signal::HUP,
        };
        // The child has not been waited for, so its process ID cannot have been reused.
        if let Some(child) = &lock(&self.running)[index] {
            kill_process(Pid::from_child(child), signal).expect("a process of ours");
        }
    }

    fn peak_bytes(&self, index: usize) -> Option<u64> {
        let process = lock(&self.running)[index].as_ref().map(Child::id)?;
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let kib = line.trim().trim_end_matches(" kB").parse::<u64>().ok()?;
        Some(kib * 1_024)
    }

    fn is_running(&self, index: usize) -> bool {
        let mut running = lock(&self.running);
        let ended = match &mut running[index] {
            Some(child) => child.try_wait().expect("a process of ours").is_some(),
            None => true,
        };
        if ended {
            running[index] = None;
        }
        !ended
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in lock(&self.running).iter_mut().flatten() {
            // Fails if the process has already ended, which is as good.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
