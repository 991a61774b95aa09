use crate::{
    key::KeyRange,
    placement::Side,
    schema::{ServiceSpan, Split},
};

/// Returns the half of a host. A host that neither half names belongs to the first half, which keeps the present
/// control cell.
pub fn side_of_host(split: &Split, host: &str, failure_domain: &str) -> Side {
    let contains = |names: &[String], name: &str| names.binary_search_by(|n| n.as_str().cmp(name)).is_ok();
    if contains(&split.second.hosts, host) {
        return Side::Second;
    }
    if contains(&split.first.hosts, host) {
        return Side::First;
    }
    match contains(&split.second.failure_domains, failure_domain) {
        true => Side::Second,
        false => Side::First,
    }
}

/// Returns the half of a span of keys, or `None` if it has keys of both halves. Keys that neither half names belong to
/// the first half.
pub fn side_of_keys(split: &Split, service: &str, range: &KeyRange) -> Option<Side> {
    let overlaps_range = |span: &&ServiceSpan| span.service == service && span.range.overlaps(range);
    let mut overlapping = split.second.spans.iter().filter(overlaps_range);
    let Some(span) = overlapping.next() else {
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
