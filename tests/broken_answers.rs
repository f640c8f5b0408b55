//! Answers that are reset while the request is still being written, cut answers, and answers with an invalid
//! status: no reader of the own interface or of the store takes one for an answer.

mod common;

use std::io::{Read as _, Write as _};
use std::net;
use std::sync;
use std::thread;
use std::time;

use async_std::task;
use kumquatpulley::connection::order_client::OrderSink as _;
use kumquatpulley::connection::platform::PlatformService as _;
use kumquatpulley::connection::{
    engine, engine_wire, order_client, peer_wire, platform_client, platform_wire, service,
};
use kumquatpulley::platform::store_client;
use kumquatpulley::process::gateway::rows;
use kumquatpulley::process::gateway::rows::RowStore as _;

/// Bytes that no socket buffers hold, that they hold in any case, and that fit into one packet.
const LARGE_CONTENT: usize = 32 * 1024 * 1024;
const MIDDLE_CONTENT: usize = 256 * 1024;
const SMALL_CONTENT: usize = 8;

/// Time from the answer to the reset, in which the request fills the sockets.
const RESET_DELAY: time::Duration = time::Duration::from_millis(100);

/// Longest time for a call of a service.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(5);

/// How a server ends its connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// After the whole request was read.
    Orderly,
    /// As the end of a process does, [`RESET_DELAY`] after the answer and with most of the request unread.
    ResetEarly,
}

/// A server that answers one request with `text`.
fn start_server(text: String, end: ConnectionEnd) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    thread::spawn(move || {
        let (mut stream, _peer) = listener.accept().expect("a connection");
        let mut chunk = [0_u8; 1024];
        let _request = stream.read(&mut chunk).expect("a request");
        stream.write_all(text.as_bytes()).expect("sent");
        if end == ConnectionEnd::ResetEarly {
            thread::sleep(RESET_DELAY);
            let linger = socket2::SockRef::from(&stream).set_linger(Some(time::Duration::ZERO));
            linger.expect("a socket option");
            return;
        }
        stream.shutdown(net::Shutdown::Write).expect("open");
        // The client closes the connection when it has read the answer.
        while stream.read(&mut chunk).is_ok_and(|count| count > 0) {}
    });
    address
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerFault {
    Nothing,
    /// No length, and the connection is reset after the body.
    ResetWithoutLength,
    /// Chunks without the last byte and the last chunk, and the connection is reset.
    ResetInChunks,
    /// The last byte is missing.
    CutWithLength,
    /// The last byte and the last chunk are missing.
    CutInChunks,
    /// The status has this text.
    Status(&'static str),
    /// An answer with status 200 follows one with this status and nothing else.
    StatusBefore(&'static str),
}

impl AnswerFault {
    /// The bytes of an answer with `body`, which ends with a line feed.
    fn answer(self, body: &str) -> (String, ConnectionEnd) {
        let (length, whole) = (body.len(), "HTTP/1.1 200 OK\r\n");
        let framed = format!("Content-Length: {length}\r\n\r\n{body}");
        let cut = &body[..length - 1];
        let chunk = format!(
            "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{cut}\r\n",
            cut.len()
        );
        match self {
            Self::Nothing => (format!("{whole}{framed}"), ConnectionEnd::Orderly),
            Self::ResetWithoutLength => (format!("{whole}\r\n{body}"), ConnectionEnd::ResetEarly),
            Self::ResetInChunks => (format!("{whole}{chunk}"), ConnectionEnd::ResetEarly),
            Self::CutWithLength => {
                let cut = &framed[..framed.len() - 1];
                (format!("{whole}{cut}"), ConnectionEnd::Orderly)
            }
            Self::CutInChunks => (format!("{whole}{chunk}"), ConnectionEnd::Orderly),
            Self::Status(status) => {
                let text = format!("HTTP/1.1 {status} X\r\n{framed}");
                (text, ConnectionEnd::Orderly)
            }
            Self::StatusBefore(status) => {
                let text = format!("HTTP/1.1 {status} X\r\n\r\n{whole}{framed}");
                (text, ConnectionEnd::Orderly)
            }
        }
    }
}

/// A reader of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerReader {
    StoreRead,
    StorePut,
    StorePutMatching,
    PlatformRead,
    PlatformWrite,
    PlatformVms,
    ServiceCall,
    EngineStream,
    EngineReport,
    EngineOrder,
}

const ALL_READERS: [AnswerReader; 10] = [
    AnswerReader::StoreRead,
    AnswerReader::StorePut,
    AnswerReader::StorePutMatching,
    AnswerReader::PlatformRead,
    AnswerReader::PlatformWrite,
    AnswerReader::PlatformVms,
    AnswerReader::ServiceCall,
    AnswerReader::EngineStream,
    AnswerReader::EngineReport,
    AnswerReader::EngineOrder,
];

impl AnswerReader {
    /// Body of an answer that the reader accepts.
    const fn body(self) -> &'static str {
        match self {
            Self::StoreRead => "{\"rows\":[],\"ver\":1,\"now_ms\":1,\"has_more\":false}\n",
            Self::StorePut | Self::StorePutMatching | Self::EngineOrder => "{\"ver\":1}\n",
            Self::PlatformRead => "{\"rows\":[null]}\n",
            Self::PlatformWrite => "{\"versions\":[1]}\n",
            Self::PlatformVms => "[]\n",
            Self::ServiceCall => "hello\n",
            Self::EngineStream => {
                "data: {\"index\":0,\"text\":\"a\"}\n\n\
                 data: {\"count\":1,\"finish_reason\":\"stop\"}\n\n"
            }
            Self::EngineReport => "{\"running\":1}\n",
        }
    }

    /// Sends a request that holds `content`, if the reader's requests hold any; returns whether the answer
    /// counts.
    async fn accepts(self, address: &str, content: String) -> bool {
        let store = store_client::StoreClient::new(address.to_owned());
        let platform = platform_client::PlatformClient::new(address.to_owned());
        let topic = rows::RowTopic::Routers;
        match self {
            Self::StoreRead => store.read_all(topic).await.is_ok(),
            Self::StorePut => store.put(topic, "k", content.as_bytes()).await.is_ok(),
            Self::StorePutMatching => {
                let write = rows::RowWrite {
                    topic,
                    key: "k",
                    value: content.as_bytes(),
                    expected: 0,
                };
                store.put_matching(&[write]).await.is_ok()
            }
            Self::PlatformRead => platform.read(vec![content]).await.is_ok(),
            Self::PlatformWrite => {
                let write = platform_wire::RowWrite {
                    key: "k".to_owned(),
                    if_version: None,
                    value: Some(content),
                };
                platform.write(vec![write]).await.is_ok()
            }
            Self::PlatformVms => platform.vms().await.is_ok(),
            Self::ServiceCall => call_service(address, content).await.is_ok(),
            Self::EngineStream => read_stream(address, content).await.is_ok(),
            Self::EngineReport => engine::report(address).await.is_ok(),
            Self::EngineOrder => {
                let model = engine_wire::LoadedModel {
                    model: content,
                    version: "v".to_owned(),
                    adapter: None,
                };
                let wanted = engine_wire::WantedState {
                    loaded: vec![model],
                    role: engine_wire::ROLE_SERVE.to_owned(),
                };
                let order = engine_wire::EngineOrder { fence: 1, wanted };
                order_client::OrderClient
                    .send(address, &order)
                    .await
                    .is_ok()
            }
        }
    }
}

