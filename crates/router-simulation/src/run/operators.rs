//! Operators' actions in a run: disabling and enabling servers, draining and resuming routers.

use super::Run;
use super::routers::{RouterProcess, Runtime};
use crate::executor::Time;
use crate::fault_plan::{MILLI, OperatorAction, PlannedAction};
use load_balancer::{AdminOverride, OverrideSource, ServerId};
use std::rc::Rc;

impl Run {
    pub(super) fn schedule_operator_actions(self: &Rc<Self>) {
        for &PlannedAction {
            action,
            at,
            duration,
        } in &self.plan.operator_actions
        {
            self.at(at, move |run| match action {
                OperatorAction::DisableServer(server) => run.disable_server(server, duration),
                OperatorAction::DrainRouter(router) => run.drain_router(router, duration),
            });
        }
    }

    /// Disables a server at every router, restarts it, and enables it again at the end of
    /// `duration`.
    fn disable_server(self: &Rc<Self>, server: usize, duration: Time) {
        self.set_override(server, true);
        self.after(duration / 3, move |run| run.servers[server].kill(false));
        self.after(duration * 2 / 3, move |run| {
            run.start_server(server, 20 * MILLI);
        });
        self.after(duration, move |run| run.set_override(server, false));
    }

    /// Sets an override at every router. A router that does not run applies the stored override
    /// when it starts.
    fn set_override(self: &Rc<Self>, server: usize, is_disabled: bool) {
        let id = ServerId::from(self.servers[server].name.as_str());
        for router in &self.routers {
            let mut overrides = router.overrides.borrow_mut();
            overrides.insert(id.clone(), is_disabled);
            drop(overrides);
            apply_override(router, &id, is_disabled);
            self.simulation
                .checker
                .borrow_mut()
                .server_override_changed(self.now(), router.number, server, is_disabled);
        }
    }

    /// Drains a router, and resumes it at the end of `duration`.
    fn drain_router(self: &Rc<Self>, router: usize, duration: Time) {
        let runtime = self.routers[router].runtime.borrow().clone();
        if let Some(runtime) = runtime {
            runtime.drain_router();
        }
        self.after(duration, move |run| {
            let runtime = run.routers[router].runtime.borrow().clone();
            if let Some(runtime) = runtime {
                runtime.resume_router();
            }
        });
    }
}

fn apply_override(router: &RouterProcess, server: &ServerId, is_disabled: bool) {
    let runtime = router.runtime.borrow();
    let Some(runtime) = &*runtime else { return };
    let is_known = if is_disabled {
        runtime.disable_server(&server.0)
    } else {
        runtime.enable_server(&server.0)
    };
    // A router that does not know the server yet rejects the command, and applies the override
    // later.
    if !is_known {
        let admin_override = admin_override(is_disabled, runtime);
        let source = OverrideSource::OtherProcess;
        runtime.apply_admin_overrides([(server.clone(), admin_override)], source);
    }
}

/// Applies the overrides that the previous process of a router stored.
pub(super) fn restore_overrides(router: &RouterProcess, runtime: &Runtime) {
    let overrides = router.overrides.borrow().clone().into_iter();
    let overrides =
        overrides.map(|(server, is_disabled)| (server, admin_override(is_disabled, runtime)));
    runtime.apply_admin_overrides(overrides, OverrideSource::StateFile);
}

fn admin_override(is_disabled: bool, runtime: &Runtime) -> AdminOverride {
    match is_disabled {
        true => AdminOverride::Disabled,
        false => AdminOverride::EnabledAt(runtime.now()),
    }
}
