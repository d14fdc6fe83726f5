//! The daemon as a process.

#![allow(clippy::expect_used, clippy::panic)]

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// Settings of an instance whose store is not there.
fn settings(name: &str, last: u8) -> PathBuf {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = format!("127.{}.{low}.{last}", 1 + high % 250);
    let text = format!(
        "[instance]\nname = {name}\nzone = a\ncallers = {ip}:7001\nready = {ip}:7002\n\
         locate = {ip}:7003\npeers = {ip}:7004\nmetrics = {ip}:7005\n\
         [store]\naddress = {ip}:7006\n[stop]\ngrace-s = 1\n"
    );
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    fs::write(&file, text).expect("a settings file");
    file
}

fn daemon(file: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthdeal-gateway"));
    command.arg("--settings").arg(file).stdin(Stdio::null());
    command
}

/// An operator looks for why an instance was gone and finds no line of its stop:
/// the process had ended before the thread that writes had come to it.
#[test]
fn a_stop_is_logged_to_its_end() {
    for n in 0..5 {
        let file = settings(&format!("stop-{n}"), 10 + n);
        let mut child = daemon(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let out = child.stdout.take().expect("its output");
        let mut lines = BufReader::new(out).lines();
        let first = lines.next().expect("a line").expect("text");
        assert!(first.contains("started"), "{first}");
        kill_process(Pid::from_child(&child), Signal::TERM).expect("a process of ours");
        let rest: Vec<String> = lines.map(|l| l.expect("text")).collect();
        assert!(child.wait().expect("an end").success());
        assert!(rest.iter().any(|l| l.contains("\"stopped\"")), "{rest:#?}");
    }
}

#[test]
fn settings_can_be_checked_without_running() {
    let file = settings("check", 20);
    let checked = daemon(&file).arg("--check").output().expect("a process");
    assert!(checked.status.success());
    fs::write(&file, "[instance]\nname = check\n").expect("a settings file");
    let checked = daemon(&file).arg("--check").output().expect("a process");
    assert!(!checked.status.success());
    let said = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert!(said.contains("zone"), "{said}");
}
