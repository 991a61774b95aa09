use {
    super::{route_checks, CallKind, Half, LossPolicy, Schema, Service, ServiceSpan, Split, Warmup, Weights},
    crate::{
        clock::Ms,
        key::{Key, KeyRange},
        settings::{checked_address_list, checked_name, checked_number, SettingsError},
        wire::schema as wire,
    },
};

/// Longest deadline that a schema may allow, in ms.
const DEADLINE_MAX_MS: u64 = 600_000;
/// Highest priority of a kind of call.
const PRIORITY_MAX: u64 = 9;
/// Longest warm-up of a server, in ms.
const WARMUP_MAX_MS: u64 = 600_000;
/// Largest rate of calls that a cold server may be declared to take, in calls a second.
const WARMUP_PER_S_MAX: f64 = 1_000_000.0;
/// Largest weight of a placement measure.
const WEIGHT_MAX: u32 = 100;

/// Checks every field of a schema file.
pub(super) fn check(file: &wire::SchemaFile) -> Result<Schema, SettingsError> {
    let mut services = Vec::with_capacity(file.services.len());
    for (i, decl) in file.services.iter().enumerate() {
        let path = format!("services[{i}]");
        let checked = service(&path, decl, !file.routes.is_empty())?;
        if services.iter().any(|s: &Service| s.name == checked.name) {
            let reason = format!("{:?} is declared twice", checked.name);
            return Err(SettingsError::field(format!("{path}.name"), reason));
        }
        services.push(checked);
    }
    services.sort_by(|a, b| a.name.cmp(&b.name));
    let routes = route_checks::routes(file, &services)?;
    Ok(Schema {
        longest_timeout: routes.list().iter().map(|r| r.timeout).max().unwrap_or_default(),
        routes,
        route_limits: route_checks::limits(file.route_limits.as_ref()),
        cluster: checked_name("cluster", &file.cluster)?,
        split: file
            .split
            .as_ref()
            .map(|decl| split(decl, &services))
            .transpose()?,
        loss: loss(file.loss.as_ref())?,
        services,
    })
}

/// Checks a service. If the schema has routes (`has_routes`), the service needs no kinds of call, since calls may
/// reach it by routes alone.
fn service(path: &str, decl: &wire::ServiceDecl, has_routes: bool) -> Result<Service, SettingsError> {
    let name = checked_name(&format!("{path}.name"), &decl.name)?;
    if name == "fold" {
        return Err(SettingsError::field(
            format!("{path}.name"),
            "\"fold\" is reserved",
        ));
    }
    let boundaries = boundaries(path, &decl.boundaries)?;
    if !boundaries.is_empty() && !decl.divided_by_key {
        let reason = "boundaries need divided_by_key to be true";
        return Err(SettingsError::field(format!("{path}.boundaries"), reason));
    }
    if decl.calls.is_empty() && !has_routes {
        return Err(SettingsError::field(
            format!("{path}.calls"),
            "at least one kind of calls is needed",
        ));
    }
    let mut calls: Vec<CallKind> = Vec::with_capacity(decl.calls.len());
    for (i, kind) in decl.calls.iter().enumerate() {
        let kind_path = format!("{path}.calls[{i}]");
        let kind = call_kind(&kind_path, kind)?;
        if calls.iter().any(|earlier| earlier.name == kind.name) {
            let reason = format!("{:?} is declared twice", kind.name);
            return Err(SettingsError::field(format!("{kind_path}.name"), reason));
        }
        if let Some(earlier) = calls.iter().find(|earlier| earlier.covers(&kind)) {
            let reason = format!("every call of it is already of kind {:?}", earlier.name);
            return Err(SettingsError::field(format!("{kind_path}.path"), reason));
        }
        calls.push(kind);
    }
    let number = |field: &str, value, default, range| {
        checked_number(&format!("{path}.{field}"), value, default, range)
    };
    Ok(Service {
        name,
        divided_by_key: decl.divided_by_key,
        boundaries,
        calls,
        weights: weights(path, decl.weights.as_ref())?,
        moves_per_minute: number("moves_per_minute", decl.moves_per_minute, 12, 0..=100_000)? as u32,
        park: Ms(number("park_ms", decl.park_ms, 1000, 0..=60_000)?),
        settle: Ms(number("settle_ms", decl.settle_ms, 60_000, 0..=86_400_000)?),
        joins_ranges: decl.joins_ranges,
        checks_fencing: decl.checks_fencing,
        connections: decl.connections,
        warmup: warmup(path, decl)?,
    })
}

