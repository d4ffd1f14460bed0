//! Chooses a target over the shared tables.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::fleet::{Unusable, View};
use super::placement::{self, Candidate, Need};
use super::state::State;
use super::window::{LEARN_MEMBERS, cold_allowance};
use crate::names::{ServiceName, TargetId};
use crate::units::Time;

/// Part of a target's connections that all instances together use.
const CONNECTION_PART: f64 = 0.8;
/// Connections to a target that an instance has at least.
const MIN_CONNECTIONS: usize = 2;
/// A target that was chosen, with what the choice rested on.
#[derive(Debug, Clone)]
pub(crate) struct Choice {
    /// The target.
    pub id: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its view at the time.
    pub candidate: Candidate,
    /// Age of its report.
    pub report_age: Option<Duration>,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum NoTarget {
    /// The service has no target that may be used at all.
    #[display("no usable target")]
    None,
    /// No usable target has room in which the request can end within its objective.
    #[display("no room within the objective")]
    Full,
    /// Every target left was tried already.
    #[display("every target was tried")]
    Tried,
}

/// The targets of a service by what keeps them from taking a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Census {
    with_room: usize,
    full: usize,
    cold: usize,
    down: usize,
    evacuated: usize,
    leaving: usize,
}

/// The targets of a service as one request finds them.
#[derive(Debug, Default)]
struct Survey {
    /// Those that may take it.
    ids: Vec<TargetId>,
    /// Their views, in the same order.
    candidates: Vec<Candidate>,
    /// Those that seem to be down.
    down: Vec<TargetId>,
    /// Whether any has no room for now.
    full: bool,
    /// Whether any was tried already.
    tried: bool,
}

impl State {
    /// Chooses a target of a service that is not in `tried` and meets `need`, and
    /// counts the request as in flight there.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        service: &ServiceName,
        need: &Need,
        tried: &[TargetId],
    ) -> Result<Choice, NoTarget> {
        let mut survey = self.survey(now, service, tried);
        let draw = rand::rng().random();
        let chosen = placement::choose(&survey.candidates, need, &self.tuning.placement, draw);
        let id = match chosen {
            Some(index) => survey.ids.swap_remove(index),
            None if !survey.candidates.is_empty() || survey.full => return Err(NoTarget::Full),
            // Nothing else is left: one that seemed down may be back.
            None if !survey.down.is_empty() => {
                let index = rand::rng().random_range(0..survey.down.len());
                survey.down.swap_remove(index)
            }
            None if survey.tried => return Err(NoTarget::Tried),
            None => return Err(NoTarget::None),
        };
        self.begin(now, &id).ok_or(NoTarget::None)
    }

    /// Sorts the targets of a service by whether they may take a request now.
    fn survey(&mut self, now: Time, service: &ServiceName, tried: &[TargetId]) -> Survey {
        let max_connections = self.max_connections(service);
        let cold_bound = self.cold_bound(service);
        let knows_members = now.since(self.started) >= LEARN_MEMBERS;
        let members = &self.members;
        let allowance = |view: &View| {
            if knows_members {
                cold_allowance(cold_bound, members.rank(&view.target.id))
            } else {
                0
            }
        };
        let own_zone = &self.settings.zone;
        let mut survey = Survey::default();
        let (views, evacuated) = self.fleet.of_service(service);
        for view in views {
            let unusable = view.unusable(now, evacuated, allowance);
            let is_tried = tried.contains(&view.target.id);
            match unusable {
                Some(Unusable::Leaving | Unusable::Evacuated) => {}
                Some(Unusable::Cold) => survey.full = true,
                _ if is_tried => survey.tried = true,
                _ if view.is_out_of_connections(max_connections) => survey.full = true,
                Some(Unusable::Down) => survey.down.push(view.target.id.clone()),
                None => {
                    survey.ids.push(view.target.id.clone());
                    survey.candidates.push(view.candidate(now, own_zone));
                }
            }
        }
        survey
    }

    /// How many targets of a service may take a request now, and what keeps the others
    /// from it.
    pub(crate) fn census(&mut self, now: Time, service: &ServiceName) -> Census {
        let settings = self.tuning.placement.clone();
        let own_zone = self.settings.zone.clone();
        let mut census = Census::default();
        let (views, evacuated) = self.fleet.of_service(service);
        for view in views {
            let candidate = view.candidate(now, &own_zone);
            match view.unusable(now, evacuated, |_| 0) {
                Some(Unusable::Leaving) => census.leaving += 1,
                Some(Unusable::Evacuated) => census.evacuated += 1,
                Some(Unusable::Down) => census.down += 1,
                Some(Unusable::Cold) => census.cold += 1,
                None if !placement::has_room(&candidate, &settings) => census.full += 1,
                None => census.with_room += 1,
            }
        }
        census
    }

    fn begin(&mut self, now: Time, id: &TargetId) -> Option<Choice> {
        let own_zone = self.settings.zone.clone();
        let view = self.fleet.get_mut(id)?;
        let choice = Choice {
            id: id.clone(),
            address: view.target.address,
            candidate: view.candidate(now, &own_zone),
            report_age: view.report.map(|report| now.since(report.at)),
        };
        view.in_flight += 1;
        if view.is_cold(now) {
            view.note_cold_send(now);
        }
        Some(choice)
    }

    fn max_connections(&self, service: &ServiceName) -> usize {
        let stated = self
            .replica
            .configuration()
            .and_then(|configuration| configuration.services.get(service))
            .map_or(u32::MAX, |rules| rules.max_connections);
        let part = (f64::from(stated) * CONNECTION_PART / self.instances()).floor();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a u32"
        )]
        let part = part as usize;
        part.max(MIN_CONNECTIONS)
    }

    fn cold_bound(&self, service: &ServiceName) -> f64 {
        let rate = self
            .replica
            .configuration()
            .and_then(|configuration| configuration.services.get(service))
            .map_or(f64::INFINITY, |rules| rules.cold_rate);
        rate * self.settings.cold_factor + self.settings.cold_slack
    }
}
