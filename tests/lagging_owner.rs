//! Forwarded calls that reach a daemon with an older state than the entry daemon's.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{call::Call, route::is_too_old, wire::peer::RouteTerms},
    state_fixture::{key, Fixture, SERVICE},
};

/// A schema with a service that is divided by key and one that is not.
const SCHEMA: &str = r#"{"cluster":"test","services":[
    {"name":"ledger","divided_by_key":true,"boundaries":["m"]},{"name":"desk"}],
    "routes":[{"name":"r","host":"one","path_prefix":"/","timeout_ms":9,"attempts":1,
    "targets":[{"service":"desk","weight":1},{"service":"ledger","weight":1}]}]}"#;

fn call(f: &Fixture, service: &str, key_text: &str, by_route: bool) -> Call {
    Call {
        service: service.into(),
        key: key(key_text).to_bytes(),
        revision: f.state.applied() + 100,
        route: by_route.then(RouteTerms::default),
        ..Call::default()
    }
}

#[test]
fn forwarded_calls_do_not_wait_for_unrelated_changes() {
    let mut f = Fixture::with_hosts(2, true, 100);
    f.apply_schema(SCHEMA);
    f.assign("a", 1);
    f.assign("n", 2);
    let waits = |call: &Call, host| is_too_old(&f.state, Some(f.session(host)), call);
    // Service, key, whether the call came by a route, host, whether the call waits for newer changes.
    let cases = [
        ("desk", "a", true, 1, false),
        (SERVICE, "a", true, 1, false),
        (SERVICE, "a", true, 2, true),
        (SERVICE, "n", true, 2, false),
        ("new", "a", true, 1, true),
        ("desk", "a", false, 1, true),
    ];
    for (service, key_text, by_route, host, expected) in cases {
        let call = call(&f, service, key_text, by_route);
        assert_eq!(
            waits(&call, host),
            expected,
            "{service} {key_text} {by_route} {host}"
        );
        let known = Call {
            revision: f.state.applied(),
            ..call
        };
        assert!(!waits(&known, host));
    }
}