async fn call_service(address: &str, content: String) -> service::Result<service::ServiceAnswer> {
    let call = peer_wire::CallWire {
        key: String::new(),
        workspace: "w".to_owned(),
        service: "s".to_owned(),
        method: "POST".to_owned(),
        path: "/".to_owned(),
        content_type: None,
        body: content.into_bytes().into(),
        first_send: true,
        deadline_millis: 5_000,
    };
    let terms = service::SendTerms {
        send_before: time::Instant::now() + ANSWER_LIMIT,
        gate: sync::Arc::new(service::OpenGate),
        connect_limit: ANSWER_LIMIT,
        answer_limit: ANSWER_LIMIT,
        max_answer_bytes: 1024,
    };
    service::exchange(address, &call, &terms).await
}

/// Reads a stream up to its last event.
async fn read_stream(address: &str, prompt: String) -> engine::Result<()> {
    let request = engine_wire::EngineRequest {
        attempt: "0".repeat(32),
        model: "m".to_owned(),
        version: "v".to_owned(),
        adapter: None,
        prompt,
        prefix: Vec::new(),
        max_tokens: 4,
        priority: engine_wire::PRIORITY_NEW,
    };
    let mut stream = engine::start(address, &request).await?;
    loop {
        let item = stream.next().await?;
        if matches!(
            item,
            engine::EngineItem::Event(engine_wire::EngineEvent::Finished { .. })
        ) {
            return Ok(());
        }
    }
}

/// Which readers take an answer with `fault` for one, to requests with `length` bytes of content.
fn accepting_readers(fault: AnswerFault, length: usize) -> Vec<AnswerReader> {
    let accepts = |reader: &AnswerReader| {
        let (text, end) = fault.answer(reader.body());
        let address = start_server(text, end);
        task::block_on(reader.accepts(&address, "x".repeat(length)))
    };
    ALL_READERS.into_iter().filter(accepts).collect()
}

fn every_reader_accepts_a_whole_answer() {
    let readers = accepting_readers(AnswerFault::Nothing, SMALL_CONTENT);
    assert_eq!(readers, ALL_READERS);
}

/// Guards against a part of an answer, or bytes that are none, that count as an answer.
fn no_reader_accepts(fault: AnswerFault, length: usize) {
    assert_eq!(accepting_readers(fault, length), []);
}

common::cases! {
    whole_answer: every_reader_accepts_a_whole_answer();
    reset_during_an_upload: no_reader_accepts(AnswerFault::ResetWithoutLength, LARGE_CONTENT);
    reset_during_an_upload_that_fits_the_sockets:
        no_reader_accepts(AnswerFault::ResetWithoutLength, MIDDLE_CONTENT);
    reset_after_a_small_request: no_reader_accepts(AnswerFault::ResetWithoutLength, SMALL_CONTENT);
    reset_in_chunks_during_an_upload: no_reader_accepts(AnswerFault::ResetInChunks, LARGE_CONTENT);
    reset_in_chunks: no_reader_accepts(AnswerFault::ResetInChunks, SMALL_CONTENT);
    cut_with_a_length: no_reader_accepts(AnswerFault::CutWithLength, SMALL_CONTENT);
    cut_in_chunks: no_reader_accepts(AnswerFault::CutInChunks, SMALL_CONTENT);
    status_zero: no_reader_accepts(AnswerFault::Status("000"), SMALL_CONTENT);
    status_below_one_hundred: no_reader_accepts(AnswerFault::Status("099"), SMALL_CONTENT);
    status_zero_before_an_answer: no_reader_accepts(AnswerFault::StatusBefore("000"), SMALL_CONTENT);
}
