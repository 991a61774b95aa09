use {
    super::{BalanceSettings, CallerLimits, ControlSettings, LeaseSettings, Settings, SettingsError},
    crate::{
        clock::Ms,
        event::{level_from_word, LogFormat, LogSettings, LEVEL_WORDS},
        memory::MEMORY_MIN_BYTES,
        wire::settings as wire,
    },
    std::{net::SocketAddr, ops::RangeInclusive, path::PathBuf},
};

/// Maximum length of a name of a cluster, a host, a service, a region or a failure domain.
const NAME_MAX_CHARS: usize = 64;

/// Maximum number of control hosts whose simultaneous loss a cell can tolerate. One slot stays free, since a
/// replacement joins before the member that it replaces is removed.
const TOLERATED_LOSSES_MAX: u64 = (CONTROL_HOSTS_MAX as u64 - 2) / 2;

/// Maximum number of control hosts of a cluster.
const CONTROL_HOSTS_MAX: usize = 8;

/// Allowed times from a request to stop until the process is killed, in ms.
const KILLED_AFTER_RANGE_MS: RangeInclusive<f64> = 100.0..=3_600_000.0;

/// Allowed memory of a process, in bytes.
const MEMORY_RANGE_BYTES: RangeInclusive<u64> = MEMORY_MIN_BYTES..=1_099_511_627_776;

/// Time by which a process ends before it would be killed, or half of the time that it has if that is less.
const KILL_MARGIN: Ms = Ms(500);

/// Validates every field of a settings file.
pub(super) fn check_settings(file: &wire::SettingsFile) -> Result<Settings, SettingsError> {
    let control_hosts = checked_address_list("control_hosts", &file.control_hosts)?;
    let control_hosts = with_port(file.control_hosts_port, control_hosts)?;
    if control_hosts.is_empty() {
        return Err(SettingsError::field(
            "control_hosts",
            "at least one IP:PORT is needed",
        ));
    }
    if control_hosts.len() > CONTROL_HOSTS_MAX {
        let reason = format!(
            "{} are listed, {CONTROL_HOSTS_MAX} are allowed",
            control_hosts.len()
        );
        return Err(SettingsError::field("control_hosts", reason));
    }
    let settings = Settings {
        cluster: checked_name("cluster", &file.cluster)?,
        host: checked_name("host", &file.host)?,
        failure_domain: checked_name("failure_domain", &file.failure_domain)?,
        region: checked_name("region", &file.region)?,
        caller_address: checked_edge_address("caller_address", &file.caller_address, file)?,
        server_address: checked_edge_address("server_address", &file.server_address, file)?,
        operator_address: checked_optional_address("operator_address", &file.operator_address)?,
        readiness_address: checked_optional_address("readiness_address", &file.readiness_address)?,
        metrics_address: checked_optional_address("metrics_address", &file.metrics_address)?,
        peer_address: checked_address("peer_address", &file.peer_address)?,
        control: checked_control(file)?,
        services: checked_names("services", &file.services)?,
        peer_key_file: checked_key_file("peer_key_file", &file.peer_key_file, file)?,
        operator_key_file: checked_key_file("operator_key_file", &file.operator_key_file, file)?,
        statsd_address: file
            .statsd_address
            .as_deref()
            .map(|a| checked_address("statsd_address", a))
            .transpose()?,
        log: checked_log(file.log.as_ref())?,
        caller_limits: checked_caller_limits(file.caller_limits.as_ref())?,
        lease: checked_lease(file.lease.as_ref())?,
        stop_timeout: checked_stop_timeout("killed_after", &file.killed_after)?,
        failure_domains: checked_names("failure_domains", &file.failure_domains)?,
        memory_bytes: checked_memory(file.memory_bytes)?,
        balance: checked_balance(file.balance.as_ref())?,
        control_hosts,
    };
    check_distinct_addresses(&settings)?;
    check_server_address(&settings)?;
    check_control_role(&settings)?;
    Ok(settings)
}

/// Validates a name of a cluster, a host, a service, a region or a failure domain.
pub(crate) fn checked_name(path: &str, value: &str) -> Result<String, SettingsError> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    if value.is_empty() {
        return Err(SettingsError::field(path, "a name is needed"));
    }
    if value.len() > NAME_MAX_CHARS || !value.chars().all(allowed) {
        let reason = format!("{value:?} is not 1 to {NAME_MAX_CHARS} characters of a-z, 0-9, '-' and '.'");
        return Err(SettingsError::field(path, reason));
    }
    Ok(value.to_owned())
}

