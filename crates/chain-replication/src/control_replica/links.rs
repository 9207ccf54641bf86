//! Telling the others whom this replica hears while a link may fail, and operators which links do.
use super::ControlReplica;
use crate::link_reports;
use crate::message::Message;
use crate::timing::FAILURE_TIMEOUT;
use crate::view::Member;
use std::collections::BTreeSet;

impl ControlReplica {
    /// A replica that hears nobody stood still or is cut off: no link is to blame for that.
    pub(super) fn note_isolation(&mut self) {
        if !self.peers.hears_anyone(self.now) {
            self.listening_since = self.now;
        }
    }

    /// Reports follow heartbeats, so that one that is not understood costs no sign of life.
    pub(super) fn send_link_reports(&mut self, known: &BTreeSet<u32>) {
        if !self.a_link_may_fail() {
            return;
        }
        let report = link_reports::report(self.now, self.listening_since, &self.peers);
        for to in known {
            self.send(*to, Message::LinkReport(report.clone()));
        }
    }

    /// Whether a member of the view is silent to this replica, or one that this replica hears to another. A process that has
    /// just started has not heard everybody yet.
    fn a_link_may_fail(&self) -> bool {
        let has_just_started = self.now.saturating_sub(self.started_at) < FAILURE_TIMEOUT;
        let view = &self.hard_state.view;
        let members = view.chain.items().iter().chain(view.voters.items()).chain(view.spares.items());
        let mut others = members.filter(|member| member.id != self.me.id).map(|member: &Member| member.id);
        let is_silent = |id| !has_just_started && !self.peers.hears_id(self.now, id);
        others.any(|id| is_silent(id) || self.links.is_missed(self.now, id))
    }

    pub(super) fn log_faulty_links(&mut self) {
        let faulty = if self.a_link_may_fail() { self.observations().faulty_links() } else { Vec::new() };
        if faulty == self.logged_faulty_links {
            return;
        }
        let names: Vec<String> = faulty.iter().map(|link| format!("{}-{}", link.0, link.1)).collect();
        self.log_line(match names.is_empty() {
            true => "all links between members that are alive work again".into(),
            false => format!("links that fail between members that are alive: {}", names.join(" ")),
        });
        self.logged_faulty_links = faulty;
    }
}
