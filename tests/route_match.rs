//! Routes: the longest prefix applies, and calls are shared by weight.

use clementinefold::{
    clock::Ms,
    route::WeightedRoundRobin,
    schema::{Route, RouteTarget, Routes, Schema},
};

fn route(name: &str, host: &str, path_prefix: &str, weights: &[f64]) -> Route {
    let targets = weights.iter().enumerate().map(|(i, weight)| RouteTarget {
        service: format!("service-{i}"),
        weight: *weight,
    });
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        idempotent: true,
        timeout: Ms(1000),
        objective: Ms(100),
        attempts: 2,
        priority: 5,
        targets: targets.collect(),
        large_answers: false,
    }
}

#[test]
fn longest_prefix() {
    let routes = Routes::new(vec![
        route("a", "one", "/a/", &[1.0]),
        route("ab", "one", "/a/b/", &[1.0]),
        route("root", "two", "/", &[1.0]),
        route("other", "two", "/a/b/c/", &[1.0]),
    ]);
    let cases = [
        ("one", "/a/", Some("a")),
        ("one", "/a/x", Some("a")),
        ("one", "/a/b", Some("a")),
        ("one", "/a/b/", Some("ab")),
        ("one", "/a/b/c/d", Some("ab")),
        ("one", "/a", None),
        ("one", "/ab/", None),
        ("one", "/", None),
        ("two", "/a/b/x", Some("root")),
        ("two", "/a/b/c/x", Some("other")),
        ("three", "/a/", None),
    ];
    for (host, path, expected) in cases {
        let found = routes.find(host, path).map(|r| r.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

/// After 300 calls the share of each service is within 0.01 of its weight, whatever the phase of the daemon.
#[test]
fn calls_shared_by_weight() {
    let weights: &[&[f64]] = &[
        &[90.0, 10.0],
        &[1.0, 1.0, 1.0],
        &[99.5, 0.5],
        &[0.0, 3.0],
        &[5.0, 0.0],
    ];
    for weights in weights {
        let route = route("r", "one", "/", weights);
        let total: f64 = weights.iter().sum();
        for phase in [0, 1, 50, 99] {
            let mut round_robin = WeightedRoundRobin::new(phase);
            let mut counts = vec![0_u32; weights.len()];
            for _ in 0..300 {
                let service = round_robin.next(&route);
                let i = route.targets.iter().position(|t| t.service == service).unwrap();
                counts[i] += 1;
            }
            for (count, weight) in counts.iter().zip(*weights) {
                let share = f64::from(*count) / 300.0;
                assert!((share - weight / total).abs() <= 0.01, "{weights:?} {counts:?}");
            }
        }
    }
}

#[test]
fn changed_weights_apply() {
    let mut round_robin = WeightedRoundRobin::new(0);
    let before = route("r", "one", "/", &[1.0, 0.0]);
    for _ in 0..100 {
        assert_eq!(round_robin.next(&before), "service-0");
    }
    let after = route("r", "one", "/", &[0.0, 1.0]);
    for _ in 0..100 {
        assert_eq!(round_robin.next(&after), "service-1");
    }
}

/// A schema with an invalid route is refused, and the error has the path of the route.
#[test]
fn bad_routes() {
    let schema = |field: &str, value: &str| {
        let mut route = vec![
            ("name", "\"r\""),
            ("host", "\"one\""),
            ("path_prefix", "\"/a/\""),
            ("timeout_ms", "1000"),
            ("objective_ms", "100"),
            ("attempts", "2"),
            ("targets", r#"[{"service":"s","weight":1}]"#),
        ];
        for (name, text) in &mut route {
            if *name == field {
                *text = value;
            }
        }
        let fields: Vec<String> = route.iter().map(|(n, v)| format!("\"{n}\":{v}")).collect();
        let route = fields.join(",");
        Schema::from_json(&format!(
            r#"{{"cluster":"test","services":[{{"name":"s"}}],"routes":[{{{route}}}]}}"#
        ))
    };
    assert!(schema("", "").is_ok());
    let cases = [
        ("host", "\"One\""),
        ("host", "\"\""),
        ("path_prefix", "\"a/\""),
        ("path_prefix", "\"/a\""),
        ("timeout_ms", "0"),
        ("timeout_ms", "600001"),
        ("objective_ms", "61000"),
        ("attempts", "0"),
        ("attempts", "11"),
        ("targets", "[]"),
        ("targets", r#"[{"service":"t","weight":1}]"#),
        ("targets", r#"[{"service":"s","weight":-1}]"#),
    ];
    for (field, value) in cases {
        let error = schema(field, value).unwrap_err().to_string();
        assert!(error.starts_with("routes[0]."), "{field} {value}: {error}");
    }
}
