//! Routers with a fixed configuration and a plain dialect.
use super::replica::Replica;
use fleet_common::hash;
use fleet_common::rpc::{self, SourceUpdate};
use http_streams::framing::{Framing, response_framing};
use http_streams::head::{RequestHead, ResponseHead, parse_response, write_head};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use stream_router::dialect::{Dialect, ForwardInfo, PromptPart, RequestInfo, ResponseInfo, TokenCounts};
use stream_router::phases;
use stream_router::retry_budget::RetryBudgetLimits;
use stream_router::server::{Listeners, start};
use stream_router::settings::{ClientPatience, RouterSettings, ShutdownLimits};
use stream_router::state::RouterState;

const NOBODY: &str = "127.0.0.1:1";

/// Header names as short as can be, so that the files show what the router decides.
struct Plain;

fn prompt_parts(text: &str) -> Vec<PromptPart> {
    let pairs = text.split(',').filter_map(|part| part.split_once(':'));
    pairs.map(|(id, tokens)| PromptPart { id: id.to_string(), tokens: tokens.parse().unwrap() }).collect()
}

impl Dialect for Plain {
    fn parse_request(&self, head: &RequestHead) -> Result<RequestInfo, String> {
        let text = |name: &str| head.headers.get(name).map(str::to_string);
        Ok(RequestInfo {
            id: text("id").ok_or("Id is missing")?,
            time_left: head.headers.get("left").map(|left| Duration::from_millis(left.parse().unwrap())),
            key: text("key"),
            model: text("model").unwrap_or_default(),
            tokens: TokenCounts { prompt: 980, max_output: 20 },
            parts: prompt_parts(head.headers.get("parts").unwrap_or_default()),
            last_event_id: text("after"),
        })
    }

    fn write_request(&self, head: &RequestHead, body: usize, told: &ForwardInfo) -> Vec<u8> {
        assert!(told.time_left <= Duration::from_secs(20));
        let mut out = Vec::new();
        write_head(&mut out, &format!("{} {} HTTP/1.1", head.method, head.target), head.headers.end_to_end());
        let rows = format!(
            "Replica: {}\r\nTenant: {:?}\r\nSalt: {:?}\r\nSource: {:?}\r\nTarget: {:?}\r\nUrgency: {:?}\r\nWeights: {:?}\r\n\
             After: {:?}\r\nContent-Length: {body}\r\n\r\n",
            told.replica,
            told.tenant,
            told.cache_salt,
            told.cache_source,
            told.cache_target,
            told.urgency,
            told.weights,
            told.last_event_id
        );
        out.extend_from_slice(rows.as_bytes());
        out
    }

    fn parse_response(&self, head: &ResponseHead, _: &str) -> ResponseInfo {
        ResponseInfo {
            id: head.headers.get("id").map(str::to_string),
            not_executed: head.headers.get("not-run").is_some(),
            misdirected: head.status == 421,
            sealed: head.headers.get("seal").is_some(),
            ..ResponseInfo::default()
        }
    }

    fn weights_of_event(&self, _: &[u8], _: &str) -> Option<String> {
        None
    }
}

fn setup(agent: SocketAddr) -> RouterSettings {
    RouterSettings {
        name: "e1".into(),
        zone: "z1".into(),
        agent_address: agent,
        gossip_address: "127.0.0.1:0".parse().unwrap(),
        retry_budget: RetryBudgetLimits { ratio: 1.0, allowance: 1000.0, window: Duration::from_secs(10) },
        lease: Duration::from_secs(3),
        older_weights_bound: Duration::from_secs(10).into(),
        superseded_weights_guarantee: Duration::from_secs(11).into(),
        patience: ClientPatience::default(),
        shutdown: ShutdownLimits {
            grace: Duration::from_secs(20),
            withdrawal: Duration::from_secs(3),
            not_ready_answers: 2,
            transit: Duration::from_millis(120),
        },
        body_memory_bytes: 64 << 20,
    }
}

pub fn with_agent(agent: SocketAddr) -> Arc<RouterState> {
    Arc::new(RouterState::new(setup(agent), Box::new(Plain)))
}

