//! What each command does to the state, or why it is refused.
use crate::command::Command;
use crate::state::{Duty, Key, State};
use fleet_common::ask::{BLUEPRINT, CONFIGURATION, DUTIES, KEYS, MEMBERS, REPLICAS, WEIGHTS};

pub(crate) type Ruling = Result<String, (u16, String)>;

pub(crate) fn no(code: u16, detail: impl ToString) -> Ruling {
    Err((code, detail.to_string()))
}

impl State {
    pub(crate) fn source_of(command: &Command) -> Option<usize> {
        match command {
            Command::Blueprint { .. } | Command::Weights { .. } | Command::Back => Some(BLUEPRINT),
            Command::Configure { .. } => Some(CONFIGURATION),
            Command::NameWeights { .. } => Some(WEIGHTS),
            Command::KeyAdd { .. } | Command::KeyWithdraw { .. } => Some(KEYS),
            Command::Listing { .. } => Some(REPLICAS),
            Command::Join { .. } | Command::Lapse { .. } => Some(MEMBERS),
            Command::DutyTake { .. } | Command::DutyGive { .. } => Some(DUTIES),
            Command::Claim { .. } | Command::Settle { .. } | Command::Minute => None,
        }
    }

    pub(crate) fn rule(&mut self, command: &Command) -> Ruling {
        let done = |what: &str| Ok(what.to_string());
        let same = || Ok("nothing to change".to_string());
        match command {
            Command::Blueprint { blueprint } => {
                self.before = self.blueprint.replace(blueprint.clone());
                done("blueprint replaced")
            }
            Command::Weights { model, weights } => {
                let before = self.blueprint.clone();
                let row = self.blueprint.as_mut().and_then(|b| b.models.get_mut(model));
                let Some(row) = row else {
                    return no(404, format!("no model {model}"));
                };
                row.weights = weights.clone();
                self.before = before;
                done("weights named")
            }
            Command::Back => match self.before.take() {
                Some(before) => {
                    self.before = self.blueprint.replace(before);
                    done("the blueprint before holds again")
                }
                None => no(404, "there was no blueprint before"),
            },
            Command::Configure { over, change } => self.configure(*over, change),
            Command::NameWeights { model, revision } => self.name_weights(model, *revision),
            Command::KeyAdd { key, tenant } => {
                if !self.blueprint.as_ref().is_some_and(|b| b.tenants.contains_key(tenant)) {
                    return no(404, format!("no tenant {tenant}"));
                }
                match self.keys.get(key) {
                    Some(held) if held.withdrawn => no(409, "a withdrawn key never comes back"),
                    Some(held) if held.tenant != *tenant => no(409, "the key is another tenant's"),
                    Some(_) => same(),
                    None => {
                        self.keys.insert(key.clone(), Key { tenant: tenant.clone(), withdrawn: false });
                        done("key added")
                    }
                }
            }
            Command::KeyWithdraw { key } => match self.keys.get_mut(key) {
                None => no(404, "no such key"),
                Some(held) if held.withdrawn => same(),
                Some(held) => {
                    held.withdrawn = true;
                    done("key withdrawn")
                }
            },
            Command::Listing { replicas } if *replicas == self.replicas => same(),
            Command::Listing { replicas } => {
                self.replicas = replicas.clone();
                done("listing replaced")
            }
            Command::Join { node, member } if self.members.get(node) == Some(member) => same(),
            Command::Join { node, member } => {
                self.members.insert(node.clone(), member.clone());
                done("joined")
            }
            Command::Lapse { node, incarnation } => {
                if self.members.get(node).is_none_or(|m| m.incarnation != *incarnation) {
                    return same();
                }
                self.members.remove(node);
                // What a lapsed edge had claimed and not settled can only be called unknown.
                self.unknown_claims_of(node);
                done("lapsed")
            }
            Command::DutyTake { replica, node } => self.duty_take(replica, node),
            Command::DutyGive { replica, node, fence } => match self.duties.get_mut(replica) {
                Some(duty) if duty.owner == *node && duty.fence == *fence => {
                    duty.owner.clear();
                    done("given up")
                }
                _ => no(409, "not the holder"),
            },
            Command::Claim { tenant, key, edge, request } => self.claim(tenant, key, edge, request),
            Command::Settle { tenant, key, request, ran } => self.settle(tenant, key, request, *ran),
            Command::Minute => {
                self.minute += 1;
                self.forget_old_claims();
                done("a minute counted")
            }
        }
    }

    fn duty_take(&mut self, replica: &str, node: &str) -> Ruling {
        let Some(taker) = self.members.get(node) else {
            return no(403, "no term is held");
        };
        let (incarnation, holder) = (taker.incarnation, format!("{node}@{}", taker.at));
        let (mut after_lapse, mut moved) = (false, false);
        if let Some(duty) = self.duties.get(replica) {
            after_lapse = !duty.owner.is_empty();
            moved = duty.moved || duty.holder != holder;
            let alive = self.members.get(&duty.owner).is_some_and(|m| m.incarnation == duty.incarnation);
            if duty.owner == node && alive {
                return Ok("nothing to change".into());
            }
            if alive {
                return no(409, format!("{} holds it", duty.owner));
            }
        }
        self.fence += 1;
        let duty = Duty { owner: node.to_string(), incarnation, fence: self.fence, after_lapse, holder, moved };
        self.duties.insert(replica.to_string(), duty);
        Ok(format!("fence {}", self.fence))
    }
}
