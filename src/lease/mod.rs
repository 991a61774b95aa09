//! Leases of sessions: what the daemon may rely on, and what the leader must wait for.

mod daemon_lease;
mod session_views;

pub use {daemon_lease::DaemonLease, session_views::SessionViews};