/// The configuration as the control replicas send it; PRINT stands for the print of the tenant's key.
const CONFIGURATION: &str = r#"{"revision":1,"keyed":true,"routes":{
"once":{"row":{"host":"h.example","prefix":"/once/","targets":[["s1",1]],"tries":1,"timeout_ms":20000,"rank":2}},
"open":{"row":{"host":"h.example","prefix":"/open/","targets":[["s1",1]],"tries":1,"timeout_ms":20000,"open":true}},
"go":{"row":{"host":"h.example","prefix":"/go/","targets":[["s1",1]],"tries":3,"timeout_ms":20000,"stream":true,"resume":true}}},
"services":{"s1":{"row":{}}},"tenants":{"t1":{"row":{"keys":["PRINT"]}}}}"#;

/// A router without a lease, and one with a lease and nothing else.
pub fn unconfigured() -> (Arc<RouterState>, Arc<RouterState>) {
    let with_lease = with_agent(NOBODY.parse().unwrap());
    with_lease.lease.renew(Instant::now() + Duration::from_secs(60), Duration::ZERO);
    (with_agent(NOBODY.parse().unwrap()), with_lease)
}

/// A router with a lease, the configuration, and replicas at these addresses.
pub fn configured(replicas: &[SocketAddr]) -> Arc<RouterState> {
    let router = unconfigured().1;
    let listed = |(number, at): (usize, &SocketAddr)| {
        format!(r#"{{"id":"r{number}","at":"{at}","model":"m1","district":"z1","leaving":false,"service":"s1"}}"#)
    };
    let listed: Vec<String> = replicas.iter().enumerate().map(listed).collect();
    let source = |source: usize, text: String| SourceUpdate {
        source: source as u8,
        version: 1,
        value: text.into_bytes().into(),
    };
    let news = [
        source(rpc::ROUTE_CONFIG, CONFIGURATION.replace("PRINT", &hash::key_digest("key1"))),
        source(rpc::REPLICAS, format!("[{}]", listed.join(","))),
    ];
    assert!(router.fleet.update(|fleet| fleet.apply_all(&news)));
    router.retry_budget().set_router_count(1);
    (0..200).for_each(|_| router.retry_budget().record_request(Duration::ZERO));
    router
}

/// What a caller gets to one request: a whole response, or what came of it before the connection ended.
pub fn refusal(router: &Arc<RouterState>, request: &str) -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = listener.accept().unwrap().0;
    caller.write_all(request.as_bytes()).unwrap();
    std::thread::scope(|scope| {
        scope.spawn(|| phases::serve_connection(router, stream));
        let response = read_response(&mut caller);
        drop(caller);
        response
    })
}

fn read_response(caller: &mut TcpStream) -> Vec<u8> {
    let (mut bytes, mut buffer) = (Vec::new(), [0u8; 4096]);
    loop {
        if let Some((length, head)) = parse_response(&bytes).unwrap() {
            let (mut rest, mut body) = (bytes[length..].to_vec(), Vec::new());
            let mut framing = response_framing("GET", head.status, &head.headers).unwrap();
            framing.take(&mut rest, &mut body).unwrap();
            if framing == Framing::Ended {
                return bytes;
            }
        }
        match caller.read(&mut buffer) {
            Ok(0) | Err(_) => return bytes,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// The requests that a replica got, with its addresses replaced by names.
pub fn requests(replica: &Replica) -> Vec<u8> {
    let requests: Vec<String> =
        replica.requests().iter().map(|bytes| String::from_utf8(bytes.clone()).unwrap()).collect();
    let text = requests.join("\n----\n");
    text.replace(&replica.at.to_string(), "FIRST").replace(&replica.also_at().to_string(), "SECOND").into_bytes()
}

/// A page of the readiness listener of a router that has no lease.
pub fn page(path: &str) -> Vec<u8> {
    let bind = || TcpListener::bind("127.0.0.1:0").unwrap();
    let (callers, ready, frames) = (bind(), bind(), bind());
    let at = ready.local_addr().unwrap();
    let _started = start(
        setup(NOBODY.parse().unwrap()),
        Box::new(Plain),
        Listeners { clients: callers, readiness: ready, peers: frames },
    );
    let mut caller = TcpStream::connect(at).unwrap();
    caller.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).unwrap();
    caller.shutdown(Shutdown::Write).unwrap();
    let mut bytes = Vec::new();
    caller.read_to_end(&mut bytes).unwrap();
    bytes
}
