//! A control replica: the replication protocol with its threads, its disk and its connections. Programs that run one
//! supply listeners, a data directory and a lister of model servers.

pub mod directory;
pub mod disk_thread;
pub mod event_loop;
mod handle;
pub mod listing;
pub mod log_store;
pub mod operator_api;
mod peer_connections;
mod request_trace;
pub mod segment;
mod store;
mod watermark;

use chain_replication::control_replica::ControlReplica;
use chain_replication::message::PeerMessage;
use chain_replication::recovery::StartError;
use chain_replication::step::RecoveredDisk;
use chain_replication::view::{Member, MemberAddress};
use disk_thread::{ReopeningStore, UnusableLog};
use event_loop::ReplicaHandle;
use fleet_common::rpc::{Request, Response};
use fleet_common::{frame, hash, ring};
use listing::ReplicaLister;
use log_store::OpenError;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a control replica is started with.
pub struct StartOptions {
    /// This member's id and addresses.
    pub address: MemberAddress,
    /// The initial members, the same list for all that found a cluster together.
    pub seeds: Vec<MemberAddress>,
    /// Found a new cluster if the disk is empty and this member is one of the seeds.
    pub found_cluster: bool,
    /// Members announce themselves and leave by themselves. Otherwise operators keep the membership list.
    pub self_registering: bool,
    /// The data directory of the log.
    pub data: PathBuf,
    /// How many members may be lost at once together with their disks.
    pub tolerance: u32,
    /// What to do where the log is damaged or of another release.
    pub unusable_log: UnusableLog,
    /// How the listing of model servers is fetched.
    pub lister: Box<dyn ReplicaLister>,
    /// Accepts connections of other members.
    pub peer_listener: TcpListener,
    /// Accepts connections of nodes.
    pub node_listener: TcpListener,
}

/// Starts a control replica on its disk. From here on it serves members and nodes; the calling program serves
/// operators, with [`operator_api::respond`] or otherwise. The error says why the disk cannot be used.
/// ```
/// use control_server::{StartOptions, leave, listing::PlatformLister, start};
/// use std::{net::TcpListener, sync::Arc, time::Duration};
/// let listen = || TcpListener::bind("127.0.0.1:0").unwrap();
/// let (chain, node) = (listen(), listen());
/// let at = |l: &TcpListener| l.local_addr().unwrap().to_string().into();
/// let address = chain_replication::view::MemberAddress { id: 1, peers: at(&chain), nodes: at(&node), operators: "".into() };
/// let data = std::env::temp_dir().join(format!("coursebend-start-{}", std::process::id()));
/// let lister = Box::new(PlatformLister(Arc::new(fleet_common::Rcu::new(None))));
/// let seeds = vec![address.clone()];
/// let driver = start(StartOptions {
///     address, seeds, found_cluster: true, self_registering: true, data, tolerance: 0, lister,
///     unusable_log: control_server::disk_thread::UnusableLog::Fail,
///     peer_listener: chain, node_listener: node,
/// }).unwrap();
/// assert_eq!(driver.role().as_deref(), Some("head"));
/// leave(&driver, Duration::ZERO);
/// ```
pub fn start(start: StartOptions) -> Result<Arc<ReplicaHandle>, String> {
    let StartOptions {
        address: me,
        mut seeds,
        found_cluster: found,
        self_registering: open,
        data,
        tolerance,
        unusable_log,
        lister: listing,
        peer_listener: chain,
        node_listener: node,
    } = start;
    if open {
        seeds.sort_by_key(|seed| seed.id);
    }
    let mut may_found = found && seeds.iter().any(|seed| seed.id == me.id);
    let known = seeds.clone();
    let make = move |now: Duration, found: RecoveredDisk| -> Result<ControlReplica, StartError> {
        let incarnation = found.hard_state.as_ref().map_or(0, |meta| meta.incarnation);
        let core = ControlReplica::start(now, Member { id: me.id, incarnation }, seeds.clone(), found)?;
        let core = core.with_process_id(hash::unique_id());
        Ok(if open { core.with_announced_address(me.clone()) } else { core })
    };
    let check = make.clone();
    let disk = ReopeningStore::open(
        unusable_log,
        Box::new(move || {
            // A disk that had a log once is founded on no more, though it is emptied while this process runs.
            may_found &= !log_store::is_initialized(&data);
            let opened = log_store::open(&data, may_found.then_some(tolerance), &known);
            may_found &= opened.is_err();
            let (store, found) = opened?;
            check(Duration::ZERO, found.clone()).map_err(|error| OpenError::Damaged(error.to_string()))?;
            Ok((Box::new(store) as _, found))
        }),
    );
    let disk = disk.map_err(|fault| fault.to_string())?;
    let (polls, polled) = crossbeam::channel::unbounded();
    let driver = Arc::new(event_loop::start(disk, Box::new(make), polls));
    let inbox = driver.clone();
    frame::serve(chain, move |sent: PeerMessage| {
        inbox.receive(sent);
        None::<Response>
    });
    let inbox = driver.clone();
    frame::serve(node, move |ask: Request| Some(inbox.request(ask)));
    listing::spawn(driver.clone(), listing, polled);
    Ok(driver)
}

/// Has a control replica leave the chain, and waits until the others go on without it or `bound` is over.
/// ```no_run
/// # fn example(driver: &control_server::event_loop::ReplicaHandle) {
/// control_server::leave(driver, std::time::Duration::from_secs(4));
/// # }
/// ```
pub fn leave(driver: &ReplicaHandle, bound: Duration) {
    driver.leave();
    let until = Instant::now() + bound;
    while driver.in_chain() && Instant::now() < until {
        std::thread::sleep(LEAVE_POLL_INTERVAL);
    }
    if driver.in_chain() {
        ring::info(
            "shutting down while still in the chain: too few members have the complete log, or no majority is reachable",
        );
    }
}
