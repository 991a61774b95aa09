use {
    std::{ops::RangeInclusive, str::FromStr},
    thiserror::Error,
};

/// Work of a server that takes its usual time, in percent.
const USUAL_WORK_PERCENT: u32 = 100;
/// Slots that a server may plausibly report.
const SLOTS: RangeInclusive<u32> = 1..=100_000;
/// Most running or waiting calls that a server may plausibly report.
const CALLS_MAX: u32 = 1_000_000;
/// Times of work that a server may plausibly report, in percent of the usual time.
const WORK_PERCENT: RangeInclusive<u32> = 1..=10_000;
/// Number of fields if all are present.
const FIELDS_MAX: usize = 4;

/// The load of a server by its own report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of calls that it runs.
    pub running: u32,
    /// Number of calls that wait in it.
    pub waiting: u32,
    /// Number of calls that it can run at the same time.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual time.
    pub work_percent: u32,
}

/// Why the load that a server reports counts as not reported.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LoadError {
    /// A field is not a number of decimal digits.
    #[error("a field is not a number of decimal digits")]
    NoNumber,
    /// There are fewer than three fields, or more than four.
    #[error("there are not three or four fields")]
    FieldCount,
    /// A number is out of its range.
    #[error("a number is out of its range")]
    OutOfRange,
    /// The header occurs more than once.
    #[error("the header occurs more than once")]
    Repeated,
}

impl FromStr for ReportedLoad {
    type Err = LoadError;

    /// Reads the numbers of running and waiting calls and of slots, and, if the server knows it, the time that work
    /// takes in percent of the usual time, separated by commas.
    fn from_str(text: &str) -> Result<Self, LoadError> {
        let fields = text.split(',').take(FIELDS_MAX + 1).map(read_number);
        let numbers = fields.collect::<Result<Vec<u32>, _>>()?;
        let (running, waiting, slots, work_percent) = match numbers.as_slice() {
            [running, waiting, slots] => (*running, *waiting, *slots, USUAL_WORK_PERCENT),
            [running, waiting, slots, work_percent] => (*running, *waiting, *slots, *work_percent),
            _ => return Err(LoadError::FieldCount),
        };
        let is_plausible = SLOTS.contains(&slots)
            && running <= CALLS_MAX
            && waiting <= CALLS_MAX
            && WORK_PERCENT.contains(&work_percent);
        is_plausible
            .then_some(Self {
                running,
                waiting,
                slots,
                work_percent,
            })
            .ok_or(LoadError::OutOfRange)
    }
}

/// Reads a number of decimal digits. Signs are refused, also a plus, which the number parser would accept.
fn read_number(field: &str) -> Result<u32, LoadError> {
    let field = field.trim_matches([' ', '\t']);
    if field.is_empty() || !field.bytes().all(|b| b.is_ascii_digit()) {
        return Err(LoadError::NoNumber);
    }
    field.parse().map_err(|_| LoadError::OutOfRange)
}
