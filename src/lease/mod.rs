//! Leases of sessions: what the daemon may rely on, and what the leader must wait for.

mod config_freshness;
mod daemon_lease;
mod leader_view;
mod session_views;
mod sleep_detector;
mod takeover_waits;

pub use {
    config_freshness::{ConfigAge, ConfigFreshness},
    daemon_lease::DaemonLease,
    leader_view::LeaderView,
    session_views::{Renewal, SessionViews},
    sleep_detector::{ClockVerdict, SleepDetector},
    takeover_waits::TakeoverWaits,
};