fn warmup(path: &str, decl: &wire::ServiceDecl) -> Result<Option<Warmup>, SettingsError> {
    let time = checked_number(&format!("{path}.warmup_ms"), decl.warmup_ms, 0, 0..=WARMUP_MAX_MS)?;
    if time == 0 {
        return Ok(None);
    }
    let per_s = decl.warmup_per_s;
    if !(per_s > 0.0 && per_s <= WARMUP_PER_S_MAX) {
        let reason = format!("{per_s} is not above 0 and up to {WARMUP_PER_S_MAX}");
        return Err(SettingsError::field(format!("{path}.warmup_per_s"), reason));
    }
    Ok(Some(Warmup {
        time: Ms(time),
        per_s,
    }))
}

fn boundaries(path: &str, texts: &[String]) -> Result<Vec<Key>, SettingsError> {
    let mut keys: Vec<Key> = Vec::with_capacity(texts.len());
    for (i, text) in texts.iter().enumerate() {
        let field = format!("{path}.boundaries[{i}]");
        let key = Key::from_text(text).map_err(|e| SettingsError::field(&field, e.to_string()))?;
        let lowest = keys.last().cloned().unwrap_or_default();
        if key <= lowest {
            let reason = format!("\"{key}\" must be above \"{lowest}\"");
            return Err(SettingsError::field(field, reason));
        }
        keys.push(key);
    }
    Ok(keys)
}

fn call_kind(path: &str, decl: &wire::CallKind) -> Result<CallKind, SettingsError> {
    let default = CallKind::default();
    let number = |field: &str, value, default, range| {
        checked_number(&format!("{path}.{field}"), value, default, range)
    };
    let max_deadline = number(
        "max_deadline_ms",
        decl.max_deadline_ms,
        default.max_deadline.0,
        1..=DEADLINE_MAX_MS,
    )?;
    let deadline_default = default.deadline.0.min(max_deadline);
    if !decl.path.starts_with('/') || decl.path.contains(['?', '#', ' ']) {
        return Err(SettingsError::field(
            format!("{path}.path"),
            "a path that starts with '/', without a query, is needed",
        ));
    }
    Ok(CallKind {
        name: checked_name(&format!("{path}.name"), &decl.name)?,
        method: method(path, &decl.method)?,
        path: decl.path.clone(),
        idempotent: decl.idempotent,
        deadline: Ms(number(
            "deadline_ms",
            decl.deadline_ms,
            deadline_default,
            1..=max_deadline,
        )?),
        max_deadline: Ms(max_deadline),
        priority: number(
            "priority",
            decl.priority,
            default.priority.into(),
            0..=PRIORITY_MAX,
        )? as u8,
        attempts: number("attempts", decl.attempts, default.attempts.into(), 1..=10)? as u32,
        answer_kept: Ms(number(
            "answer_kept_ms",
            decl.answer_kept_ms,
            default.answer_kept.0,
            1000..=86_400_000,
        )?),
    })
}

fn method(path: &str, text: &str) -> Result<Option<String>, SettingsError> {
    match text {
        "*" => Ok(None),
        "" => Err(SettingsError::field(
            format!("{path}.method"),
            "an HTTP method or \"*\" is needed",
        )),
        text if text.chars().all(|c| c.is_ascii_uppercase()) => Ok(Some(text.to_owned())),
        text => {
            let reason = format!("{text:?} is not an HTTP method in capitals or \"*\"");
            Err(SettingsError::field(format!("{path}.method"), reason))
        }
    }
}

fn weights(path: &str, decl: Option<&wire::Weights>) -> Result<Weights, SettingsError> {
    let Some(decl) = decl else {
        return Ok(Weights::default());
    };
    let listed = [
        ("imbalance", decl.imbalance),
        ("churn", decl.churn),
        ("unavailable", decl.unavailable),
    ];
    for (field, value) in listed {
        if value > WEIGHT_MAX {
            let reason = format!("{value} is not within 0 to {WEIGHT_MAX}");
            return Err(SettingsError::field(format!("{path}.weights.{field}"), reason));
        }
    }
    if listed.iter().all(|(_, value)| *value == 0) {
        let reason = "at least one weight must be above 0";
        return Err(SettingsError::field(format!("{path}.weights"), reason));
    }
    Ok(Weights {
        imbalance: decl.imbalance,
        churn: decl.churn,
        unavailable: decl.unavailable,
    })
}

