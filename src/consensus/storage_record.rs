use {super::StorageError, prost::Message};

/// Bytes in front of a record: the length of its body, the checksum of its body, and the checksum of both.
const HEAD_BYTES: usize = 12;
/// Last byte of a record. It is not 0, so that space which was never written is told apart.
const END_MARK: u8 = 0xE5;

/// A record of a file: the offset where it starts and its body.
pub(super) type Record<'a> = (usize, &'a [u8]);

/// Appends a record to `buf`.
pub(super) fn write_record<M: Message>(buf: &mut Vec<u8>, message: &M) {
    let body = message.encode_to_vec();
    let start = buf.len();
    buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    let head = crc32fast::hash(&buf[start..]);
    buf.extend_from_slice(&head.to_le_bytes());
    buf.extend_from_slice(&body);
    buf.push(END_MARK);
}

/// Returns the body of the intact record at `offset` and where the record ends.
pub(super) fn read_record(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let end = record_end(bytes, offset)?;
    let body = bytes.get(offset + HEAD_BYTES..end - 1)?;
    let intact = *bytes.get(end - 1)? == END_MARK && crc32fast::hash(body) == word(bytes, offset + 4)?;
    intact.then_some((body, end))
}

/// Reads all records. A torn tail, whose sync can never have returned, ends them; the second value is
/// where the good part ends.
pub(super) fn read_records<'a>(
    file: &'static str,
    bytes: &'a [u8],
) -> Result<(Vec<Record<'a>>, usize), StorageError> {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some((body, end)) = read_record(bytes, offset) {
        records.push((offset, body));
        offset = end;
    }
    if is_torn(bytes, offset) {
        return Ok((records, offset));
    }
    Err(StorageError::Damaged { file, offset })
}

/// Tells if the rest from `offset` on is an unfinished write: too short, or never filled up to its end.
fn is_torn(bytes: &[u8], offset: usize) -> bool {
    let filled = bytes.iter().rposition(|b| *b != 0).map_or(0, |i| i + 1);
    let needed = match record_end(bytes, offset) {
        Some(end) => end,
        None => offset + HEAD_BYTES,
    };
    bytes.len() < needed || filled < needed
}

/// Returns where the record at `offset` ends by its head. `None`: the head is not intact.
fn record_end(bytes: &[u8], offset: usize) -> Option<usize> {
    let head = bytes.get(offset..offset + 8)?;
    let intact = crc32fast::hash(head) == word(bytes, offset + 8)?;
    intact.then_some(offset + HEAD_BYTES + word(bytes, offset)? as usize + 1)
}

fn word(bytes: &[u8], at: usize) -> Option<u32> {
    let word = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(word.try_into().ok()?))
}
