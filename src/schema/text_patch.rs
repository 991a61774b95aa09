use {
    super::PackedText,
    crate::wire::control::{TextPatch, TextPiece},
    std::{collections::HashMap, ops::Range},
};

impl TextPatch {
    /// Returns the patch that turns `old` into `new`. It is small where both share most of their JSON objects.
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let mut offsets: HashMap<&[u8], usize> = HashMap::new();
        for object in split_objects(old) {
            offsets.entry(&old[object.clone()]).or_insert(object.start);
        }
        let mut pieces: Vec<TextPiece> = Vec::new();
        let mut added = Vec::new();
        for object in split_objects(new) {
            let bytes = &new[object];
            // An object that follows the last piece in the old text too extends that piece.
            let next_in_old = pieces
                .last()
                .and_then(end_in_old)
                .filter(|end| old[*end..].starts_with(bytes));
            let old_offset = next_in_old.or_else(|| offsets.get(bytes).copied());
            if old_offset.is_none() {
                added.extend_from_slice(bytes);
            }
            add_piece(&mut pieces, old_offset, bytes.len());
        }
        Self {
            pieces,
            packed_fresh: PackedText::pack(&added).as_bytes().clone(),
            checksum: crc32fast::hash(new),
        }
    }

    /// Returns the text that the patch turns `old` into, or `None` if the patch is not for `old`.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let added = PackedText::from_bytes(self.packed_fresh.clone()).unpack()?;
        let mut added = added.as_slice();
        let mut new = Vec::with_capacity(old.len() + added.len());
        for piece in &self.pieces {
            let length = piece.length as usize;
            let bytes = match piece.old_offset {
                Some(offset) => old.get(offset as usize..)?.get(..length)?,
                None => {
                    let (taken, rest) = added.split_at_checked(length)?;
                    added = rest;
                    taken
                }
            };
            new.extend_from_slice(bytes);
        }
        (crc32fast::hash(&new) == self.checksum).then_some(new)
    }
}

/// Splits a text before each `{`, so that each part contains most of one JSON object.
fn split_objects(text: &[u8]) -> impl Iterator<Item = Range<usize>> + '_ {
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

/// Returns the end of a piece in the old text, or `None` if its bytes are not from the old text.
fn end_in_old(piece: &TextPiece) -> Option<usize> {
    piece
        .old_offset
        .map(|offset| offset as usize + piece.length as usize)
}

/// Adds bytes to the last piece if they follow it, or else as a new piece. `old_offset` is their offset in the old
/// text, or `None` if they are not from it.
fn add_piece(pieces: &mut Vec<TextPiece>, old_offset: Option<usize>, length: usize) {
    if let Some(last) = pieces.last_mut() {
        if old_offset == end_in_old(last) {
            last.length += length as u32;
            return;
        }
    }
    pieces.push(TextPiece {
        old_offset: old_offset.map(|old_offset| old_offset as u32),
        length: length as u32,
    });
}
