use serde_json::Value;

/// A period in which one server owned a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenure {
    pub server: String,
    pub epoch: u64,
    pub from_ms: u64,
    /// First ms in which it was no longer owned.
    pub until_ms: u64,
}

/// Returns the pairs of tenures of `key` at different servers that overlap, according to the servers' reports.
pub fn overlaps(reports: &[Value], key: &str) -> Vec<(Tenure, Tenure)> {
    let all: Vec<Tenure> = reports.iter().flat_map(|r| tenures(r, key)).collect();
    let mut found = Vec::new();
    for (i, a) in all.iter().enumerate() {
        for b in &all[i + 1..] {
            if a.server != b.server && a.from_ms < b.until_ms && b.from_ms < a.until_ms {
                found.push((a.clone(), b.clone()));
            }
        }
    }
    found
}

/// Returns the longest time in ms between two tenures of `key` for which no server owned it, according to the servers'
/// reports.
pub fn longest_gap(reports: &[Value], key: &str) -> u64 {
    let mut all: Vec<Tenure> = reports.iter().flat_map(|r| tenures(r, key)).collect();
    all.sort_by_key(|t| t.from_ms);
    let mut longest = 0;
    let mut held_until = all.first().map_or(0, |t| t.until_ms);
    for tenure in &all {
        longest = longest.max(tenure.from_ms.saturating_sub(held_until));
        held_until = held_until.max(tenure.until_ms);
    }
    longest
}

/// Returns the tenures of `key` at the server of a report. Each lasts from a grant until its revoke, the next grant or
/// the end of the lease.
fn tenures(report: &Value, key: &str) -> Vec<Tenure> {
    let empty = Vec::new();
    let records = report["ownership"].as_array().unwrap_or(&empty);
    let of_key: Vec<&Value> = records.iter().filter(|r| holds_key(r, key)).collect();
    let mut found = Vec::new();
    for (i, record) in of_key.iter().enumerate() {
        if record["change"] != "grant" {
            continue;
        }
        let ends = |later: &&&Value| later["change"] == "grant" || later["epoch"] == record["epoch"];
        let end = of_key[i + 1..].iter().find(ends);
        let until = end.map_or(u64::MAX, |r| number(r, "at_ms"));
        // A lease that has ended never becomes valid again, so at most one covers the grant.
        let granted_at = number(record, "at_ms");
        let leases = report["leases"].as_array().unwrap_or(&empty);
        let lease = leases
            .iter()
            .find(|l| number(l, "from_ms") <= granted_at && granted_at < number(l, "until_ms"));
        let Some(lease) = lease else {
            continue;
        };
        found.push(Tenure {
            server: report["address"].as_str().unwrap().to_owned(),
            epoch: number(record, "epoch"),
            from_ms: granted_at,
            until_ms: until.min(number(lease, "until_ms")),
        });
    }
    found
}

fn holds_key(record: &Value, key: &str) -> bool {
    let start = record["start"].as_str().unwrap();
    start <= key && record["end"].as_str().is_none_or(|end| key < end)
}

fn number(value: &Value, field: &str) -> u64 {
    value[field].as_u64().unwrap()
}
