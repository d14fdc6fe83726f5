//! Requests that their head decides, whose bodies are not kept.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::Harness;
use crate::fakes::Reply;

/// The size of bodies over the limit, in bytes.
const TOO_LARGE: usize = 64 << 20;
/// Timeout of a test, which is far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Intervals in which a gateway reports what bodies take, and how many of them a test observes.
const REPORT_INTERVAL: Duration = Duration::from_millis(600);
const REPORTS: usize = 3;

fn connect(callers: SocketAddr) -> TcpStream {
    let client = TcpStream::connect(callers).expect("a connection");
    let timeout = client.set_read_timeout(Some(TEST_TIMEOUT));
    timeout.expect("a timeout");
    client
}

/// Sends a head and returns all that follows.
fn response_to(callers: SocketAddr, head: &str) -> String {
    let mut client = connect(callers);
    client.write_all(head.as_bytes()).expect("a written head");
    let mut response = String::new();
    client.read_to_string(&mut response).expect("a response");
    response
}

/// Reads a response with a length.
fn read_response(client: &mut TcpStream) -> String {
    let mut response = String::new();
    let mut buf = [0; 1024];
    loop {
        let read = client.read(&mut buf).expect("a response");
        response.push_str(&String::from_utf8_lossy(&buf[..read]));
        let Some((head, body)) = response.split_once("\r\n\r\n") else {
            continue;
        };
        let mut lines = head.lines();
        let length = lines.find_map(|l| l.strip_prefix("content-length: "));
        if length.and_then(|l| l.parse().ok()) == Some(body.len()) || read == 0 {
            return response;
        }
    }
}

/// Guards against refusals that wait for a body, and against clients that are asked for a body that is
/// not read.
#[test_case("POST /none/x", "key: key-1\r\ncontent-length: 4000000", "404"; "no route")]
#[test_case("POST /any/x", "content-length: 4000000", "401"; "no credential")]
#[test_case("POST /any/x", "key: key-1\r\ncontent-length: 67108864", "413"; "too large")]
#[test_case("POST /any/x", "key: key-1\r\ncontent-length: 67108864\r\nexpect: 100-continue", "413"; "too large and expecting")]
#[test_case("POST /none/x", "key: key-1\r\ncontent-length: 9\r\nexpect: 100-continue", "404"; "no route and expecting")]
fn a_request_is_refused_by_its_head(line: &str, headers: &str, status: &str) {
    let harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    block_on(harness.until_ready(true));
    let head = format!("{line} HTTP/1.1\r\nhost: desk.example\r\nid: 1\r\n{headers}\r\n\r\n");
    let response = response_to(harness.caller_address(), &head);
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    assert!(response.contains("connection: close"), "{response}");
}

/// Guards against clients that send a large body whole and read nothing before, whose refusal is lost
/// with their connection.
#[test]
fn a_client_that_sends_the_largest_body_gets_its_refusal() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    block_on(harness.until_ready(true));
    let mut client = connect(harness.caller_address());
    let head = "POST /none/x HTTP/1.1\r\nhost: desk.example\r\nid: 1\r\nkey: key-1\r\n\
                content-length: 4194304\r\n\r\n";
    client.write_all(head.as_bytes()).expect("a written head");
    let body = vec![b'x'; 4 << 20];
    client.write_all(&body).expect("a written body");
    let mut response = String::new();
    client.read_to_string(&mut response).expect("a response");
    assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
}

/// Guards against small requests that are refused and lose their connection.
#[test_case("content-length: 5", "body1"; "with a length")]
#[test_case("transfer-encoding: chunked", "5\r\nbody1\r\n0\r\n\r\n"; "in chunks")]
fn a_small_request_that_is_refused_keeps_its_connection(framing: &str, body: &str) {
    let harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    block_on(harness.until_ready(true));
    let mut client = connect(harness.caller_address());
    for (path, status) in [("none", "404"), ("any", "200")] {
        let head = format!(
            "POST /{path}/x HTTP/1.1\r\nhost: desk.example\r\nid: 1\r\nkey: key-1\r\n{framing}\r\n\r\n"
        );
        client.write_all(head.as_bytes()).expect("a written head");
        // Simulates a body that arrives after its head.
        thread::sleep(Duration::from_millis(50));
        client.write_all(body.as_bytes()).expect("a written body");
        let response = read_response(&mut client);
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
    }
}

/// Guards against a body over the limit whose bytes are kept, or that holds its connection for ever.
#[test]
fn a_body_that_turns_out_too_large_is_refused() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    block_on(harness.until_ready(true));
    let mut client = connect(harness.caller_address());
    let mut reader = client.try_clone().expect("a handle");
    let reading = thread::spawn(move || {
        let mut response = String::new();
        // A reset ends the response as well.
        let _ = reader.read_to_string(&mut response);
        response
    });
    let head = "POST /any/x HTTP/1.1\r\nhost: desk.example\r\nid: 1\r\nkey: key-1\r\n\
                transfer-encoding: chunked\r\n\r\n";
    client.write_all(head.as_bytes()).expect("a written head");
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    let sent = (0..TOO_LARGE / 0x10000).take_while(|_| client.write_all(chunk.as_bytes()).is_ok());
    assert!(sent.count() < TOO_LARGE / 0x10000, "all was read");
    let response = reading.join().expect("a reader");
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
}

/// Guards against a forwarded body that is kept although its request is not taken.
#[test]
fn the_body_of_a_forwarded_request_that_is_not_taken_is_not_kept() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    block_on(harness.until_ready(true));
    let mut client = connect(harness.peer_addresses()[0]);
    let names = ["age-ms", "runs", "excused-runs", "counted"];
    let told: String = names.map(|n| format!("jd-forward-{n}: 0\r\n")).concat();
    // A later version than any that is in force.
    let head = format!(
        "POST /any/x HTTP/1.1\r\nhost: desk.example\r\nid: 1\r\nkey: key-1\r\n{told}\
         jd-forward-version: 99\r\ncontent-length: 4194304\r\n\r\n"
    );
    client.write_all(head.as_bytes()).expect("a written head");
    let body = vec![b'x'; 4 << 20];
    let (most, last) = body.split_at(body.len() - 1);
    client.write_all(most).expect("a written body");
    for _ in 0..REPORTS {
        thread::sleep(REPORT_INTERVAL);
        let kept = block_on(harness.counter_total("jd_gateway_body_bytes "));
        assert_eq!(kept, 0);
    }
    client.write_all(last).expect("a written body");
    let response = read_response(&mut client);
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
}
