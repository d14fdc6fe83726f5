//! A small deployment: loopback addresses, the store, gateway processes and the record.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;
use crate::store::Store;

/// After this time a case ends its processes and itself.
const LIMIT: Duration = Duration::from_secs(112);

/// The processes that run, for the end at [`LIMIT`].
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// What was sent, answered and run.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        // A record that cannot be written shows as missing.
        let _ = writeln!(file, "{ms:>7} {text}");
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

/// A deployment of a case.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub gateways: Vec<Gateway>,
    /// True if the disruption is left out.
    pub calm: bool,
    net: (u8, u8),
    next_host: u8,
    folder: PathBuf,
}

/// A process of the system. Killed on drop.
pub struct Gateway {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    log: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget(&self.child);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.gateways.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts the store. Writes the record to `record.txt` in `case`.
    pub fn start(case: &Path) -> io::Result<Site> {
        let record = Arc::new(Record {
            file: Mutex::new(File::create(case.join("record.txt"))?),
            began: Instant::now(),
        });
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-case-{pid}"));
        fs::create_dir_all(&folder)?;
        let calm = std::env::var("TROUBLE").is_ok_and(|t| t == "0");
        let net = free_net(pid)?;
        let mut site = Site {
            record,
            store: Arc::new(Store::default()),
            gateways: Vec::new(),
            calm,
            net,
            next_host: 2,
            folder,
        };
        site.store = Store::start(site.store_address())?;
        thread::spawn(end_at_limit);
        let trouble = if calm { "left out" } else { "played" };
        site.record
            .line(&format!("case begins; disruption {trouble}"));
        Ok(site)
    }

    fn store_address(&self) -> SocketAddr {
        SocketAddr::new(self.host(1), 8624)
    }

    fn host(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, last))
    }

    /// A new loopback address with this port.
    pub fn address(&mut self, port: u16) -> SocketAddr {
        let host = self.host(self.next_host);
        self.next_host += 1;
        SocketAddr::new(host, port)
    }

    /// Starts a process of the system with the command and the template of the deploy file.
    pub fn gateway(&mut self, zone: &str, first_start: bool) -> io::Result<()> {
        let ip = self.address(0).ip();
        let n = self.gateways.len() + 1;
        let fields = [
            ("node", format!("edge-{zone}-{n}")),
            ("zone", zone.to_string()),
            ("ip", ip.to_string()),
            ("listen.front", format!("{ip}:8625")),
            ("listen.ready", format!("{ip}:8621")),
            ("listen.directory", format!("{ip}:8620")),
            ("port_range.0", "7740".into()),
            ("limits.cores", "1".into()),
            ("limits.cpu_share", "0.25".into()),
            ("limits.link_mbps", "1000.0".into()),
            ("bootstrap", first_start.to_string()),
            ("platform.addr", self.store_address().to_string()),
            ("bounds.revoke_ms", "5000".into()),
            ("bounds.grace_s", "8".into()),
            ("bounds.retry_ratio", "0.2".into()),
            ("bounds.retry_slack", "58".into()),
            ("bounds.retry_window_s", "10".into()),
        ];
        let mut text = fs::read_to_string("deploy/gateway.ini")?;
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(io::Error::other(
                "the template has a field that is unknown here",
            ));
        }
        let settings = self.folder.join(format!("gateway-{n}.ini"));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("gateway-{n}.log"));
        let child = start_process(&settings, &log)?;
        self.record
            .line(&format!("gateway {n} started, process {}", child.id()));
        self.gateways.push(Gateway {
            child,
            callers: SocketAddr::new(ip, 8625),
            ready: SocketAddr::new(ip, 8621),
            log,
        });
        Ok(())
    }

    /// Waits until all processes say that they are ready.
    pub fn until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(12);
        for gateway in &self.gateways {
            while !gateway.is_ready() {
                if Instant::now() > until {
                    return Err(io::Error::other("a process is not ready after 12 s"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all processes are ready");
        Ok(())
    }

    /// Copies the log lines of all processes that hold one of `words` into the record.
    pub fn record_logs(&self, words: &[&str]) {
        for (n, gateway) in self.gateways.iter().enumerate() {
            let text = fs::read_to_string(&gateway.log).unwrap_or_default();
            for line in text.lines() {
                if words.iter().any(|w| line.contains(w)) {
                    self.record
                        .line(&format!("log of gateway {}: {line}", n + 1));
                }
            }
        }
    }
}

impl Gateway {
    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut conn = Conn::connect(self.ready)?;
            conn.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            conn.send(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(conn.response()?.map_or(0, |r| r.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }
}

fn start_process(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new("target/release/jacinthdeal-gateway")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    PROCESSES.lock().unwrap().push(child.id());
    Ok(child)
}

/// Forgets a process that has ended, so that its number is not used again.
fn forget(child: &Child) {
    PROCESSES.lock().unwrap().retain(|id| *id != child.id());
}

fn end_at_limit() {
    thread::sleep(LIMIT);
    let processes = PROCESSES.lock().unwrap();
    let ids = processes.iter().map(u32::to_string);
    let _ = Command::new("kill").arg("-KILL").args(ids).status();
    println!("could not run: the case took longer than {LIMIT:?}");
    std::process::exit(2);
}

/// The middle bytes of a loopback network on which the store's port is free.
fn free_net(pid: u32) -> io::Result<(u8, u8)> {
    for n in 0..200_u32 {
        let number = pid.wrapping_mul(31).wrapping_add(n * 77);
        let net = (100 + (number >> 8) as u8 % 100, number as u8);
        let probe = Ipv4Addr::new(127, net.0, net.1, 1);
        if TcpListener::bind((probe, 8624)).is_ok() {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free loopback address"))
}

/// The exit code of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}
