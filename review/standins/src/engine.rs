//! An engine with slots and a short queue. It echoes the id of each request, runs what it has
//! room for, and rejects the rest as not executed.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message, response};
use crate::record::Record;

/// What an engine does with its answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Garble {
    /// Of its answers to requests, one in so many is given a second time, late: at the point
    /// where the next response on the connection is expected. None if it is zero.
    pub one_in: u64,
}

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

#[derive(Debug)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    slots: usize,
    queue: usize,
    work: Duration,
    load: Mutex<Load>,
    freed: Condvar,
    garble: Mutex<Garble>,
    answers: Mutex<u64>,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

/// The runs of all engines: which engines began to work on a request, by its id.
#[derive(Debug, Default)]
pub struct Runs(pub Mutex<HashMap<String, Vec<Run>>>);

#[derive(Debug, Clone)]
pub struct Run {
    pub engine: String,
    pub at: Instant,
}

impl Runs {
    fn add(&self, request: &str, engine: &str) {
        let run = Run {
            engine: engine.into(),
            at: Instant::now(),
        };
        let mut runs = self.0.lock().expect("the runs");
        runs.entry(request.into()).or_default().push(run);
    }

    pub fn of(&self, request: &str) -> Vec<Run> {
        let runs = self.0.lock().expect("the runs");
        runs.get(request).cloned().unwrap_or_default()
    }
}

impl Engine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        (slots, queue, work): (usize, usize, Duration),
        runs: &Arc<Runs>,
        record: &Arc<Record>,
    ) -> Arc<Engine> {
        let engine = Arc::new(Engine {
            id: id.into(),
            address,
            slots,
            queue,
            work,
            load: Mutex::default(),
            freed: Condvar::new(),
            garble: Mutex::default(),
            answers: Mutex::default(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&engine);
        http::serve(address, move |stream| served.serve(stream));
        engine
    }

    pub fn set_garble(&self, garble: Garble) {
        *self.garble.lock().expect("the mode") = garble;
    }

    /// The entry of the engine in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}",
            self.address, self.slots
        )
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut extra: Option<Message> = None;
        while let Some(request) = Message::read(&mut reader) {
            // A late second copy of the answer before stands where this one is expected.
            if let Some(copy) = extra.take() {
                let next = request.header("jacinthdeal-attempt-id").unwrap_or("");
                let of = copy.header("jacinthdeal-attempt-id").unwrap_or("");
                self.record.add(format!(
                    "engine {} gives its answer {} to {of} a second time, where that to {next} is expected",
                    self.id,
                    copy.status()
                ));
                if writer.write_all(&copy.bytes()).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            if writer.write_all(&answer.bytes()).is_err() {
                return;
            }
            extra = self.is_doubled(&request).then_some(answer);
        }
    }

    fn is_doubled(&self, request: &Message) -> bool {
        let one_in = self.garble.lock().expect("the mode").one_in;
        if one_in == 0 || request.header("jacinthdeal-attempt-id").is_none() {
            return false;
        }
        let mut answers = self.answers.lock().expect("the count");
        *answers += 1;
        answers.is_multiple_of(one_in)
    }

    fn answer(&self, request: &Message) -> Message {
        let headers = [("Jacinthdeal-Instance", self.id.as_str())];
        let Some(id) = request.header("jacinthdeal-attempt-id") else {
            return match request.path() {
                "/healthz" => response(200, &headers, ""),
                _ => response(400, &[("Jacinthdeal-Not-Executed", "1")], ""),
            };
        };
        let expected = request.header("jacinthdeal-expect-instance");
        if expected.is_some_and(|e| e != self.id) {
            let echoed = [
                headers[0],
                ("Jacinthdeal-Attempt-Id", id),
                ("Jacinthdeal-Not-Executed", "1"),
            ];
            return response(421, &echoed, "");
        }
        if !self.enter() {
            self.record
                .add(format!("engine {} rejects {id}: full", self.id));
            let echoed = [
                ("Jacinthdeal-Attempt-Id", id),
                ("Jacinthdeal-Not-Executed", "1"),
            ];
            return response(503, &echoed, "");
        }
        self.runs.add(id, &self.id);
        self.record.add(format!("engine {} runs {id}", self.id));
        std::thread::sleep(self.work);
        self.leave();
        let signature = format!("{}.{id}", self.id);
        let echoed = [
            ("Jacinthdeal-Attempt-Id", id),
            ("Jacinthdeal-Signature", signature.as_str()),
        ];
        response(200, &echoed, format!("answer to {id}"))
    }

    /// Waits for a slot; false if the queue is full.
    fn enter(&self) -> bool {
        let mut load = self.load.lock().expect("the load");
        if load.running < self.slots {
            load.running += 1;
            return true;
        }
        if load.waiting >= self.queue {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.slots {
            load = self.freed.wait(load).expect("the load");
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn leave(&self) {
        self.load.lock().expect("the load").running -= 1;
        self.freed.notify_one();
    }
}
