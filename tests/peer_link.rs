//! Peer client and server over h2, including failing peers.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::io::ReadExt as _;
use async_std::{net, task};
use futures::future;
use kumquatpulley::connection::peer::PeerLink as _;
use kumquatpulley::connection::{peer, peer_client, peer_server, peer_stream, peer_wire};
use kumquatpulley::process::telemetry::timeline;

const LIMIT: time::Duration = time::Duration::from_millis(300);

#[derive(Debug)]
struct EchoHandler;

impl peer::PeerHandler for EchoHandler {
    fn handle(&self, query: peer_wire::QueryBody) -> future::BoxFuture<'_, peer_wire::ReplyBody> {
        Box::pin(async move {
            match query {
                peer_wire::QueryBody::Probe { router } => {
                    peer_wire::ReplyBody::Alive(router == "echo")
                }
                peer_wire::QueryBody::Call(call) => {
                    let outcome = peer_wire::CallOutcomeWire::Answered {
                        status: 200,
                        content_type: None,
                        body: call.body,
                    };
                    peer_wire::ReplyBody::Call(outcome)
                }
                _ => peer_wire::ReplyBody::Refused("not asked here".to_owned()),
            }
        })
    }
}

struct EchoPeer {
    address: String,
    meter: sync::Arc<peer_stream::PeerMeter>,
    ring: sync::Arc<timeline::EventRing>,
    _stop: stop_token::StopSource,
}

async fn start_echo_peer() -> EchoPeer {
    let listener = net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("no free port");
    let address = listener.local_addr().expect("no address").to_string();
    let stop = stop_token::StopSource::new();
    let ring = sync::Arc::new(timeline::EventRing::new("echo"));
    let meter = sync::Arc::new(peer_stream::PeerMeter::default());
    let service = peer_server::serve_metered(
        listener,
        sync::Arc::new(EchoHandler),
        sync::Arc::clone(&ring),
        stop.token(),
        sync::Arc::clone(&meter),
    );
    task::spawn(service);
    EchoPeer {
        address,
        meter,
        ring,
        _stop: stop,
    }
}

fn client() -> peer_client::PeerClient {
    peer_client::PeerClient::new(sync::Arc::new(timeline::EventRing::new("client")))
}

fn probe() -> peer_wire::QueryBody {
    peer_wire::QueryBody::Probe {
        router: "echo".to_owned(),
    }
}

fn call(body: Vec<u8>) -> peer_wire::QueryBody {
    peer_wire::QueryBody::Call(peer_wire::CallWire {
        key: "key".to_owned(),
        workspace: "choir".to_owned(),
        service: "roster".to_owned(),
        method: "POST".to_owned(),
        path: "/".to_owned(),
        content_type: None,
        body: body.into(),
        first_send: true,
        deadline_millis: 1_000,
    })
}

/// Forwards bytes to a peer. Setting the flag makes existing connections drop all bytes;
/// connections opened later still work.
async fn start_stallable_relay(target: String) -> (String, sync::Arc<atomic::AtomicBool>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("no free port");
    let address = listener.local_addr().expect("no address").to_string();
    let silent = sync::Arc::new(atomic::AtomicBool::new(false));
    let switch = sync::Arc::clone(&silent);
    task::spawn(async move {
        while let Ok((inbound, _)) = listener.accept().await {
            let outbound = net::TcpStream::connect(&target).await;
            let outbound = outbound.expect("no peer behind the relay");
            let muted = sync::Arc::new(atomic::AtomicBool::new(false));
            if !switch.load(atomic::Ordering::Relaxed) {
                let (switch, muted) = (sync::Arc::clone(&switch), sync::Arc::clone(&muted));
                task::spawn(async move {
                    while !switch.load(atomic::Ordering::Relaxed) {
                        task::sleep(time::Duration::from_millis(5)).await;
                    }
                    muted.store(true, atomic::Ordering::Relaxed);
                });
            }
            task::spawn(pump(
                inbound.clone(),
                outbound.clone(),
                sync::Arc::clone(&muted),
            ));
            task::spawn(pump(outbound, inbound, muted));
        }
    });
    (address, silent)
}

async fn pump(
    mut source: net::TcpStream,
    mut sink: net::TcpStream,
    muted: sync::Arc<atomic::AtomicBool>,
) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = source.read(&mut buffer).await {
        if muted.load(atomic::Ordering::Relaxed) {
            continue;
        }
        let written = async_std::io::WriteExt::write_all(&mut sink, &buffer[..count]).await;
        if written.is_err() {
            return;
        }
    }
}

fn is_alive(reply: &peer::Result<peer_wire::ReplyBody>) -> bool {
    matches!(reply, Ok(peer_wire::ReplyBody::Alive(true)))
}

#[test]
fn one_connection_carries_many_queries() {
    task::block_on(async {
        let peer = start_echo_peer().await;
        let client = client();
        for _ in 0..20 {
            assert!(is_alive(&client.ask(&peer.address, probe(), LIMIT).await));
        }
        let opened = peer_stream::PeerMeter::read(&client.meter().connections);
        assert_eq!(opened, 1);
        assert_eq!(peer_stream::PeerMeter::read(&peer.meter.served), 20);
    });
}

#[test]
fn a_connection_is_discarded_after_a_timeout() {
    task::block_on(async {
        let peer = start_echo_peer().await;
        let (address, silent) = start_stallable_relay(peer.address.clone()).await;
        let client = client();
        assert!(is_alive(&client.ask(&address, probe(), LIMIT).await));
        silent.store(true, atomic::Ordering::Relaxed);
        task::sleep(time::Duration::from_millis(50)).await;
        let reply = client.ask(&address, probe(), LIMIT).await;
        assert!(
            matches!(reply, Err(peer::PeerError::NoReply(_))),
            "{reply:?}"
        );
        let reply = client.ask(&address, probe(), LIMIT).await;
        assert!(is_alive(&reply), "{reply:?}");
    });
}

