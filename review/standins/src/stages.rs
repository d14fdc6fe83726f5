//! Engines of stages and the engines that read their results.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::engine::Garble;
use crate::http::{self, Message, response};
use crate::json::{self, quoted};
use crate::record::Record;

/// A piece of a stage of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Piece {
    pub request: String,
    pub phase: u64,
    pub segment: u64,
}

/// What all engines together have made, and what they were given that is of another request.
#[derive(Debug, Default)]
pub struct Results {
    next: AtomicU64,
    made: Mutex<HashMap<String, Piece>>,
    /// When an engine last was at work on a request.
    worked: Mutex<HashMap<String, Instant>>,
    pub foreign: Mutex<Vec<String>>,
    /// The number of pieces that a request has in its first phase; inputs are not checked if 0.
    pieces_of_first: u64,
}

impl Results {
    pub fn new(pieces_of_first: u64) -> Arc<Results> {
        Arc::new(Results {
            pieces_of_first,
            ..Results::default()
        })
    }

    fn note_work(&self, request: &str) {
        let mut worked = self.worked.lock().expect("the work");
        worked.insert(request.into(), Instant::now());
    }

    /// When an engine last was at work on a request or a piece of it; none if none was.
    pub fn last_work(&self, request: &str) -> Option<Instant> {
        self.worked.lock().expect("the work").get(request).copied()
    }

    fn piece(&self, handle: &str) -> Option<Piece> {
        self.made.lock().expect("the results").get(handle).cloned()
    }

    fn report(&self, record: &Record, what: String) {
        record.add(format!("MIXED: {what}"));
        self.foreign.lock().expect("the findings").push(what);
    }

    /// Checks the inputs of a piece or of a request: all pieces of `phase`, each once, and all of
    /// them of the request itself.
    fn check(
        &self,
        record: &Record,
        reader: &str,
        request: &str,
        phase: u64,
        count: u64,
        handles: &[&str],
    ) {
        if self.pieces_of_first == 0 {
            return;
        }
        let mut seen: Vec<Option<Piece>> = handles.iter().map(|h| self.piece(h)).collect();
        let wanted = |segment| Piece {
            request: request.into(),
            phase,
            segment,
        };
        let mut wanted: Vec<Option<Piece>> = (0..count).map(|s| Some(wanted(s))).collect();
        seen.sort();
        wanted.sort();
        if seen != wanted {
            let shown: Vec<String> = seen
                .iter()
                .map(|p| match p {
                    Some(p) => format!("{}/{}/{}", p.request, p.phase, p.segment),
                    None => "unknown".into(),
                })
                .collect();
            self.report(
                record,
                format!(
                    "{reader} of {request} is given the results [{}]",
                    shown.join(", ")
                ),
            );
        }
    }
}

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// An engine of a stage: one call at a time, a queue of two.
#[derive(Debug)]
pub struct StageEngine {
    pub id: String,
    pub address: SocketAddr,
    call: Duration,
    item: Duration,
    load: Mutex<Load>,
    freed: Condvar,
    stored: Mutex<HashMap<String, Instant>>,
    garble: Mutex<Garble>,
    answers: AtomicU64,
    results: Arc<Results>,
    record: Arc<Record>,
}

const QUEUE: usize = 2;
/// `handle_s` of the configuration.
const KEPT: Duration = Duration::from_secs(4);

