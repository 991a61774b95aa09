//! The proof of an operator's request holds for this very request, key and time only.

use clementinefold::{
    clock::{Clock, Ms},
    edge::{RequestSignature, SignatureError},
    event::RateLimit,
    link::KeyRing,
};

fn keys(byte: u8) -> KeyRing {
    KeyRing::single(vec![byte; 32])
}

#[test]
fn faults() {
    let good = keys(1);
    let proof = RequestSignature::new(&good, "POST", "/drain", b"{}");
    let now = Clock::System.wall();
    let minutes = |n: u64| Ms(n * 60_000);
    let cases = [
        ("good", &good, ("POST", "/drain", "{}"), now, Ok(())),
        (
            "late by four minutes",
            &good,
            ("POST", "/drain", "{}"),
            now + minutes(4),
            Ok(()),
        ),
        (
            "other key",
            &keys(2),
            ("POST", "/drain", "{}"),
            now,
            Err(SignatureError::UnknownKey),
        ),
        (
            "other method",
            &good,
            ("GET", "/drain", "{}"),
            now,
            Err(SignatureError::UnknownKey),
        ),
        (
            "other command",
            &good,
            ("POST", "/undrain", "{}"),
            now,
            Err(SignatureError::UnknownKey),
        ),
        (
            "other body",
            &good,
            ("POST", "/drain", "{} "),
            now,
            Err(SignatureError::UnknownKey),
        ),
        (
            "parts moved",
            &good,
            ("POST", "/drai", "n{}"),
            now,
            Err(SignatureError::UnknownKey),
        ),
        (
            "old copy",
            &good,
            ("POST", "/drain", "{}"),
            now + minutes(6),
            Err(SignatureError::BadTime),
        ),
        (
            "from the future",
            &good,
            ("POST", "/drain", "{}"),
            now - minutes(6),
            Err(SignatureError::BadTime),
        ),
    ];
    for (name, ring, (method, target, body), at, expected) in cases {
        let read: RequestSignature = proof.to_string().parse().unwrap();
        assert_eq!(
            read.verify(ring, (method, target, body.as_bytes()), at),
            expected,
            "{name}"
        );
    }
}

#[test]
fn bad_headers() {
    for text in [
        "",
        "Fold-Mac",
        "Fold-Mac 12",
        "Fold-Mac x-00",
        "Fold-Mac 12-0",
        "Fold-Mac 12-+1",
        "Basic 12-00",
    ] {
        assert_eq!(
            text.parse::<RequestSignature>(),
            Err(SignatureError::Missing),
            "{text:?}"
        );
    }
}

#[test]
fn refusals_are_limited() {
    let mut limit = RateLimit::new(2, Ms(100));
    let passed: Vec<Option<u64>> = [1000, 1001, 1002, 1099, 1100, 1101, 1102, 1300]
        .map(|ms| limit.pass(Ms(ms)))
        .to_vec();
    let expected = [Some(0), Some(0), None, None, Some(2), Some(0), None, Some(1)];
    assert_eq!(passed, expected);
}