/// Validates an address of the form IP:PORT.
pub(crate) fn checked_address(path: &str, value: &str) -> Result<SocketAddr, SettingsError> {
    if value.is_empty() {
        return Err(SettingsError::field(path, "an address IP:PORT is needed"));
    }
    let address: SocketAddr = value
        .parse()
        .map_err(|_| SettingsError::field(path, format!("{value:?} is not an address IP:PORT")))?;
    if address.port() == 0 {
        return Err(SettingsError::field(path, "the port must be 1 to 65535"));
    }
    Ok(address)
}

/// Validates an address that may be absent.
fn checked_optional_address(path: &str, value: &str) -> Result<Option<SocketAddr>, SettingsError> {
    if value.is_empty() {
        return Ok(None);
    }
    checked_address(path, value).map(Some)
}

/// Validates an address that may be absent only on a control host that lists no services.
fn checked_edge_address(
    path: &str,
    value: &str,
    file: &wire::SettingsFile,
) -> Result<Option<SocketAddr>, SettingsError> {
    if file.services.is_empty() && file.control.is_some() {
        return checked_optional_address(path, value);
    }
    checked_address(path, value).map(Some)
}

/// Validates the path of a key file, which is required if links are authenticated and not allowed otherwise.
fn checked_key_file(
    path: &str,
    value: &str,
    file: &wire::SettingsFile,
) -> Result<Option<PathBuf>, SettingsError> {
    match (value.is_empty(), file.unauthenticated_links) {
        (true, true) => Ok(None),
        (false, true) => Err(SettingsError::field(
            path,
            "unauthenticated_links takes no key file",
        )),
        (_, false) => checked_file_path(path, value).map(Some),
    }
}

/// Replaces the port of every address by `port`, if it is given.
fn with_port(port: Option<u32>, addresses: Vec<SocketAddr>) -> Result<Vec<SocketAddr>, SettingsError> {
    let Some(port) = port else {
        return Ok(addresses);
    };
    let port = checked_number("control_hosts_port", Some(port), 0, 1..=65535)?;
    let port = u16::try_from(port).unwrap_or_default();
    let replaced = addresses.iter().map(|a| SocketAddr::new(a.ip(), port));
    Ok(replaced.collect())
}

/// Validates a list of addresses, which must not contain duplicates.
pub(crate) fn checked_address_list(path: &str, values: &[String]) -> Result<Vec<SocketAddr>, SettingsError> {
    let mut list = Vec::with_capacity(values.len());
    for (i, value) in values.iter().enumerate() {
        let field = format!("{path}[{i}]");
        let address = checked_address(&field, value)?;
        if list.contains(&address) {
            return Err(SettingsError::field(
                field,
                format!("{address} stands twice in the list"),
            ));
        }
        list.push(address);
    }
    Ok(list)
}

/// Returns `value`, or `default` if there is none, if it lies within `range`.
pub(crate) fn checked_number(
    path: &str,
    value: Option<u32>,
    default: u64,
    range: RangeInclusive<u64>,
) -> Result<u64, SettingsError> {
    let value = value.map_or(default, u64::from);
    if range.contains(&value) {
        return Ok(value);
    }
    let reason = format!("{value} is not within {} to {}", range.start(), range.end());
    Err(SettingsError::field(path, reason))
}

/// Reads the time after which a stopping process is killed. Returns the time after which it ends by itself.
fn checked_stop_timeout(path: &str, value: &str) -> Result<Ms, SettingsError> {
    if value.is_empty() {
        return Ok(Settings::DEFAULT_STOP_TIMEOUT);
    }
    let (number, factor) = match (value.strip_suffix("ms"), value.strip_suffix('s')) {
        (Some(number), _) => (number, 1.0),
        (None, Some(number)) => (number, 1000.0),
        (None, None) => ("", 0.0),
    };
    let ms = number.parse::<f64>().map_or(f64::NAN, |n| n * factor);
    if !KILLED_AFTER_RANGE_MS.contains(&ms) {
        let reason = format!("{value:?} is not a time of 100ms to 3600s with the unit s or ms");
        return Err(SettingsError::field(path, reason));
    }
    let killed_after = Ms(ms as u64);
    Ok(killed_after - KILL_MARGIN.min(Ms(killed_after.0 / 2)))
}

