//! The signature of an operator's request is valid only for this request, this key and a limited time.

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
fn signature_checks() {
    let signing_key = keys(1);
    let signature = RequestSignature::new(&signing_key, "POST", "/drain", b"{}");
    let now = Clock::System.wall();
    let minutes = |n: u64| Ms(n * 60_000);
    let cases = [
        ("good", &signing_key, ("POST", "/drain", "{}"), now, Ok(())),
        (
            "late by four minutes",
            &signing_key,
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
            &signing_key,
            ("GET", "/drain", "{}"),
            now,
            Err(SignatureError::UnknownKey),
        ),
        (
            "other command",
            &signing_key,
            ("POST", "/undrain", "{}"),
            now,
            Err(SignatureError::UnknownKey),
        ),
        (
            "other body",
            &signing_key,
            ("POST", "/drain", "{} "),
            now,
            Err(SignatureError::UnknownKey),
        ),
        (
            "parts moved",
            &signing_key,
            ("POST", "/drai", "n{}"),
            now,
            Err(SignatureError::UnknownKey),
        ),
        (
            "old copy",
            &signing_key,
            ("POST", "/drain", "{}"),
            now + minutes(6),
            Err(SignatureError::BadTime),
        ),
        (
            "from the future",
            &signing_key,
            ("POST", "/drain", "{}"),
            now - minutes(6),
            Err(SignatureError::BadTime),
        ),
    ];
    for (name, ring, (method, target, body), at, expected) in cases {
        let parsed: RequestSignature = signature.to_string().parse().unwrap();
        assert_eq!(
            parsed.verify(ring, (method, target, body.as_bytes()), at),
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
