//! Leases of sessions: until when a daemon may rely on its lease, and until when the leader must respect it.

mod config_freshness;
mod daemon_lease;
mod evacuation_gate;
mod leader_view;
mod retention_waits;
mod session_views;
mod sleep_detector;
mod takeover_waits;

pub use {
    config_freshness::{ConfigAge, ConfigFreshness},
    daemon_lease::DaemonLease,
    evacuation_gate::{CallStage, EvacuationGate, GateChange, LastEvacuation},
    leader_view::LeaderView,
    retention_waits::RetentionWaits,
    session_views::{Renewal, SessionViews},
    sleep_detector::{ClockVerdict, SleepDetector},
    takeover_waits::TakeoverWaits,
};
