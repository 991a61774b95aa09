//! Starts the programs of the project on loopback and checks what they did, for tests and benches.

// Each test and bench uses a part of it.
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
