//! The project's own relay on loopback: it stands before the cores, reads the fleet's frames as they pass
//! and drops or delays those from one machine to another, each direction by itself.
use chain_replication::message::PeerMessage;
use fleet_common::frame;
use fleet_common::rpc::{Request, Response};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

type Pair = (String, String);

/// Who does not hear whom, and how late everything comes.
#[derive(Clone, Default)]
pub struct Relay {
    cut: Arc<Mutex<BTreeSet<Pair>>>,
    delay_ms: Arc<AtomicU64>,
}

impl Relay {
    /// From now on `to` hears nothing of `from`: cores by `core-N`, nodes by their own names.
    /// ```
    /// let relay = local_fleet::relay::Relay::default();
    /// relay.cut("core-1", "core-2");
    /// assert!(!relay.passes("core-1", "core-2") && relay.passes("core-2", "core-1"));
    /// ```
    pub fn cut(&self, from: &str, to: &str) {
        self.cut.lock().unwrap_or_else(|held| held.into_inner()).insert((from.into(), to.into()));
    }

    /// Neither hears the other.
    /// ```
    /// let relay = local_fleet::relay::Relay::default();
    /// relay.part("core-1", "core-2");
    /// assert!(!relay.passes("core-2", "core-1"));
    /// ```
    pub fn part(&self, a: &str, b: &str) {
        self.cut(a, b);
        self.cut(b, a);
    }

    /// Everybody hears everybody, at once.
    /// ```
    /// let relay = local_fleet::relay::Relay::default();
    /// relay.part("a", "b");
    /// relay.heal();
    /// assert!(relay.passes("a", "b"));
    /// ```
    pub fn heal(&self) {
        self.cut.lock().unwrap_or_else(|held| held.into_inner()).clear();
        self.delay(Duration::ZERO);
    }

    /// All that passes comes so much later.
    /// ```
    /// local_fleet::relay::Relay::default().delay(std::time::Duration::from_millis(20));
    /// ```
    pub fn delay(&self, by: Duration) {
        self.delay_ms.store(by.as_millis() as u64, Ordering::Relaxed);
    }

    /// Whether anything passes.
    /// ```
    /// assert!(local_fleet::relay::Relay::default().passes("a", "b"));
    /// ```
    pub fn passes(&self, from: &str, to: &str) -> bool {
        let pair = (from.to_string(), to.to_string());
        !self.cut.lock().unwrap_or_else(|held| held.into_inner()).contains(&pair)
    }

    fn wait(&self) {
        std::thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
    }

    /// Stands before a core's way in for other cores.
    /// ```
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// local_fleet::relay::Relay::default().before_chain(listener, "127.0.0.1:1".parse().unwrap(), "core-1".into());
    /// ```
    pub fn before_chain(&self, listener: TcpListener, to: SocketAddr, core: String) {
        let relay = self.clone();
        each_stream(listener, move |mut stream| {
            let mut out: Option<TcpStream> = None;
            while let Ok(Some(sent)) = frame::read::<PeerMessage>(&mut stream, "a core") {
                relay.wait();
                if !relay.passes(&format!("core-{}", sent.from), &core) {
                    continue;
                }
                if out.is_none() {
                    out = frame::connect(to, Duration::from_secs(5)).ok();
                }
                if let Some(open) = &mut out
                    && frame::write(open, &sent, &core).is_err()
                {
                    // The sender sees its stream end, as it would without a relay.
                    return;
                }
            }
        });
    }

    /// Stands before a core's way in for nodes. Only pulls say who asks; what else comes from a node
    /// that is cut off is not told apart.
    /// ```
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// local_fleet::relay::Relay::default().before_node(listener, "127.0.0.1:1".parse().unwrap(), "core-1".into());
    /// ```
    pub fn before_node(&self, listener: TcpListener, to: SocketAddr, core: String) {
        let relay = self.clone();
        each_stream(listener, move |mut stream| {
            let mut caller = frame::Client::new(to, Duration::from_secs(5));
            let mut who = String::from("?");
            while let Ok(Some(ask)) = frame::read::<Request>(&mut stream, "a node") {
                relay.wait();
                if let Request::Pull(pull) = &ask {
                    who = pull.node.to_string();
                }
                if !relay.passes(&who, &core) {
                    continue;
                }
                let Ok(answer) = caller.call::<Request, Response>(&ask) else { return };
                if relay.passes(&core, &who) && frame::write(&mut stream, &answer, &who).is_err() {
                    return;
                }
            }
        });
    }
}

fn each_stream(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}
