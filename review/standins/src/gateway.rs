//! Gateway processes, started with the command and the template of the deploy file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::Network;
use crate::client;
use crate::http;

/// A gateway process; it ends with this value.
#[derive(Debug)]
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings of an instance; `last` is the last octet of its address.
    pub fn prepare(
        root: &Path,
        folder: &Path,
        network: Network,
        last: u8,
        zone: &str,
        store: SocketAddr,
    ) -> Gateway {
        let [front, ready, locate, peers, metrics] = [(); 5].map(|()| network.free(last));
        let name = format!("edge-{zone}-{last}");
        let text = format!(
            "[instance]\nname = {name}\nzone = {zone}\ncallers = {front}\nready = {ready}\n\
             locate = {locate}\npeers = {peers}\nmetrics = {metrics}\nthreads = 1\n\
             core-share = 0.25\nlink-mbps = 1000.0\nfirst-start = false\n\n\
             [store]\naddress = {store}\n\n\
             [callers]\nanswer-lifetime-ms = 2000\nrevoke-within-ms = 5000\n\n\
             [stop]\ngrace-s = 8\n\n[repeats]\nratio = 0.2\nslack = 58\nwindow-s = 10\n"
        );
        let settings = folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("a settings file");
        Gateway {
            front,
            ready,
            settings,
            log: folder.join(format!("{name}.log")),
            program: root.join("target/release/jacinthdeal-gateway"),
            child: None,
            name,
        }
    }

    pub fn start(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("a log file");
        let mut command = Command::new(&self.program);
        command
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null());
        command
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        self.child = command.spawn().ok();
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Waits until the instance says that it is ready; false if it does not within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let probe = http::request("GET", "/v1/readyz", &[("Host", "ready")], b"");
        while Instant::now() < until {
            let answer = client::call(self.ready, &probe, Duration::from_secs(1));
            if answer.is_some_and(|a| a.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Ends all of these processes at the same moment, as SIGKILL does.
    pub fn kill_all(gateways: &mut [Gateway]) {
        for gateway in gateways.iter_mut() {
            if let Some(child) = &mut gateway.child {
                let _ = child.kill();
            }
        }
        for gateway in gateways {
            gateway.kill();
        }
    }

    /// Ends the process at once, as SIGKILL does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Signals that the platform sends.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Term,
    Stop,
    Continue,
}

impl Gateway {
    pub fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Term => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args([name, &pid]).status();
        }
    }

    /// Waits until the process has ended; false if it has not within `limit`.
    pub fn wait_ended(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if !self.is_running() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}
