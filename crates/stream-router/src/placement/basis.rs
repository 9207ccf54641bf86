//! What a placement was decided by, so that it is not used after that has changed: between the decision and the first byte
//! to the replica the router may wait for a connection.
use super::Placement;
use crate::request_context::RequestContext;
use control_state::command::ReplicaInfo;
use control_state::fleet::Fleet;
use fleet_common::rpc::VersionVector;

/// What a placement was decided by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementBasis {
    /// The versions of the fleet's sources.
    fleet_versions: VersionVector,
    service: String,
    tenant: Option<String>,
    cache_scope: String,
}

impl PlacementBasis {
    pub(super) fn of(fleet: &Fleet, context: &RequestContext) -> Self {
        PlacementBasis {
            fleet_versions: fleet.versions,
            service: context.service.clone(),
            tenant: context.tenant.clone(),
            cache_scope: context.cache_scope.clone(),
        }
    }
}

impl Placement {
    /// Whether the placement still stands by this version of the fleet: the request is for the same service, tenant and
    /// cache scope, and the replica is listed as it was.
    pub fn still_stands(&self, fleet: &Fleet, context: &RequestContext) -> bool {
        let basis = &self.basis;
        if basis.fleet_versions == fleet.versions {
            return true;
        }
        let is_same_request = basis.service == context.service
            && basis.tenant == context.tenant
            && basis.cache_scope == context.cache_scope;
        is_same_request && self.is_listed(fleet)
    }

    /// Whether the replica is listed under its address for the service, and takes requests.
    fn is_listed(&self, fleet: &Fleet) -> bool {
        let is_same = |replica: &ReplicaInfo| {
            replica.id == self.replica
                && replica.service == self.basis.service
                && replica.at.parse() == Ok(self.address)
                && !replica.leaving
        };
        fleet.replicas.iter().any(is_same)
    }
}
