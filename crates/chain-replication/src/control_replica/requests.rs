//! Requests of operators and nodes. Only a tail under its lease answers what holds; only the head takes commands; the
//! others say where to go.
use super::ControlReplica;
use crate::pending::PendingMembers;
use crate::step::Output;
use crate::view::MemberAddress;
use control_state::command::CommandRequest;
use control_state::outcome::{ACCEPTED_CODE, Outcome};
use fleet_common::rpc::{CONTROL_MEMBERS, Request, Response, SOURCES, SetMembersRequest};

/// The query that every replica answers of itself.
const SELF_QUERY: &str = "self";
/// The answer of which nobody can say whether the request took effect.
const UNKNOWN: &str = "unknown";

/// An operator may not ask for fewer control machines.
const MIN_CONTROL_MACHINES: usize = 3;
/// The codes of rejected lists of control machines, after HTTP.
const BAD_REQUEST: u16 = 400;
const CONFLICT: u16 = 409;

impl ControlReplica {
    pub(super) fn respond(&mut self, token: u64, response: Response) {
        self.outputs.push(Output::Respond { token, response });
    }

    pub(super) fn respond_json(&mut self, token: u64, json: String) {
        self.respond(token, Response::Json(json.into_bytes().into()));
    }

    pub(super) fn respond_outcome(&mut self, token: u64, outcome: &Outcome) {
        match sonic_rs::to_string(outcome) {
            Ok(json) => self.respond_json(token, json),
            Err(error) => {
                let reason = format!("the outcome cannot be encoded: {error}");
                self.respond(token, Response::Unavailable(reason.into()));
            }
        }
    }

    pub(super) fn respond_unknown(&mut self, token: u64) {
        self.respond(token, Response::Rejected(UNKNOWN.into()));
    }

    /// Sends whoever asks to another replica, or nowhere where none is known that could answer.
    pub(super) fn redirect(&mut self, token: u64, to: Option<u32>) {
        let other = to.filter(|id| *id != self.me.id);
        let address = other.and_then(|id| self.hard_state.view.address(id));
        let nodes = address.map(|address| address.nodes.clone()).unwrap_or_default();
        self.respond(token, Response::Redirect(nodes));
    }

    fn head_id(&self) -> Option<u32> {
        self.hard_state.view.head().map(|head| head.id)
    }

    pub(super) fn tail_id(&self) -> Option<u32> {
        self.hard_state.view.tail().map(|tail| tail.id)
    }

    pub(super) fn on_request(&mut self, token: u64, request: Request) {
        match request {
            Request::Pull(pull) if self.holds_lease() => self.on_pull(token, pull),
            Request::Pull(_) => self.redirect(token, self.tail_id()),
            Request::Query(text) => self.on_query(token, text.as_str()),
            Request::Command(bytes) => self.on_command(token, bytes.as_slice()),
            Request::SetMembers(wanted) => self.on_set_members(token, &wanted),
            _ => self.respond(token, Response::Rejected("not a core's to answer".into())),
        }
    }

    fn on_query(&mut self, token: u64, text: &str) {
        if text == SELF_QUERY {
            self.respond_json(token, self.self_status_json());
        } else if self.holds_lease() && self.replicator.state_is_synced() {
            self.respond_json(token, self.query(text));
        } else if self.can_redirect(token) {
            self.redirect(token, self.tail_id());
        }
    }

    fn on_command(&mut self, token: u64, bytes: &[u8]) {
        if !self.can_redirect(token) {
            return;
        }
        if !self.takes_commands() {
            return self.redirect(token, self.head_id());
        }
        if self.is_overloaded() {
            return self.redirect(token, None);
        }
        if self.observations().chain_is_broken() {
            let reason = "a link of the chain fails, and no other order of the chain was agreed on yet";
            return self.respond(token, Response::Unavailable(reason.into()));
        }
        match CommandRequest::decode(bytes) {
            Some(request) => self.take_command(Some(token), &request),
            None => self.respond(token, Response::Rejected("command cannot be read".into())),
        }
    }

    fn takes_commands(&self) -> bool {
        self.is_head() && !self.health.disk_failed
    }

    /// A replica that hears no majority may have been left behind by a newer view: where it would send whoever asks may
    /// be wrong, and it says so.
    fn can_redirect(&mut self, token: u64) -> bool {
        let hears_majority = self.hears_majority();
        if !hears_majority {
            self.respond(token, Response::Unavailable("no majority of the voters is heard".into()));
        }
        hears_majority
    }

    /// A new list of control machines: wanted from now on, answered once a view has it.
    fn on_set_members(&mut self, token: u64, wanted: &SetMembersRequest) {
        if !self.can_redirect(token) {
            return;
        }
        if !self.takes_commands() {
            return self.redirect(token, self.head_id());
        }
        let view = &self.hard_state.view;
        if wanted.expected_view != view.number {
            return self.reject_members(token, CONFLICT, "another view holds");
        }
        let addresses: Option<Vec<MemberAddress>> =
            wanted.members.as_str().split(',').map(MemberAddress::parse).collect();
        let Some(addresses) = addresses else {
            return self.reject_members(token, BAD_REQUEST, "a list of id@chain/node/http is wanted");
        };
        if addresses.len() < MIN_CONTROL_MACHINES {
            return self.reject_members(token, BAD_REQUEST, "at least three cores are wanted");
        }
        if addresses == view.addresses.items() {
            return self.respond_members_set(token, "nothing to change");
        }
        if let Some(older) = self.pending_members.replace(PendingMembers { token, addresses }) {
            self.reject_members(older.token, CONFLICT, "another list came after");
        }
    }

    fn reject_members(&mut self, token: u64, code: u16, detail: &str) {
        self.respond_outcome(token, &self.members_outcome(code, detail));
    }

    pub(super) fn respond_members_set(&mut self, token: u64, detail: &str) {
        self.respond_outcome(token, &self.members_outcome(ACCEPTED_CODE, detail));
    }

    /// What came of a request for another list of control machines; its version is the view's number.
    fn members_outcome(&self, code: u16, detail: &str) -> Outcome {
        Outcome {
            code,
            source: SOURCES[CONTROL_MEMBERS].into(),
            version: self.hard_state.view.number,
            detail: detail.into(),
        }
    }
}