fn loss(decl: Option<&wire::LossPolicy>) -> Result<LossPolicy, SettingsError> {
    let decl = decl.copied().unwrap_or_default();
    let default = LossPolicy::default();
    let percent = u64::from(default.move_at_once_percent);
    Ok(LossPolicy {
        move_at_once_percent: checked_number(
            "loss.move_at_once_percent",
            decl.move_at_once_percent,
            percent,
            0..=100,
        )? as u32,
        wait: Ms(checked_number(
            "loss.wait_ms",
            decl.wait_ms,
            default.wait.0,
            0..=86_400_000,
        )?),
    })
}

fn split(decl: &wire::SplitDecl, services: &[Service]) -> Result<Split, SettingsError> {
    let missing = |path: &str| SettingsError::field(path, "a half is needed");
    let first = half(
        "split.first",
        decl.first.as_ref().ok_or_else(|| missing("split.first"))?,
        services,
    )?;
    let second = half(
        "split.second",
        decl.second.as_ref().ok_or_else(|| missing("split.second"))?,
        services,
    )?;
    check_halves_disjoint(&first, &second)?;
    Ok(Split { first, second })
}

fn half(path: &str, decl: &wire::HalfDecl, services: &[Service]) -> Result<Half, SettingsError> {
    let mut spans = Vec::with_capacity(decl.spans.len());
    for (i, span) in decl.spans.iter().enumerate() {
        spans.push(service_span(&format!("{path}.spans[{i}]"), span, services)?);
    }
    spans.sort();
    let failure_domains = sorted_names(&format!("{path}.failure_domains"), &decl.failure_domains)?;
    let hosts = sorted_names(&format!("{path}.hosts"), &decl.hosts)?;
    if failure_domains.is_empty() && hosts.is_empty() {
        return Err(SettingsError::field(path, "failure_domains or hosts are needed"));
    }
    Ok(Half {
        name: checked_name(&format!("{path}.name"), &decl.name)?,
        failure_domains,
        hosts,
        spans,
        control_hosts: checked_address_list(&format!("{path}.control_hosts"), &decl.control_hosts)?,
    })
}

fn service_span(
    path: &str,
    decl: &wire::KeySpan,
    services: &[Service],
) -> Result<ServiceSpan, SettingsError> {
    let service = services.iter().find(|s| s.name == decl.service);
    if !service.is_some_and(|s| s.divided_by_key) {
        let reason = format!("{:?} is not a service that is divided by key", decl.service);
        return Err(SettingsError::field(format!("{path}.service"), reason));
    }
    let key = |field: &str, text: &str| {
        Key::from_text(text).map_err(|e| SettingsError::field(format!("{path}.{field}"), e.to_string()))
    };
    let end = if decl.end.is_empty() {
        None
    } else {
        Some(key("end", &decl.end)?)
    };
    let range = KeyRange {
        start: key("start", &decl.start)?,
        end,
    };
    if range.is_empty() {
        return Err(SettingsError::field(
            format!("{path}.end"),
            "the end must be above the start",
        ));
    }
    Ok(ServiceSpan {
        service: decl.service.clone(),
        range,
    })
}

fn sorted_names(path: &str, values: &[String]) -> Result<Vec<String>, SettingsError> {
    let mut names = Vec::with_capacity(values.len());
    for (i, value) in values.iter().enumerate() {
        names.push(checked_name(&format!("{path}[{i}]"), value)?);
    }
    names.sort();
    names.dedup();
    Ok(names)
}

/// Checks that no name, failure domain, host, control host or key belongs to both halves.
fn check_halves_disjoint(first: &Half, second: &Half) -> Result<(), SettingsError> {
    let in_both = |field: &str, what: &dyn std::fmt::Display| {
        SettingsError::field(
            format!("split.second.{field}"),
            format!("{what} is in both halves"),
        )
    };
    if first.name == second.name {
        return Err(in_both("name", &first.name));
    }
    if let Some(domain) = second
        .failure_domains
        .iter()
        .find(|d| first.failure_domains.contains(d))
    {
        return Err(in_both("failure_domains", domain));
    }
    if let Some(host) = second.hosts.iter().find(|h| first.hosts.contains(h)) {
        return Err(in_both("hosts", host));
    }
    if let Some(address) = second
        .control_hosts
        .iter()
        .find(|a| first.control_hosts.contains(a))
    {
        return Err(in_both("control_hosts", address));
    }
    let shared = |span: &&ServiceSpan| {
        first
            .spans
            .iter()
            .any(|s| s.service == span.service && s.range.overlaps(&span.range))
    };
    if let Some(span) = second.spans.iter().find(shared) {
        return Err(in_both("spans", &span.range));
    }
    Ok(())
}
