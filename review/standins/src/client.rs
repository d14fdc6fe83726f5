//! Calls of clients.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::Message;

/// A connection of a client.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    pub fn open(to: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection {
            writer: stream.try_clone().ok()?,
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and waits for its whole answer; none if the connection ends before it or
    /// `limit` passes.
    pub fn call(&mut self, request: &Message, limit: Duration) -> Option<Message> {
        self.writer.set_read_timeout(Some(limit)).ok()?;
        self.writer.write_all(&request.bytes()).ok()?;
        Message::read(&mut self.reader)
    }
}

/// Sends a request on a connection of its own.
pub fn call(to: SocketAddr, request: &Message, limit: Duration) -> Option<Message> {
    Connection::open(to)?.call(request, limit)
}