#[test]
fn a_call_does_not_reuse_an_idle_connection() {
    task::block_on(async {
        let peer = start_echo_peer().await;
        let (address, silent) = start_stallable_relay(peer.address.clone()).await;
        let client = client();
        assert!(is_alive(&client.ask(&address, probe(), LIMIT).await));
        silent.store(true, atomic::Ordering::Relaxed);
        task::sleep(peer_client::ONCE_ONLY_IDLE_LIMIT).await;
        let reply = client.ask(&address, call(vec![1]), LIMIT).await;
        assert!(
            matches!(reply, Ok(peer_wire::ReplyBody::Call(_))),
            "{reply:?}"
        );
    });
}

#[test]
fn a_refused_connection_means_that_nothing_was_sent() {
    task::block_on(async {
        let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        drop(listener);
        let reply = client().ask(&address, call(vec![1]), LIMIT).await;
        assert!(
            matches!(reply, Err(peer::PeerError::NotSent(_))),
            "{reply:?}"
        );
    });
}

#[test]
fn a_query_without_a_reply_may_have_arrived() {
    task::block_on(async {
        let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let reply = client().ask(&address, call(vec![1]), LIMIT).await;
        assert!(
            matches!(reply, Err(peer::PeerError::NoReply(_))),
            "{reply:?}"
        );
        drop(listener);
    });
}

#[test]
fn a_peer_that_restarts_is_reached_over_a_new_connection() {
    task::block_on(async {
        let client = client();
        let first = start_echo_peer().await;
        let address = first.address.clone();
        assert!(is_alive(&client.ask(&address, probe(), LIMIT).await));
        drop(first);
        task::sleep(time::Duration::from_millis(100)).await;
        let listener = net::TcpListener::bind(&address).await.unwrap();
        let stop = stop_token::StopSource::new();
        let ring = sync::Arc::new(timeline::EventRing::new("echo"));
        task::spawn(peer_server::serve(
            listener,
            sync::Arc::new(EchoHandler),
            ring,
            stop.token(),
        ));
        assert!(is_alive(&client.ask(&address, probe(), LIMIT).await));
    });
}

#[test]
fn a_body_of_several_megabytes_is_echoed_unchanged() {
    task::block_on(async {
        let peer = start_echo_peer().await;
        let body: Vec<u8> = (0u8..251).cycle().take(4 * 1024 * 1024).collect();
        let limit = time::Duration::from_secs(10);
        let reply = client().ask(&peer.address, call(body.clone()), limit).await;
        let Ok(peer_wire::ReplyBody::Call(peer_wire::CallOutcomeWire::Answered {
            body: echoed,
            ..
        })) = reply
        else {
            panic!("no answer: {reply:?}");
        };
        assert!(echoed.to_vec() == body);
    });
}

#[test]
fn a_message_over_the_size_limit_is_not_sent() {
    task::block_on(async {
        let peer = start_echo_peer().await;
        let body = vec![0; peer_stream::MAX_MESSAGE_BYTES];
        let reply = client().ask(&peer.address, call(body), LIMIT).await;
        let Err(peer::PeerError::NotSent(message)) = reply else {
            panic!("sent: {reply:?}");
        };
        assert!(message.contains("send less"), "{message}");
    });
}

/// Sends raw bytes as a query and returns the message of the refusal.
async fn refusal_of(address: &str, raw: Vec<u8>) -> String {
    use tokio_util::compat::FuturesAsyncReadCompatExt as _;
    let stream = net::TcpStream::connect(address).await.expect("no peer");
    let (mut sender, connection) = h2::client::handshake(stream.compat())
        .await
        .expect("no handshake");
    task::spawn(connection);
    let request = http::Request::post("http://peer/")
        .body(())
        .expect("bad request");
    let (response, mut body) = sender.send_request(request, false).expect("no stream");
    body.send_data(raw.into(), true).expect("no body");
    let mut reply = response.await.expect("no response").into_body();
    let reply = peer_stream::read_body(&mut reply).await.expect("no reply");
    let reply: peer_wire::PeerReply = peer_stream::decode(&reply).expect("bad reply");
    match reply.body {
        peer_wire::ReplyBody::Refused(message) => message,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn malformed_and_oversized_queries_are_refused_with_a_reason_and_counted() {
    task::block_on(async {
        let peer = start_echo_peer().await;
        let message = refusal_of(&peer.address, vec![0xff; 40]).await;
        assert!(message.contains("malformed"), "{message}");
        let message = refusal_of(&peer.address, vec![0; peer_stream::MAX_MESSAGE_BYTES + 1]).await;
        assert!(message.contains("exceeds"), "{message}");
        assert_eq!(peer_stream::PeerMeter::read(&peer.meter.refused), 2);
        assert_eq!(peer_stream::PeerMeter::read(&peer.meter.served), 0);
    });
}

#[test]
fn the_server_clock_advances_past_the_client_stamp() {
    task::block_on(async {
        let peer = start_echo_peer().await;
        let ring = sync::Arc::new(timeline::EventRing::new("client"));
        let ahead = timeline::HybridStamp {
            micros: timeline::wall_micros() + 20_000_000,
            counter: 0,
        };
        ring.observe(ahead);
        let client = peer_client::PeerClient::new(ring);
        assert!(is_alive(&client.ask(&peer.address, probe(), LIMIT).await));
        assert!(peer.ring.stamp() > ahead);
    });
}
