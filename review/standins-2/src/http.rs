//! HTTP/1.1 over blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The head and the body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the end of the body was marked by its length or its last chunk.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let mut values = pairs.filter(|(n, _)| *n == name);
        values.next().map(|(_, v)| v.to_string())
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read beyond the last message.
#[derive(Debug)]
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        // Fails only on a closed connection.
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        Ok(Conn::new(stream))
    }

    /// Reads more bytes; false at the end.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0_u8; 16 << 10];
        let read = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..read]);
        Ok(read > 0)
    }

    /// Reads a head; none if the connection ends before one.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_string();
                let headers = lines.filter_map(|l| l.split_once(':'));
                let headers = headers.map(|(n, v)| (n.to_string(), v.trim().to_string()));
                return Ok(Some(Message {
                    start,
                    headers: headers.collect(),
                    ..Message::default()
                }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads exactly `len` bytes; fewer if the connection ends.
    fn exactly(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if !self.fill()? {
                break;
            }
        }
        let len = len.min(self.buf.len());
        Ok(self.buf.drain(..len).collect())
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a body into `message`. A response without a length ends with its connection.
    pub fn body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        let chunked = message.header("transfer-encoding").is_some();
        let length = message.header("content-length");
        let length = length.and_then(|l| l.parse::<usize>().ok());
        match (chunked, length) {
            (true, _) => loop {
                let Some(line) = self.line()? else {
                    return Ok(());
                };
                let size = line.split(';').next().unwrap_or("").trim();
                let Ok(size) = usize::from_str_radix(size, 16) else {
                    return Ok(());
                };
                let part = self.exactly(size)?;
                let is_cut = part.len() < size;
                message.body.extend(part);
                if is_cut || self.line()?.is_none() {
                    return Ok(());
                }
                if size == 0 {
                    message.complete = true;
                    return Ok(());
                }
            },
            (false, Some(length)) => {
                message.body = self.exactly(length)?;
                message.complete = message.body.len() == length;
                Ok(())
            }
            (false, None) if is_response => {
                while self.fill()? {}
                message.body = std::mem::take(&mut self.buf);
                Ok(())
            }
            (false, None) => {
                message.complete = true;
                Ok(())
            }
        }
    }

    /// Reads a whole request; none if the connection ends.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut req) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut req, false)?;
        Ok(Some(req))
    }

    /// Reads a whole response; none if the connection ends before its head.
    pub fn response(&mut self) -> io::Result<Option<Message>> {
        let Some(mut res) = self.head()? else {
            return Ok(None);
        };
        if let Err(e) = self.body(&mut res, true) {
            res.complete = false;
            res.headers.push(("x-read-error".into(), e.to_string()));
        }
        Ok(Some(res))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

pub fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|w| w == what)
}

/// Encodes a response with a length.
pub fn response(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn json(body: &str) -> Vec<u8> {
    let kind = [("Content-Type", "application/json".to_string())];
    response("200 OK", &kind, body.as_bytes())
}

/// Serves connections, each in a thread of its own, until the process ends.
pub fn serve(at: SocketAddr, handler: Arc<dyn Fn(Conn) + Send + Sync>) -> io::Result<()> {
    let listener = TcpListener::bind(at)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let spawned = thread::Builder::new()
                .stack_size(512 << 10)
                .spawn(move || handler(Conn::new(stream)));
            drop(spawned);
        }
    });
    Ok(())
}
