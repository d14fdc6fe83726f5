//! Engines whose answers are streams of events that last for seconds, and clients that take a
//! broken stream up again.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{self, Message, response};
use crate::record::Record;

/// An engine of one software version. It writes events with increasing ids, and goes on after
/// `Last-Event-Id`. Like the engines of the pages it does not check which version began a stream.
#[derive(Debug)]
pub struct StreamEngine {
    pub id: String,
    pub address: SocketAddr,
    pub version: &'static str,
    born: u64,
    events: u64,
    gap: Duration,
    record: Arc<Record>,
}

impl StreamEngine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        version: &'static str,
        (events, gap): (u64, Duration),
        record: &Arc<Record>,
    ) -> Arc<StreamEngine> {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let engine = Arc::new(StreamEngine {
            id: id.into(),
            address,
            version,
            born: since.map_or(0, |s| s.as_millis() as u64),
            events,
            gap,
            record: Arc::clone(record),
        });
        let served = Arc::clone(&engine);
        http::serve(address, move |stream| served.serve(stream));
        engine
    }

    /// The entry of the engine in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{}\",\
             \"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{}}}",
            self.address, self.version, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = Message::read(&mut reader) {
            let written = match request.path() {
                "/v1/report" => {
                    let body = format!(
                        "{{\"phase\":\"both\",\"models\":[],\"busy\":false,\"seq\":1,\"queued\":0,\
                         \"active\":0,\"kv_used\":0,\"kv_total\":400000,\"handles\":0,\"born\":{}}}",
                        self.born
                    );
                    let headers = [("Content-Type", "application/json")];
                    writer
                        .write_all(&response(200, &headers, body).bytes())
                        .is_ok()
                }
                _ => self.answer(&request, &mut writer),
            };
            if !written {
                return;
            }
        }
    }

    /// False if the connection is closed.
    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let Some(id) = request.header("jacinthdeal-attempt-id") else {
            let rejected = response(400, &[("Jacinthdeal-Not-Executed", "1")], "");
            return writer.write_all(&rejected.bytes()).is_ok();
        };
        if request
            .header("jacinthdeal-expect-instance")
            .is_some_and(|e| e != self.id)
        {
            let headers = [
                ("Jacinthdeal-Attempt-Id", id),
                ("Jacinthdeal-Not-Executed", "1"),
            ];
            return writer
                .write_all(&response(421, &headers, "").bytes())
                .is_ok();
        }
        let after = request
            .header("last-event-id")
            .and_then(|t| t.parse::<u64>().ok());
        let after = after.unwrap_or(0);
        self.record.add(format!(
            "engine {} ({}) runs {id} after event {after}",
            self.id, self.version
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nJacinthdeal-Attempt-Id: {id}\r\nJacinthdeal-Signature: {}.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in after + 1..=self.events {
            std::thread::sleep(self.gap);
            let event = format!("id: {number}\ndata: {} {number}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// What a client has received of one stream in one attempt.
#[derive(Debug, Default)]
pub struct Received {
    pub status: u16,
    /// The id and the software version of each event.
    pub events: Vec<(u64, String)>,
    pub whole: bool,
}

/// Sends a request and reads the events of its answer until its end, or until the connection ends
/// or `until`, or until there are `enough` events; none if no connection could be opened.
pub fn receive(
    to: SocketAddr,
    request: &Message,
    until: Instant,
    enough: usize,
) -> Option<Received> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut received = Received::default();
    if writer.write_all(&request.bytes()).is_err() {
        return Some(received);
    }
    let mut reader = BufReader::new(stream);
    let Some((status, is_chunked)) = read_head(&mut reader) else {
        return Some(received);
    };
    received.status = status;
    if status != 200 || !is_chunked {
        return Some(received);
    }
    let mut text = String::new();
    while received.events.len() < enough
        && let Some(chunk) = read_chunk(&mut reader)
    {
        if chunk.is_empty() {
            received.whole = true;
            break;
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            received.events.extend(read_event(event));
            text = rest.to_string();
        }
    }
    Some(received)
}

fn read_head(reader: &mut impl BufRead) -> Option<(u16, bool)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut is_chunked = false;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return Some((status, is_chunked));
        }
        is_chunked |= line.starts_with("transfer-encoding:") && line.ends_with("chunked");
    }
}

fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let size = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

fn read_event(event: &str) -> Option<(u64, String)> {
    let line = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
    let id = line("id:")?.trim().parse().ok()?;
    let version = line("data:")?.trim().split(' ').next()?;
    Some((id, version.into()))
}
