//! The memory for answers that are read whole before they are passed on.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::LazyLock;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use futures_lite::future::block_on;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use test_case::test_case;

use crate::fakes::Harness;
use crate::fakes::Reply;

/// Far more than the buffers of a connection hold.
const ANSWER_BYTES: usize = 4 << 20;
/// How long an upstream pauses after most of its answer, which is longer than a gateway takes to report.
const PAUSE: Duration = Duration::from_millis(2_500);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a test, which is far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// What a client keeps unread in its socket, in bytes.
const CLIENT_BUFFER_BYTES: usize = 64 << 10;
const EVENT_BYTES: usize = 64 << 10;
const LAST_EVENT: &str = "id: 1000\ndata: end\n\n";

static LARGE: LazyLock<String> = LazyLock::new(|| {
    let data = "x".repeat(EVENT_BYTES);
    let events = (1..=ANSWER_BYTES / EVENT_BYTES).map(|n| format!("id: {n}\ndata: {data}\n\n"));
    events.collect()
});
static PARTS: LazyLock<[&'static str; 2]> = LazyLock::new(|| [&LARGE, LAST_EVENT]);

fn held(harness: &Harness) -> u64 {
    block_on(harness.counter_total("jd_gateway_answer_bytes "))
}

fn until_held(harness: &Harness, is_expected: impl Fn(u64) -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let bytes = held(harness);
        if is_expected(bytes) {
            return;
        }
        assert!(Instant::now() < until, "{bytes} bytes are held");
        thread::sleep(POLL_INTERVAL);
    }
}

/// A client that has sent a request and reads nothing yet.
fn client(harness: &Harness, line: &str) -> TcpStream {
    let mut client = TcpStream::connect(harness.caller_address()).expect("a connection");
    let timeout = client.set_read_timeout(Some(TEST_TIMEOUT));
    timeout.expect("a timeout");
    set_socket_recv_buffer_size(&client, CLIENT_BUFFER_BYTES).expect("a buffer");
    let head = format!("{line}\r\nhost: desk.example\r\nid: 1\r\nkey: key-1\r\n\r\n");
    client.write_all(head.as_bytes()).expect("a written head");
    client
}

/// Reads a response up to the last event, and returns its size.
fn read_response(client: &mut TcpStream) -> usize {
    let mut response = Vec::new();
    let mut buf = vec![0; 64 << 10];
    while !response.ends_with(LAST_EVENT.as_bytes()) {
        match client.read(&mut buf).expect("a response") {
            0 => break,
            read => response.extend_from_slice(&buf[..read]),
        }
    }
    response.len()
}

/// Guards against answers that slow clients hold, and that take memory uncounted.
#[test_case("GET /any/x HTTP/1.1"; "with a single answer")]
#[test_case("GET /stream/x HTTP/1.0"; "with a stream in HTTP 1.0")]
fn an_answer_takes_memory_until_its_client_has_read_it(line: &str) {
    let reply = Reply::Stream {
        parts: &*PARTS,
        cut: false,
    };
    let harness = Harness::start(vec![vec![reply]]);
    block_on(harness.until_ready(true));
    let mut client = client(&harness, line);
    until_held(&harness, |bytes| bytes >= ANSWER_BYTES as u64);
    assert!(read_response(&mut client) > ANSWER_BYTES);
    drop(client);
    until_held(&harness, |bytes| bytes == 0);
}

/// Guards against answers that take memory uncounted while they are read.
#[test_case("GET /any/x HTTP/1.1"; "with a single answer")]
#[test_case("GET /stream/x HTTP/1.0"; "with a stream in HTTP 1.0")]
fn an_answer_takes_memory_while_it_is_read(line: &str) {
    let harness = Harness::start(vec![vec![Reply::Pausing(&*PARTS, PAUSE)]]);
    block_on(harness.until_ready(true));
    let mut client = client(&harness, line);
    client.set_nonblocking(true).expect("a mode");
    until_held(&harness, |bytes| bytes >= ANSWER_BYTES as u64);
    let early = client.read(&mut [0; 1]);
    assert!(early.is_err(), "the answer was passed on: {early:?}");
    client.set_nonblocking(false).expect("a mode");
    assert!(read_response(&mut client) > ANSWER_BYTES);
    drop(client);
    until_held(&harness, |bytes| bytes == 0);
}
