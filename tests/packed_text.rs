//! Compression of texts.

use {clementinefold::schema::PackedText, quickcheck::quickcheck};

quickcheck! {
    fn unpack_returns_packed_text(text: Vec<u8>) -> bool {
        PackedText::pack(&text).unpack() == Some(text)
    }

    fn arbitrary_bytes_handled(bytes: Vec<u8>) -> bool {
        let text = PackedText::from_bytes(bytes.into());
        text.unpack().is_none_or(|text| PackedText::pack(&text).unpack() == Some(text))
    }
}

#[test]
fn truncated_text_refused() {
    let packed = PackedText::pack(&b"a schema with routes ".repeat(500));
    let bytes = packed.as_bytes();
    for end in 1..bytes.len() {
        assert_eq!(PackedText::from_bytes(bytes.slice(..end)).unpack(), None, "{end}");
    }
    assert!(PackedText::from_bytes(bytes.slice(..0)).is_empty());
}

#[test]
fn repetitive_text_compressed() {
    let routes = |n: u32| format!(r#"{{"name":"r-{n}","host":"shop.example","path_prefix":"/p{n}/"}}"#);
    let text: String = (0..860).map(routes).collect();
    let packed = PackedText::pack(text.as_bytes());
    assert!(
        packed.as_bytes().len() * 5 < text.len(),
        "{}",
        packed.as_bytes().len()
    );
}

#[test]
fn long_text_refused() {
    let text = vec![b'x'; 65 * 1024 * 1024];
    assert_eq!(PackedText::pack(&text).unpack(), None);
}
