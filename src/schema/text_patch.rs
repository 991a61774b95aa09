use {
    super::PackedText,
    crate::wire::control::{TextPatch, TextPiece},
    std::{collections::HashMap, ops::Range},
};

impl TextPatch {
    /// Returns the patch that turns `old` into `new`. It is small where both share most of their JSON objects.
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let mut places: HashMap<&[u8], usize> = HashMap::new();
        for object in objects(old) {
            places.entry(&old[object.clone()]).or_insert(object.start);
        }
        let mut pieces: Vec<TextPiece> = Vec::new();
        let mut fresh = Vec::new();
        for object in objects(new) {
            let bytes = &new[object];
            // An object that follows the last piece in the old text too makes that piece longer.
            let follows = pieces
                .last()
                .and_then(end_in_old)
                .filter(|end| old[*end..].starts_with(bytes));
            let place = follows.or_else(|| places.get(bytes).copied());
            if place.is_none() {
                fresh.extend_from_slice(bytes);
            }
            extend(&mut pieces, place, bytes.len());
        }
        Self {
            pieces,
            packed_fresh: PackedText::pack(&fresh).as_bytes().clone(),
            checksum: crc32fast::hash(new),
        }
    }

    /// Returns the text that `old` is turned into. `None`: the patch is not for this text.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let fresh = PackedText::from_bytes(self.packed_fresh.clone()).unpack()?;
        let mut fresh = fresh.as_slice();
        let mut new = Vec::with_capacity(old.len() + fresh.len());
        for piece in &self.pieces {
            let length = piece.length as usize;
            let bytes = match piece.old_offset {
                Some(offset) => old.get(offset as usize..)?.get(..length)?,
                None => {
                    let (taken, rest) = fresh.split_at_checked(length)?;
                    fresh = rest;
                    taken
                }
            };
            new.extend_from_slice(bytes);
        }
        (crc32fast::hash(&new) == self.checksum).then_some(new)
    }
}

/// Splits a text before each `{`, so that each piece has the most of one JSON object.
fn objects(text: &[u8]) -> impl Iterator<Item = Range<usize>> + '_ {
    let mut start = 0;
    std::iter::from_fn(move || {
        if start == text.len() {
            return None;
        }
        let next = text[start + 1..].iter().position(|b| *b == b'{');
        let end = next.map_or(text.len(), |i| start + 1 + i);
        let object = start..end;
        start = end;
        Some(object)
    })
}

fn end_in_old(piece: &TextPiece) -> Option<usize> {
    piece
        .old_offset
        .map(|offset| offset as usize + piece.length as usize)
}

/// Adds bytes to the last piece if they follow it, or else as a piece of their own. `place` is where they are in the
/// old text.
fn extend(pieces: &mut Vec<TextPiece>, place: Option<usize>, length: usize) {
    if let Some(last) = pieces.last_mut() {
        if place == end_in_old(last) {
            last.length += length as u32;
            return;
        }
    }
    pieces.push(TextPiece {
        old_offset: place.map(|place| place as u32),
        length: length as u32,
    });
}
