//! Leases of sessions: what the daemon may rely on, and what the leader must wait for.

mod daemon_lease;
mod freshness;
mod leader_view;
mod session_views;
mod sleep_detector;
mod takeover_waits;

pub use {
    daemon_lease::DaemonLease,
    freshness::{ConfigAge, Freshness},
    leader_view::LeaderView,
    session_views::{Renewal, SessionViews},
    sleep_detector::{ClockVerdict, SleepDetector},
    takeover_waits::TakeoverWaits,
};
