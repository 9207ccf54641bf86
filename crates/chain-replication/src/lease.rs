//! The two sides of the tail's lease. A majority of the voters promises to choose no next view for a while; only under
//! such a lease does the tail answer reads, as no newer view can have committed anything meanwhile.
//!
//! Both sides count from monotonic clocks of their own. The tail counts from when it asked, a voter from when it was
//! asked, which is later, and a margin longer: so the tail's lease ends first, though their clocks run apart a little.
use crate::fingerprint::age;
use crate::message::Lease;
use crate::timing::{LEASE_CLOCK_MARGIN, LEASE_RENEWAL_INTERVAL, LEASE_RESTART_MARGIN, TAIL_LEASE};
use crate::view::{Member, View};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// The tail's side: what the voters granted it.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    /// By voter: when the newest request that it granted was sent.
    requested_at: BTreeMap<u32, Duration>,
    /// Tells this process from earlier ones of the same replica.
    pub process: u64,
}

impl HeldLease {
    /// A lease of this process in a view that is asked for now.
    pub fn request(&self, now: Duration, view: u64) -> Lease {
        Lease { view, process: self.process, sent_us: now.as_micros() as u64 }
    }

    /// Whether the voters are to be asked again; if so, it is noted that they are asked now.
    pub fn renew(&mut self, now: Duration, me: u32) -> bool {
        let last = self.requested_at.get(&me);
        if last.is_some_and(|at| now.saturating_sub(*at) < LEASE_RENEWAL_INTERVAL) {
            return false;
        }
        self.requested_at.insert(me, now);
        true
    }

    /// A voter granted what this process asked for.
    pub fn on_grant(&mut self, voter: u32, lease: &Lease) {
        let requested_at = Duration::from_micros(lease.sent_us);
        let newest = self.requested_at.entry(voter).or_default();
        *newest = (*newest).max(requested_at);
    }

    /// Whether a majority of the voters has granted the lease and it has not run out.
    pub fn is_valid(&self, now: Duration, view: &View, me: &Member) -> bool {
        let own_vote = usize::from(view.is_voter(me));
        let is_granted = |requested_at: &Duration| now < *requested_at + TAIL_LEASE;
        let others = self.requested_at.iter().filter(|(voter, at)| **voter != me.id && is_granted(at)).count();
        own_vote + others >= view.majority()
    }

    /// Another view holds: what was granted was of the one before.
    pub fn forget(&mut self) {
        self.requested_at.clear();
    }

    /// Feeds what decides later steps to `hasher`.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        for (voter, requested_at) in &self.requested_at {
            (voter, age(now, *requested_at, TAIL_LEASE)).hash(hasher);
        }
        self.process.hash(hasher);
    }
}

/// A voter's side: until when it promised to choose no next view.
#[derive(Clone, Debug)]
pub struct GrantedLease {
    until: Duration,
    /// The process of the tail that was granted the lease last.
    to_process: Option<u64>,
    /// Until then a grant that an earlier process of this voter gave and forgot may hold.
    forgotten_until: Duration,
}

impl GrantedLease {
    /// Whatever this replica granted before it stopped must have run out first.
    pub fn after_restart(now: Duration) -> Self {
        let forgotten_until = now + TAIL_LEASE + LEASE_RESTART_MARGIN;
        GrantedLease { until: forgotten_until, to_process: None, forgotten_until }
    }

    /// Grants what the tail asked for.
    pub fn grant(&mut self, now: Duration, lease: &Lease) {
        self.until = self.until.max(now + TAIL_LEASE + LEASE_CLOCK_MARGIN);
        self.to_process = Some(lease.process);
    }

    /// Whether a next view may not be chosen yet.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until
    }

    /// The tail gave its lease back. Only the process that was granted it last can: a message of an earlier one may have
    /// been on its way for long.
    pub fn on_end(&mut self, lease: &Lease) {
        if self.to_process == Some(lease.process) {
            self.until = self.forgotten_until;
        }
    }

    /// A newer view holds, so no tail of an older one has a lease. Only a grant that an earlier process of this voter
    /// gave and forgot may be of the new view.
    pub fn on_new_view(&mut self) {
        self.until = self.forgotten_until;
        self.to_process = None;
    }

    /// Feeds what decides later steps to `hasher`.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        (self.until.saturating_sub(now), self.forgotten_until.saturating_sub(now), self.to_process).hash(hasher);
    }
}
