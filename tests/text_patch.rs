//! Patches between texts.

use {
    clementinefold::wire::control::{TextPatch, TextPiece},
    prost::Message,
    quickcheck::quickcheck,
};

fn object(n: usize) -> String {
    format!("{{\"name\":\"object-{n}\",\"weight\":{}}},", n * 7919 % 1000)
}

/// A text of these objects, by their numbers.
fn text(numbers: &[u8]) -> String {
    numbers.iter().map(|n| object(usize::from(*n))).collect()
}

quickcheck! {
    fn any_texts(old: Vec<u8>, new: Vec<u8>) -> bool {
        TextPatch::between(&old, &new).apply(&old) == Some(new)
    }

    fn texts_of_objects(old: Vec<u8>, new: Vec<u8>) -> bool {
        let (old, new) = (text(&old), text(&new));
        let patch = TextPatch::between(old.as_bytes(), new.as_bytes());
        patch.apply(old.as_bytes()) == Some(new.into_bytes())
    }

    fn other_text_refused(old: Vec<u8>, new: Vec<u8>, other: Vec<u8>) -> bool {
        let (old, new, other) = (text(&old), text(&new), text(&other));
        let patched = TextPatch::between(old.as_bytes(), new.as_bytes()).apply(other.as_bytes());
        patched.is_none_or(|patched| patched == new.as_bytes())
    }

    fn any_patch_read(offsets: Vec<(Option<u32>, u32)>, fresh: Vec<u8>, old: Vec<u8>) -> bool {
        let pieces = offsets.iter().map(|(old_offset, length)| TextPiece {
            old_offset: *old_offset,
            length: *length,
        });
        let patch = TextPatch {
            pieces: pieces.collect(),
            packed_fresh: fresh.into(),
            checksum: 0,
        };
        patch.apply(&old).is_none_or(|text| crc32fast::hash(&text) == 0)
    }
}

#[test]
fn small_for_small_changes() {
    let old: Vec<String> = (0..900).map(object).collect();
    let changed = |edit: fn(&mut Vec<String>)| {
        let mut new = old.clone();
        edit(&mut new);
        let patch = TextPatch::between(old.concat().as_bytes(), new.concat().as_bytes());
        assert_eq!(
            patch.apply(old.concat().as_bytes()),
            Some(new.concat().into_bytes())
        );
        patch.encoded_len()
    };
    assert!(changed(|_| {}) < 20);
    assert!(changed(|new| new[450] = object(9999)) < 100);
    assert!(changed(|new| new.insert(0, object(9999))) < 100);
    assert!(changed(|new| drop(new.remove(899))) < 20);
    assert!(changed(|new| new.swap(1, 898)) < 100);
}