/// Validates a list of names, which must not contain duplicates. Returns it sorted.
fn checked_names(path: &str, values: &[String]) -> Result<Vec<String>, SettingsError> {
    let mut list = Vec::with_capacity(values.len());
    for (i, value) in values.iter().enumerate() {
        let field = format!("{path}[{i}]");
        let name = checked_name(&field, value)?;
        if list.contains(&name) {
            return Err(SettingsError::field(field, format!("{name:?} is listed twice")));
        }
        list.push(name);
    }
    list.sort();
    Ok(list)
}

fn checked_memory(bytes: Option<u64>) -> Result<Option<u64>, SettingsError> {
    match bytes {
        Some(bytes) if !MEMORY_RANGE_BYTES.contains(&bytes) => {
            let (min, max) = (MEMORY_RANGE_BYTES.start(), MEMORY_RANGE_BYTES.end());
            let reason = format!("{bytes} is not within {min} to {max}");
            Err(SettingsError::field("memory_bytes", reason))
        }
        bytes => Ok(bytes),
    }
}

fn checked_balance(part: Option<&wire::BalancePart>) -> Result<BalanceSettings, SettingsError> {
    let part = part.copied().unwrap_or_default();
    let default = BalanceSettings::default();
    let percent = |field: &str, value, default: u32, range| {
        checked_number(&format!("balance.{field}"), value, default.into(), range).map(|n| n as u32)
    };
    Ok(BalanceSettings {
        other_domain_percent: percent(
            "other_domain_percent",
            part.other_domain_percent,
            default.other_domain_percent,
            100..=10_000,
        )?,
        second_tries_percent: percent(
            "second_tries_percent",
            part.second_tries_percent,
            default.second_tries_percent,
            0..=50,
        )?,
    })
}

fn checked_file_path(path: &str, value: &str) -> Result<PathBuf, SettingsError> {
    if value.is_empty() {
        return Err(SettingsError::field(path, "the path of a file is needed"));
    }
    Ok(PathBuf::from(value))
}

fn checked_control(file: &wire::SettingsFile) -> Result<Option<ControlSettings>, SettingsError> {
    let Some(part) = &file.control else {
        return Ok(None);
    };
    let tolerated_losses = part
        .tolerated_losses
        .map(|n| checked_number("control.tolerated_losses", Some(n), 0, 0..=TOLERATED_LOSSES_MAX))
        .transpose()?;
    let first_voters = checked_address_list("control.first_voters", &part.first_voters)?;
    Ok(Some(ControlSettings {
        data_dir: checked_file_path("control.data_dir", &part.data_dir)?,
        first_voters: with_port(file.control_hosts_port, first_voters)?,
        voters: tolerated_losses.map(|n| 2 * n as usize + 1),
    }))
}

fn checked_log(part: Option<&wire::LogPart>) -> Result<LogSettings, SettingsError> {
    let Some(part) = part else {
        return Ok(LogSettings::default());
    };
    let default = LogSettings::default();
    let unknown = |field: &str, word: &str, allowed: &[&str]| {
        SettingsError::field(field, format!("{word:?} is not one of {allowed:?}"))
    };
    let format = match part.format.as_str() {
        "" => default.format,
        word => LogFormat::from_word(word).ok_or_else(|| unknown("log.format", word, &LogFormat::WORDS))?,
    };
    let level = match part.level.as_str() {
        "" => default.level,
        word => level_from_word(word).ok_or_else(|| unknown("log.level", word, &LEVEL_WORDS))?,
    };
    Ok(LogSettings { format, level })
}

fn checked_caller_limits(part: Option<&wire::CallerLimits>) -> Result<CallerLimits, SettingsError> {
    let part = part.copied().unwrap_or_default();
    let default = CallerLimits::default();
    let checked_usize = |field: &str, value, default: usize, range| {
        checked_number(&format!("caller_limits.{field}"), value, default as u64, range).map(|n| n as usize)
    };
    let checked_ms = |field: &str, value, default: Ms| {
        checked_number(
            &format!("caller_limits.{field}"),
            value,
            default.0,
            100..=3_600_000,
        )
        .map(Ms)
    };
    Ok(CallerLimits {
        connections: checked_usize("connections", part.connections, default.connections, 1..=100_000)?,
        head_bytes: checked_usize(
            "head_bytes",
            part.head_bytes,
            default.head_bytes,
            8192..=1_048_576,
        )?,
        body_bytes: checked_usize("body_bytes", part.body_bytes, default.body_bytes, 1..=67_108_864)?,
        answer_bytes: checked_usize(
            "answer_bytes",
            part.answer_bytes,
            default.answer_bytes,
            1..=67_108_864,
        )?,
        body_timeout: checked_ms("read_ms", part.read_ms, default.body_timeout)?,
        head_timeout: checked_ms("head_ms", part.head_ms, default.head_timeout)?,
        idle_timeout: checked_ms("idle_ms", part.idle_ms, default.idle_timeout)?,
    })
}

