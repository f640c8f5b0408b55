//! Answers on connections that a stopping gateway closes while bytes are unread or undelivered.

use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use crate::common;
use crate::planned_stops::millis;
use crate::support::{planned_stop, router, stop_caller, timed_work};

/// Callers of one case.
const CALLERS: u32 = 12;

/// Bytes of a long answer; more than the buffer of a slow caller holds.
const LONG_ANSWER: usize = 512 * 1024;

/// Receive buffer of a slow caller, in bytes.
const SMALL_BUFFER: usize = 16 * 1024;

/// A caller that takes about a second for a long answer.
const SLOW_PACE: stop_caller::ReadPace = stop_caller::ReadPace {
    bytes: 8 * 1024,
    pause: millis(15),
};

/// Requests after the first one on a pipelined connection; more bytes than a gateway reads ahead.
const FOLLOWERS: u32 = 150;

/// What a caller sends after a request and before it has read the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextBytes {
    None,
    /// Whole requests at once.
    Requests,
    /// A request whose body is sent slowly.
    SlowBody,
}

/// Time from the SIGTERM in which requests are sent. A body that goes on after the process has ended
/// resets the connection in any case, so answers before it have to be delivered by then.
const fn send_time(next: NextBytes) -> time::Duration {
    match next {
        NextBytes::None | NextBytes::Requests => millis(3_400),
        NextBytes::SlowBody => millis(1_700),
    }
}

/// Guards against complete answers that a reset takes from the caller, as the gateway closes the
/// connection with unread bytes. Only the first request on a connection is judged: the answer to it
/// says that the connection is closed.
fn slow_readers(next: NextBytes) {
    let mut stop = planned_stop::PlannedStop::start(router::USUAL_GRACE);
    stop.keep_running();
    let gateway = stop.system.ip();
    for number in 0..CALLERS {
        let timing = timed_work::WorkTiming {
            silent: millis(100),
            padding: LONG_ANSWER,
            ..Default::default()
        };
        let request = stop_caller::TimedRequest::new(format!("p{number}"), "/once/1", timing);
        let connection = stop.kept_connection(&request.id);
        let at = stop.stops_at + send_time(next) * number / CALLERS;
        stop.send_later(at, move || {
            vec![read_slowly(connection, gateway, &request, next)]
        });
    }
    stop.finish().check();
}

fn read_slowly(
    mut connection: net::TcpStream,
    gateway: net::IpAddr,
    request: &stop_caller::TimedRequest,
    next: NextBytes,
) -> stop_caller::CallResult {
    let buffer = socket2::SockRef::from(&connection).set_recv_buffer_size(SMALL_BUFFER);
    buffer.expect("a socket option");
    let sent = time::Instant::now();
    let (head, body) = request.text();
    // The connection may have been closed; reading reports that.
    let _written = connection.write_all((head + body).as_bytes());
    let mut result = stop_caller::CallResult::new(gateway, request, (sent, time::Instant::now()));
    result.view.has_successor = next != NextBytes::None;
    let sending = connection.try_clone().expect("a socket");
    let id = request.id.clone();
    let sending = thread::spawn(move || send_next(sending, next, &id));
    result.read(&mut connection, request, SLOW_PACE);
    // Ends the thread that still writes.
    let _closed = connection.shutdown(net::Shutdown::Both);
    sending.join().expect("no panic");
    result
}

fn send_next(mut connection: net::TcpStream, next: NextBytes, id: &str) {
    let timing = timed_work::WorkTiming::default();
    let follower = |number: u32| {
        let id = format!("{id}-next{number}");
        stop_caller::TimedRequest::new(id, "/safe/1", timing).text()
    };
    match next {
        NextBytes::None => {}
        NextBytes::Requests => {
            let texts = (0..FOLLOWERS).map(|number| {
                let (head, body) = follower(number);
                head + body
            });
            let text: String = texts.collect();
            // The gateway closes the connection at some point.
            let _closed = connection.write_all(text.as_bytes());
        }
        NextBytes::SlowBody => {
            let (head, _body) = follower(0);
            let head = head.replace("Content-Length: 2\r\n", "Content-Length: 9000\r\n");
            let mut is_open = connection.write_all(head.as_bytes()).is_ok();
            while is_open {
                thread::sleep(millis(10));
                is_open = connection.write_all(b"x").is_ok();
            }
        }
    }
}

/// Guards against requests that are closed without an answer as their body arrives slowly.
fn slow_bodies() {
    let mut stop = planned_stop::PlannedStop::start(router::USUAL_GRACE);
    stop.keep_running();
    let gateway = stop.system.ip();
    for number in 0..CALLERS * 2 {
        let timing = timed_work::WorkTiming::default();
        let request = stop_caller::TimedRequest::new(format!("b{number}"), "/once/1", timing);
        let mut connection = stop.kept_connection(&request.id);
        let at = stop.stops_at + router::USUAL_GRACE.mul_f64(f64::from(number) / 28.0);
        stop.send_later(at, move || {
            let sent = time::Instant::now();
            let (head, body) = request.text();
            let is_sent = connection.write_all(head.as_bytes()).is_ok();
            for byte in body.as_bytes() {
                thread::sleep(millis(300));
                // The connection may have been closed; reading reports that.
                let _closed = is_sent && connection.write_all(&[*byte]).is_ok();
            }
            let sent = (sent, time::Instant::now());
            let mut result = stop_caller::CallResult::new(gateway, &request, sent);
            result.read(&mut connection, &request, stop_caller::ReadPace::FULL);
            vec![result]
        });
    }
    stop.finish().check();
}

common::cases! {
    slow_reader: slow_readers(NextBytes::None);
    pipelined_requests: slow_readers(NextBytes::Requests);
    slow_next_body: slow_readers(NextBytes::SlowBody);
    slow_body: slow_bodies();
}
