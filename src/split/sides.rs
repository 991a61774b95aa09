use crate::{
    key::KeyRange,
    placement::Side,
    schema::{ServiceSpan, Split},
};

/// Returns the half of a host. A host that no half names belongs to the first one, which keeps the present
/// control cell.
pub fn side_of_host(split: &Split, host: &str, failure_domain: &str) -> Side {
    let names = |names: &[String], name: &str| names.binary_search_by(|n| n.as_str().cmp(name)).is_ok();
    if names(&split.second.hosts, host) {
        return Side::Second;
    }
    if names(&split.first.hosts, host) {
        return Side::First;
    }
    match names(&split.second.failure_domains, failure_domain) {
        true => Side::Second,
        false => Side::First,
    }
}

/// Returns the half of a span of keys, or `None` if both halves have a part of it. Keys that no half names
/// belong to the first one.
pub fn side_of_keys(split: &Split, service: &str, range: &KeyRange) -> Option<Side> {
    let is_shared = |span: &&ServiceSpan| span.service == service && span.range.overlaps(range);
    let mut shared = split.second.spans.iter().filter(is_shared);
    let Some(span) = shared.next() else {
        return Some(Side::First);
    };
    let starts_within = span.range.start <= range.start;
    let ends_within = match (&range.end, &span.range.end) {
        (_, None) => true,
        (Some(end), Some(limit)) => end <= limit,
        (None, Some(_)) => false,
    };
    (starts_within && ends_within).then_some(Side::Second)
}
