//! HTTP/1.1 messages and a server with a thread for each connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }

    /// The method of a request, or the version of a response.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// The path of a request with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.target().split_once('?')?.1.split('&');
        let mut pairs = pairs.filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// Reads a message; none if the connection ends before or inside it.
    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        let start = read_line(reader)?;
        let mut headers = Vec::new();
        loop {
            let line = read_line(reader)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.trim().to_string(), value.trim().to_string()));
        }
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
                let mut chunk = vec![0; size];
                reader.read_exact(&mut chunk).ok()?;
                message.body.append(&mut chunk);
                read_line(reader)?;
                if size == 0 {
                    return Some(message);
                }
            }
        }
        let length = message
            .header("content-length")
            .and_then(|l| l.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut out = format!("{}\r\n", self.start);
        for (name, value) in &self.headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut out = out.into_bytes();
        out.extend_from_slice(&self.body);
        out
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) | Err(_) => None,
        Ok(_) => line.ends_with('\n').then(|| line.trim_end().to_string()),
    }
}

pub fn response(status: u16, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Message {
    let headers = headers.iter().map(|(n, v)| (n.to_string(), v.to_string()));
    Message {
        start: format!("HTTP/1.1 {status} Status"),
        headers: headers.collect(),
        body: body.into(),
    }
}

pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Message {
    let headers = headers.iter().map(|(n, v)| (n.to_string(), v.to_string()));
    Message {
        start: format!("{method} {target} HTTP/1.1"),
        headers: headers.collect(),
        body: body.into(),
    }
}

/// Serves the connections to an address, each on its own thread, until the process ends.
pub fn serve(address: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("a free address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// Answers the requests of one connection by a function, until either side closes it.
pub fn answer_all(stream: TcpStream, answer: impl Fn(Message) -> Option<Message>) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = Message::read(&mut reader) {
        let Some(response) = answer(request) else {
            return;
        };
        if writer.write_all(&response.bytes()).is_err() {
            return;
        }
    }
}
