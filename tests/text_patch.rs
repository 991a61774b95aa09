//! Patches between texts.

use {
    clementinefold::wire::control::{TextPatch, TextPiece},
    prost::Message,
    quickcheck::quickcheck,
};

fn object(n: usize) -> String {
    format!("{{\"name\":\"object-{n}\",\"weight\":{}}},", n * 7919 % 1000)
}

/// Returns a text that consists of the objects with these numbers.
fn text(numbers: &[u8]) -> String {
    numbers.iter().map(|n| object(usize::from(*n))).collect()
}

quickcheck! {
    fn patch_of_arbitrary_texts(old: Vec<u8>, new: Vec<u8>) -> bool {
        TextPatch::between(&old, &new).apply(&old) == Some(new)
    }

    fn patch_of_object_texts(old: Vec<u8>, new: Vec<u8>) -> bool {
        let (old, new) = (text(&old), text(&new));
        let patch = TextPatch::between(old.as_bytes(), new.as_bytes());
        patch.apply(old.as_bytes()) == Some(new.into_bytes())
    }

    fn patch_refused_for_other_text(old: Vec<u8>, new: Vec<u8>, other: Vec<u8>) -> bool {
        let (old, new, other) = (text(&old), text(&new), text(&other));
        let patched = TextPatch::between(old.as_bytes(), new.as_bytes()).apply(other.as_bytes());
        patched.is_none_or(|patched| patched == new.as_bytes())
    }

    fn arbitrary_patch_handled(offsets: Vec<(Option<u32>, u32)>, added: Vec<u8>, old: Vec<u8>) -> bool {
        let pieces = offsets.iter().map(|(old_offset, length)| TextPiece {
            old_offset: *old_offset,
            length: *length,
        });
        let patch = TextPatch {
            pieces: pieces.collect(),
            packed_fresh: added.into(),
            checksum: 0,
        };
        patch.apply(&old).is_none_or(|text| crc32fast::hash(&text) == 0)
    }
}

#[test]
fn small_for_small_changes() {
    let old: Vec<String> = (0..900).map(object).collect();
    let patch_size_after = |edit: fn(&mut Vec<String>)| {
        let mut new = old.clone();
        edit(&mut new);
        let patch = TextPatch::between(old.concat().as_bytes(), new.concat().as_bytes());
        assert_eq!(
            patch.apply(old.concat().as_bytes()),
            Some(new.concat().into_bytes())
        );
        patch.encoded_len()
    };
    assert!(patch_size_after(|_| {}) < 20);
    assert!(patch_size_after(|new| new[450] = object(9999)) < 100);
    assert!(patch_size_after(|new| new.insert(0, object(9999))) < 100);
    assert!(patch_size_after(|new| drop(new.remove(899))) < 20);
    assert!(patch_size_after(|new| new.swap(1, 898)) < 100);
}