fn checked_lease(part: Option<&wire::LeasePart>) -> Result<LeaseSettings, SettingsError> {
    let part = part.copied().unwrap_or_default();
    let default = LeaseSettings::default();
    let checked_ms = |field: &str, value, default: Ms, range| {
        checked_number(&format!("lease.{field}"), value, default.0, range).map(Ms)
    };
    let ttl = checked_ms("ttl_ms", part.ttl_ms, default.ttl, 100..=60_000)?;
    let renew_interval = checked_ms("renew_ms", part.renew_ms, default.renew_interval, 10..=ttl.0 / 2)?;
    let settings = LeaseSettings {
        ttl,
        renew_interval,
        drift: checked_ms("drift_ms", part.drift_ms, default.drift, 1..=ttl.0 / 4)?,
        election_timeout: checked_ms(
            "election_ms",
            part.election_ms,
            default.election_timeout,
            50..=60_000,
        )?,
        max_config_lag: checked_ms(
            "config_lag_ms",
            part.config_lag_ms,
            default.max_config_lag,
            ttl.0..=8000,
        )?,
        max_config_age: checked_ms(
            "config_fresh_ms",
            part.config_fresh_ms,
            default.max_config_age,
            renew_interval.0..=8000,
        )?,
    };
    Ok(settings)
}

/// Checks that no two listening addresses conflict.
fn check_distinct_addresses(settings: &Settings) -> Result<(), SettingsError> {
    let all = [
        ("caller_address", settings.caller_address),
        ("server_address", settings.server_address),
        ("operator_address", settings.operator_address),
        ("readiness_address", settings.readiness_address),
        ("metrics_address", settings.metrics_address),
        ("peer_address", Some(settings.peer_address)),
    ];
    let listed: Vec<_> = all
        .iter()
        .filter_map(|(path, address)| address.map(|address| (*path, address)))
        .collect();
    for (i, (path, address)) in listed.iter().enumerate() {
        if let Some((other, _)) = listed[..i].iter().find(|(_, earlier)| conflict(earlier, address)) {
            return Err(SettingsError::field(
                *path,
                format!("{address} is already the {other}"),
            ));
        }
    }
    Ok(())
}

/// Returns whether two listening addresses conflict. An unspecified IP occupies its port on every IP.
fn conflict(a: &SocketAddr, b: &SocketAddr) -> bool {
    let has_unspecified = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (has_unspecified || a.ip() == b.ip())
}

/// Checks that the server address is not on every IP, because any process that can connect to it can announce a
/// server.
fn check_server_address(settings: &Settings) -> Result<(), SettingsError> {
    if settings.server_address.is_some_and(|a| a.ip().is_unspecified()) {
        let reason =
            "an IP of this host is needed, preferably a loopback address, and not the unspecified one";
        return Err(SettingsError::field("server_address", reason));
    }
    Ok(())
}

/// Checks that a host with the control role is listed in `control_hosts` and, if first voters are given, among
/// them. If the cell maintains its voters automatically, it admits hosts that are not listed.
fn check_control_role(settings: &Settings) -> Result<(), SettingsError> {
    let Some(control) = &settings.control else {
        return Ok(());
    };
    if control.voters.is_some() {
        return Ok(());
    }
    if !settings.control_hosts.contains(&settings.peer_address) {
        let reason = format!(
            "{}, the peer_address of this control host, is missing",
            settings.peer_address
        );
        return Err(SettingsError::field("control_hosts", reason));
    }
    let voters = &control.first_voters;
    if !voters.is_empty() && !voters.contains(&settings.peer_address) {
        let reason = format!(
            "{}, the peer_address of this host, is missing",
            settings.peer_address
        );
        return Err(SettingsError::field("control.first_voters", reason));
    }
    let is_unlisted = |address: &&SocketAddr| !settings.control_hosts.contains(address);
    if let Some((i, address)) = voters.iter().enumerate().find(|(_, a)| is_unlisted(a)) {
        let reason = format!("{address} is not in control_hosts");
        return Err(SettingsError::field(format!("control.first_voters[{i}]"), reason));
    }
    Ok(())
}
