//! Admission: which requests are let in. A bounded number is in flight; when more than half of it is, requests of low
//! urgency and tenants over their quota are rejected first.
use std::collections::BTreeMap;

/// Urgencies go from 1 to this.
const MAX_URGENCY: u64 = 9;

/// The requests in flight, by tenant.
#[derive(Clone, Debug, Default)]
pub struct InFlightRequests {
    total: u64,
    tenants: BTreeMap<String, u64>,
}

/// A tenant's quota of the requests in flight, as a weight among those of all tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// The tenant's weight.
    pub weight: u64,
    /// The sum of all tenants' weights.
    pub total_weight: u64,
}

/// A request that asks for admission.
pub struct AdmissionRequest<'a> {
    /// The tenant.
    pub tenant: &'a str,
    /// From 1 to 9, 9 being the most urgent.
    pub urgency: u64,
    /// The tenant's quota.
    pub quota: Quota,
    /// How many requests may be in flight at this router.
    pub limit: u64,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// As many are in flight as may be.
    Full,
    /// What is left is for more urgent requests.
    Urgency,
    /// The tenant is over its quota.
    Quota,
}

impl InFlightRequests {
    /// Admits a request and counts it, or says why not. Half of the limit is anybody's; beyond it a tenant may have at
    /// most one and a half times its quota in flight, and a request needs an urgency that rises with the load.
    pub fn admit(&mut self, request: &AdmissionRequest) -> Result<(), Rejection> {
        if self.total >= request.limit {
            return Err(Rejection::Full);
        }
        let is_crowded = self.total * 2 >= request.limit;
        if is_crowded && self.exceeds_urgency(request) {
            return Err(Rejection::Urgency);
        }
        if is_crowded && self.exceeds_quota(request) {
            return Err(Rejection::Quota);
        }
        self.total += 1;
        *self.tenants.entry(request.tenant.to_string()).or_default() += 1;
        Ok(())
    }

    /// An urgency of u opens (9 + u) / 18 of the limit: the highest opens all of it.
    fn exceeds_urgency(&self, request: &AdmissionRequest) -> bool {
        self.total * 2 * MAX_URGENCY >= request.limit * (MAX_URGENCY + request.urgency)
    }

    /// Three halves of the tenant's quota, but one request at the least.
    fn exceeds_quota(&self, request: &AdmissionRequest) -> bool {
        let in_flight = self.tenants.get(request.tenant).copied().unwrap_or(0);
        let Quota { weight, total_weight } = request.quota;
        in_flight * 2 * total_weight.max(1) >= (request.limit * weight * 3).max(2 * total_weight)
    }

    /// A request of the tenant has ended.
    pub fn release(&mut self, tenant: &str) {
        self.total = self.total.saturating_sub(1);
        if let Some(in_flight) = self.tenants.get_mut(tenant) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.tenants.remove(tenant);
            }
        }
    }

    /// How many requests are in flight.
    pub fn total(&self) -> u64 {
        self.total
    }
}
