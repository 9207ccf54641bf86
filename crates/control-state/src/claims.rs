//! Once-claims: which request may run a once-request, how that ended, and when it may be forgotten.
use crate::command::ClaimStatus;
use crate::effect::{CommandError, CommandResult, Effect};
use crate::state::{CLAIM_MINUTES, CLAIMS_MOST, Claim, MAX_VOIDED_REQUESTS, State, claim_name};

impl State {
    /// A request claims to run. It may when nobody has claimed yet, or when whoever did has not run; a repeated claim of
    /// the request that holds it is granted again.
    pub(crate) fn claim(&mut self, tenant: &str, key: &str, edge: &str, request: &str) -> CommandResult {
        let (name, minute) = (claim_name(tenant, key), self.minutes_passed);
        let Some(claim) = self.claims.get_mut(&name) else {
            return self.first_claim(name, edge, request);
        };
        if claim.request == request && claim.status == ClaimStatus::Claimed {
            return Ok(Effect::Claimed);
        }
        if claim.status != ClaimStatus::NotExecuted {
            return Err(CommandError::ClaimTaken(sonic_rs::to_string(claim).unwrap_or_default()));
        }
        if claim.voided.iter().any(|voided| voided == request) {
            return Err(CommandError::RequestVoided);
        }
        claim.edge = edge.to_string();
        claim.request = request.to_string();
        claim.status = ClaimStatus::Claimed;
        claim.changed_minute = minute;
        Ok(Effect::Claimed)
    }

    fn first_claim(&mut self, name: String, edge: &str, request: &str) -> CommandResult {
        if !self.nodes.contains_key(edge) {
            return Err(CommandError::NoLease);
        }
        if self.claims.len() >= CLAIMS_MOST {
            return Err(CommandError::TooManyClaims);
        }
        let claim = Claim {
            edge: edge.to_string(),
            request: request.to_string(),
            status: ClaimStatus::Claimed,
            changed_minute: self.minutes_passed,
            voided: Vec::new(),
        };
        self.claims.insert(name, claim);
        Ok(Effect::Claimed)
    }

    /// A request says how it ended. That it will not run may come before its claim, which was delayed: it is kept, and the
    /// claim rejected when it comes.
    pub(crate) fn complete_claim(
        &mut self,
        tenant: &str,
        key: &str,
        request: &str,
        status: ClaimStatus,
    ) -> CommandResult {
        let name = claim_name(tenant, key);
        if status == ClaimStatus::NotExecuted {
            self.void_request(&name, request)?;
        }
        let minute = self.minutes_passed;
        match self.claims.get_mut(&name) {
            Some(claim) if claim.request == request && claim.status == ClaimStatus::Claimed => {
                (claim.status, claim.changed_minute) = (status, minute);
                Ok(Effect::ClaimCompleted)
            }
            Some(claim) if claim.request == request && claim.status == status => Ok(Effect::Unchanged),
            Some(_) if status == ClaimStatus::NotExecuted => Ok(Effect::KeptAgainstLateClaim),
            _ => Err(CommandError::OtherClaim),
        }
    }

    /// Remembers that a request will never run.
    fn void_request(&mut self, name: &str, request: &str) -> Result<(), CommandError> {
        if self.claims.len() >= CLAIMS_MOST && !self.claims.contains_key(name) {
            return Err(CommandError::TooManyClaims);
        }
        let never_claimed = Claim {
            edge: String::new(),
            request: request.to_string(),
            status: ClaimStatus::NotExecuted,
            changed_minute: self.minutes_passed,
            voided: Vec::new(),
        };
        let claim = self.claims.entry(name.to_string()).or_insert(never_claimed);
        if claim.voided.iter().any(|voided| voided == request) {
            return Ok(());
        }
        claim.voided.push(request.to_string());
        if claim.voided.len() > MAX_VOIDED_REQUESTS {
            claim.voided.remove(0);
        }
        Ok(())
    }

    /// What an edge had claimed and not completed when its lease expired can only be called unknown.
    pub(crate) fn mark_claims_unknown(&mut self, edge: &str) {
        let minute = self.minutes_passed;
        let is_open = |claim: &&mut Claim| claim.edge == edge && claim.status == ClaimStatus::Claimed;
        for claim in self.claims.values_mut().filter(is_open) {
            (claim.status, claim.changed_minute) = (ClaimStatus::Unknown, minute);
        }
    }

    /// Forgets completed claims whose time is over. One that may still run is kept for as long as it may.
    pub(crate) fn forget_old_claims(&mut self) {
        let minute = self.minutes_passed;
        self.claims
            .retain(|_, claim| claim.status == ClaimStatus::Claimed || minute - claim.changed_minute <= CLAIM_MINUTES);
    }
}