impl StageEngine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        (call, item): (Duration, Duration),
        results: &Arc<Results>,
        record: &Arc<Record>,
    ) -> Arc<StageEngine> {
        let engine = Arc::new(StageEngine {
            id: id.into(),
            address,
            call,
            item,
            load: Mutex::default(),
            freed: Condvar::new(),
            stored: Mutex::default(),
            garble: Mutex::default(),
            answers: AtomicU64::new(0),
            results: Arc::clone(results),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&engine);
        http::serve(address, move |stream| served.serve(stream));
        engine
    }

    pub fn set_garble(&self, garble: Garble) {
        *self.garble.lock().expect("the mode") = garble;
    }

    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":1,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}",
            self.address
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
                self.record.add(format!(
                    "engine {} gives its answer to /v1/stage-run a second time, where that to {} is expected: {}",
                    self.id,
                    request.path(),
                    String::from_utf8_lossy(&copy.body)
                ));
                if writer.write_all(&copy.bytes()).is_err() {
                    return;
                }
            }
            let mut answer = self.answer(&request);
            // Engines echo the id of a call that has one.
            if let Some(id) = request.header("jacinthdeal-attempt-id") {
                answer
                    .headers
                    .push(("Jacinthdeal-Attempt-Id".into(), id.into()));
            }
            if writer.write_all(&answer.bytes()).is_err() {
                return;
            }
            let is_run = request.path() == "/v1/stage-run" && answer.status() == 200;
            extra = (is_run && self.is_doubled()).then_some(answer);
        }
    }

    fn is_doubled(&self) -> bool {
        let one_in = self.garble.lock().expect("the mode").one_in;
        one_in != 0 && (self.answers.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(one_in)
    }

    fn answer(&self, request: &Message) -> Message {
        let expected = request.header("jacinthdeal-expect-instance");
        if expected.is_some_and(|e| e != self.id) {
            let headers = [
                ("Jacinthdeal-Instance", self.id.as_str()),
                ("Jacinthdeal-Not-Executed", "1"),
            ];
            return response(421, &headers, "");
        }
        match request.path() {
            "/v1/stage-run" => self.run(request),
            "/v1/stage-free" => {
                let body = json::parse(&request.body).unwrap_or(json::Value::Null);
                let mut stored = self.stored.lock().expect("the store");
                for handle in body.get("handles").list() {
                    stored.remove(handle.text());
                }
                response(200, &[("Content-Type", "application/json")], "{}")
            }
            "/v1/report" => {
                let load = self.load.lock().expect("the load");
                let (busy, queued) = (load.running > 0, load.waiting);
                let body = format!("{{\"queued\":{queued},\"busy\":{busy},\"free_mb\":10}}");
                response(200, &[("Content-Type", "application/json")], body)
            }
            _ => response(404, &[], ""),
        }
    }

    fn run(&self, request: &Message) -> Message {
        let body = json::parse(&request.body).unwrap_or(json::Value::Null);
        {
            let mut load = self.load.lock().expect("the load");
            if load.running > 0 && load.waiting >= QUEUE {
                let shown = format!("{},{},1", load.running, load.waiting);
                drop(load);
                let headers = [
                    ("Jacinthdeal-Not-Executed", "1"),
                    ("Jacinthdeal-Load", shown.as_str()),
                ];
                return response(503, &headers, "");
            }
            load.waiting += 1;
            while load.running > 0 {
                load = self.freed.wait(load).expect("the load");
            }
            load.waiting -= 1;
            load.running += 1;
        }
        let items = body.get("items").list();
        std::thread::sleep(self.call + self.item * items.len() as u32);
        let mut answered: Vec<String> = Vec::new();
        for item in items {
            let piece = Piece {
                request: item.get("id").text().into(),
                phase: item.get("phase").number(),
                segment: item.get("segment").number(),
            };
            if piece.phase > 0 {
                let inputs: Vec<&str> =
                    item.get("inputs").list().iter().map(|h| h.text()).collect();
                let reader = format!("piece {}/{}", piece.phase, piece.segment);
                let count = self.results.pieces_of_first;
                self.results
                    .check(&self.record, &reader, &piece.request, 0, count, &inputs);
            }
            self.results.note_work(&piece.request);
            let number = self.results.next.fetch_add(1, Ordering::Relaxed);
            let handle = format!("{}/{:x}", self.address, 0x91bd_0000 + number);
            self.record.add(format!(
                "engine {} makes {handle} for {}/{}/{}",
                self.id, piece.request, piece.phase, piece.segment
            ));
            let mut made = self.results.made.lock().expect("the results");
            made.insert(handle.clone(), piece);
            drop(made);
            let mut stored = self.stored.lock().expect("the store");
            stored.retain(|_, at| at.elapsed() < KEPT);
            stored.insert(handle.clone(), Instant::now());
            answered.push(format!("{{\"handle\":{}}}", quoted(&handle)));
        }
        let shown = {
            let mut load = self.load.lock().expect("the load");
            load.running -= 1;
            format!("{},{},1", load.running, load.waiting)
        };
        self.freed.notify_one();
        let headers = [
            ("Content-Type", "application/json"),
            ("Jacinthdeal-Load", shown.as_str()),
        ];
        response(
            200,
            &headers,
            format!("{{\"items\":[{}]}}", answered.join(",")),
        )
    }
}

/// An engine that answers with a stream of events, from the results of the last phase.
#[derive(Debug)]
pub struct ModelEngine {
    pub id: String,
    pub address: SocketAddr,
    results: Arc<Results>,
    record: Arc<Record>,
    pieces_of_last: u64,
}

impl ModelEngine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        pieces_of_last: u64,
        results: &Arc<Results>,
        record: &Arc<Record>,
    ) -> Arc<ModelEngine> {
        let engine = Arc::new(ModelEngine {
            id: id.into(),
            address,
            results: Arc::clone(results),
            record: Arc::clone(record),
            pieces_of_last,
        });
        let served = Arc::clone(&engine);
        http::serve(address, move |stream| {
            http::answer_all(stream, |request| Some(served.answer(&request)));
        });
        engine
    }

    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}",
            self.address
        )
    }

    fn answer(&self, request: &Message) -> Message {
        let Some(id) = request.header("jacinthdeal-attempt-id") else {
            return response(400, &[("Jacinthdeal-Not-Executed", "1")], "");
        };
        let expected = request.header("jacinthdeal-expect-instance");
        if expected.is_some_and(|e| e != self.id) {
            let headers = [
                ("Jacinthdeal-Attempt-Id", id),
                ("Jacinthdeal-Not-Executed", "1"),
            ];
            return response(421, &headers, "");
        }
        let Some(inputs) = request.header("jacinthdeal-inputs") else {
            let headers = [
                ("Jacinthdeal-Attempt-Id", id),
                ("Jacinthdeal-Not-Executed", "1"),
            ];
            return response(400, &headers, "");
        };
        let handles: Vec<&str> = inputs.split(',').map(str::trim).collect();
        self.results.note_work(id);
        self.record
            .add(format!("engine {} runs {id} on {inputs}", self.id));
        self.results.check(
            &self.record,
            "the request",
            id,
            1,
            self.pieces_of_last,
            &handles,
        );
        let signature = format!("{}.{id}", self.id);
        let headers = [
            ("Jacinthdeal-Attempt-Id", id),
            ("Jacinthdeal-Signature", signature.as_str()),
            ("Content-Type", "text/event-stream"),
        ];
        response(
            200,
            &headers,
            format!("id: 1\ndata: {inputs}\n\nid: 2\ndata: end\n\n"),
        )
    }
}
