//! Plays one case of the second review against processes of the system.
//!
//! `review-case NAME FOLDER`; exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. `TROUBLE=0` leaves the disruption out.

mod booked_twice;
mod cut_event;
mod engine;
mod http;
mod json;
mod revoked_key;
mod site;
mod stage_answers;
mod store;

use std::path::Path;
use std::process::ExitCode;

use crate::site::Verdict;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = args.as_slice() else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let played = match name.as_str() {
        "booked-twice" => booked_twice::run(folder),
        "cut-event" => cut_event::run(folder),
        "revoked-key" => revoked_key::run(folder),
        "stage-answers" => stage_answers::run(folder),
        _ => Err(std::io::Error::other("no case of this name")),
    };
    let (code, text) = match played {
        Ok(Verdict::Held(text)) => (0, format!("held: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
        Ok(Verdict::NotRun(text)) => (2, format!("could not run: {text}")),
        Err(e) => (2, format!("could not run: {e}")),
    };
    println!("{text}");
    let file = std::fs::File::options()
        .append(true)
        .create(true)
        .open(folder.join("record.txt"));
    if let Ok(mut file) = file {
        use std::io::Write;
        let _ = writeln!(file, "result {text}");
    }
    ExitCode::from(code)
}
