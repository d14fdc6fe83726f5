//! Tests of the daemon as a process.

#![allow(clippy::expect_used, clippy::panic)]

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Lines;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// The grace period in the settings.
const GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Writes a settings file that names a store address on which nothing listens. Returns it and the
/// IP address of the daemon and of its store.
fn write_settings(name: &str, last_octet: u8) -> (PathBuf, String) {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = format!("127.{}.{low}.{last_octet}", 1 + high % 250);
    let text = format!(
        "[instance]\nname = {name}\nzone = a\ncallers = {ip}:7001\nready = {ip}:7002\n\
         locate = {ip}:7003\npeers = {ip}:7004\nmetrics = {ip}:7005\n\
         [store]\naddress = {ip}:7006\n[stop]\ngrace-s = 1\n"
    );
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    fs::write(&file, text).expect("a settings file");
    (file, ip)
}

fn daemon(file: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthdeal-gateway"));
    command.arg("--settings").arg(file).stdin(Stdio::null());
    command
}

/// Starts the daemon. Returns its process and the lines of its log.
fn start(file: &PathBuf) -> (Child, Lines<BufReader<ChildStdout>>) {
    let mut command = daemon(file);
    let mut child = command.stdout(Stdio::piped()).spawn().expect("a process");
    let out = child.stdout.take().expect("its output");
    (child, BufReader::new(out).lines())
}

/// The last log lines of a shutdown used to be lost when the process ended before the writer
/// lines, which leaves an operator without any line about the shutdown.
#[test]
fn a_shutdown_is_logged_to_its_end() {
    for n in 0..5 {
        let (file, _) = write_settings(&format!("stop-{n}"), 10 + n);
        let (mut child, mut lines) = start(&file);
        let first = lines.next().expect("a line").expect("text");
        assert!(first.contains("started"), "{first}");
        kill_process(Pid::from_child(&child), Signal::TERM).expect("a process of ours");
        let rest: Vec<String> = lines.map(|l| l.expect("text")).collect();
        assert!(child.wait().expect("an end").success());
        assert!(rest.iter().any(|l| l.contains("\"stopped\"")), "{rest:#?}");
    }
}

/// Guards against a stop that waits for a store that does not answer, and then outlasts the grace
/// period.
#[test]
fn a_silent_store_does_not_delay_a_stop() {
    let (file, ip) = write_settings("silent-store", 30);
    // The kernel accepts connections, and nothing reads them.
    let _store = TcpListener::bind((ip.as_str(), 7006)).expect("a free address");
    let (mut child, mut lines) = start(&file);
    lines.next().expect("a line").expect("text");
    let began = Instant::now();
    kill_process(Pid::from_child(&child), Signal::TERM).expect("a process of ours");
    assert!(child.wait().expect("an end").success());
    let took = began.elapsed();
    assert!(took < GRACE_PERIOD, "{took:?}");
}

/// Guards against a stop that a further signal cuts short, and against a request that is closed
/// without an answer because its body has not arrived by the end.
#[test]
fn a_request_without_its_body_is_refused_before_the_end_whatever_signals_come() {
    let (file, ip) = write_settings("no-body", 31);
    let (mut child, mut lines) = start(&file);
    lines.next().expect("a line").expect("text");
    let mut caller = TcpStream::connect((ip.as_str(), 7001)).expect("a connection");
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf";
    caller.write_all(head.as_bytes()).expect("a written head");
    for signal in [Signal::TERM, Signal::HUP, Signal::TERM, Signal::INT] {
        kill_process(Pid::from_child(&child), signal).expect("a process of ours");
    }
    let mut response = String::new();
    caller.read_to_string(&mut response).expect("a response");
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    let rest: Vec<String> = lines.map(|l| l.expect("text")).collect();
    assert!(child.wait().expect("an end").success());
    assert!(rest.iter().any(|l| l.contains("\"stopped\"")), "{rest:#?}");
}

#[test]
fn the_check_option_validates_settings_without_serving() {
    let (file, _) = write_settings("check", 20);
    let checked = daemon(&file).arg("--check").output().expect("a process");
    assert!(checked.status.success());
    fs::write(&file, "[instance]\nname = check\n").expect("a settings file");
    let checked = daemon(&file).arg("--check").output().expect("a process");
    assert!(!checked.status.success());
    let stderr = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert!(stderr.contains("zone"), "{stderr}");
}
