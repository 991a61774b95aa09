use {
    super::{Route, RouteLimits, RouteTarget, Routes, Service},
    crate::{
        clock::Ms,
        settings::{checked_number, SettingsError},
        wire::schema as wire,
    },
};

/// Longest timeout of a route, in ms.
const TIMEOUT_MAX_MS: u64 = 600_000;
/// The objective of a route must be less than its timeout plus this time, in ms.
const OBJECTIVE_ABOVE_TIMEOUT_MAX_MS: u64 = 60_000;
/// Maximum number of servers that one attempt may be sent to.
const ATTEMPTS_MAX: u64 = 10;
/// Highest priority.
const PRIORITY_MAX: u64 = 9;
/// Largest weight of a target.
const WEIGHT_MAX: f64 = 1_000_000.0;

/// Checks all routes. Two routes may not have the same host and path prefix.
pub(super) fn routes(file: &wire::SchemaFile, services: &[Service]) -> Result<Routes, SettingsError> {
    let mut list: Vec<Route> = Vec::with_capacity(file.routes.len());
    for (i, decl) in file.routes.iter().enumerate() {
        list.push(route(&format!("routes[{i}]"), decl, services)?);
    }
    let routes = Routes::new(list);
    for pair in routes.list().windows(2) {
        if pair[0].host == pair[1].host && pair[0].path_prefix == pair[1].path_prefix {
            let reason = format!("{:?} and {:?} have the same place", pair[0].name, pair[1].name);
            return Err(SettingsError::field("routes", reason));
        }
    }
    Ok(routes)
}

fn route(path: &str, decl: &wire::RouteDecl, services: &[Service]) -> Result<Route, SettingsError> {
    let field = |name: &str, reason: &str| SettingsError::field(format!("{path}.{name}"), reason);
    let number =
        |name: &str, value: u32, range| checked_number(&format!("{path}.{name}"), Some(value), 0, range);
    if decl.host.is_empty()
        || decl
            .host
            .chars()
            .any(|c| c.is_ascii_uppercase() || c.is_whitespace())
    {
        return Err(field("host", "a host in lower case is needed"));
    }
    let is_prefix = decl.path_prefix.starts_with('/') && decl.path_prefix.ends_with('/');
    if !is_prefix || decl.path_prefix.contains(['?', '#', ' ']) {
        return Err(field(
            "path_prefix",
            "a path that begins and ends with '/' is needed",
        ));
    }
    let timeout = number("timeout_ms", decl.timeout_ms, 1..=TIMEOUT_MAX_MS)?;
    let objective_end = timeout + OBJECTIVE_ABOVE_TIMEOUT_MAX_MS;
    Ok(Route {
        name: decl.name.clone(),
        host: decl.host.clone(),
        path_prefix: decl.path_prefix.clone(),
        idempotent: decl.idempotent,
        timeout: Ms(timeout),
        objective: Ms(number("objective_ms", decl.objective_ms, 0..=objective_end - 1)?),
        attempts: number("attempts", decl.attempts, 1..=ATTEMPTS_MAX)? as u32,
        priority: number("priority", decl.priority, 0..=PRIORITY_MAX)? as u8,
        targets: targets(path, &decl.targets, services)?,
        large_answers: decl.large_answers,
    })
}

fn targets(
    path: &str,
    decls: &[wire::RouteTarget],
    services: &[Service],
) -> Result<Vec<RouteTarget>, SettingsError> {
    let mut targets = Vec::with_capacity(decls.len());
    for (i, decl) in decls.iter().enumerate() {
        let path = format!("{path}.targets[{i}]");
        if !services.iter().any(|s| s.name == decl.service) {
            let reason = format!("there is no service {:?}", decl.service);
            return Err(SettingsError::field(format!("{path}.service"), reason));
        }
        if !(0.0..=WEIGHT_MAX).contains(&decl.weight) {
            let reason = format!("{} is not within 0 to {WEIGHT_MAX}", decl.weight);
            return Err(SettingsError::field(format!("{path}.weight"), reason));
        }
        targets.push(RouteTarget {
            service: decl.service.clone(),
            weight: decl.weight,
        });
    }
    if targets.is_empty() {
        let reason = "at least one target is needed";
        return Err(SettingsError::field(format!("{path}.targets"), reason));
    }
    Ok(targets)
}

/// Returns the limits for callers of routes, if any are declared.
pub(super) fn limits(decl: Option<&wire::RouteLimits>) -> Option<RouteLimits> {
    // Zero means no limit.
    let bytes = |n: u32| if n == 0 { usize::MAX } else { n as usize };
    let time = |ms: u32| if ms == 0 { Ms::MAX } else { ms.into() };
    decl.map(|limits| RouteLimits {
        head_bytes: bytes(limits.head_bytes),
        body_bytes: bytes(limits.body_bytes),
        head: time(limits.head_ms),
        idle: time(limits.idle_ms),
    })
}
