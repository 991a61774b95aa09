//! What the attempts of one call together say about it.

use clementinefold::call::{AttemptHistory, CallResult, Outcome, Reason};

/// Longest sequence of attempts that is tried.
const ATTEMPTS_MAX: usize = 3;

/// Returns one result for each reason, and one answer.
fn results() -> Vec<CallResult> {
    let failed = Reason::ALL.iter().map(|reason| CallResult::failed(*reason));
    let answered = CallResult::answered(200, Vec::new(), Default::default());
    failed.chain([answered]).collect()
}

fn check(attempts: &[CallResult]) {
    let (last, earlier) = attempts.split_last().unwrap();
    let mut history = AttemptHistory::default();
    earlier.iter().for_each(|result| history.record(result));
    let settled = history.final_result(last.clone());
    let reasons: Vec<_> = attempts.iter().map(|r| r.reason).collect();
    if last.outcome == Outcome::Answered {
        assert_eq!(settled, *last, "{reasons:?}");
    } else if attempts.iter().any(|r| r.outcome == Outcome::Unknown) {
        assert_eq!(settled.outcome, Outcome::Unknown, "{reasons:?}");
        assert!(matches!(settled.status, 502 | 504), "{reasons:?}");
    } else {
        assert_eq!(settled, *last, "{reasons:?}");
    }
}

fn check_all(attempts: &mut Vec<CallResult>, results: &[CallResult]) {
    if !attempts.is_empty() {
        check(attempts);
    }
    if attempts.len() == ATTEMPTS_MAX {
        return;
    }
    for result in results {
        attempts.push(result.clone());
        check_all(attempts, results);
        attempts.pop();
    }
}

/// A call of which any attempt may have run is never told to be not run.
#[test]
fn open_stays_open() {
    check_all(&mut Vec::new(), &results());
}
