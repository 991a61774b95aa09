//! Helpers for tests and benches: they start the project's programs on loopback and check their results.

// Each test and bench uses only some of these items.
#![allow(dead_code, unused_imports)]

mod cluster;
mod fake_server;
mod ledger;
mod ownership_check;
mod processes;

pub use {
    cluster::{Answer, Cluster, ClusterPlan, Host, Standin, StandinPlan},
    fake_server::{good_answer, FakeServer, Script},
    ledger::{
        assert_one_owner, move_span, owner_of, schema, serves, serves_all, start_ledger, start_ledger_on,
        KEYS, WAIT_TIMEOUT,
    },
    ownership_check::{longest_gap, overlaps, Tenure},
    processes::wait_until,
};
