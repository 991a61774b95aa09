use {super::StorageError, prost::Message};

/// Length of the header of a record: the length of the body, the checksum of the body, and a checksum over these
/// two fields, 4 bytes each in little-endian order.
const HEADER_BYTES: usize = 12;
/// Last byte of a record. It is not 0, so that a record can be distinguished from space that was never written.
const END_MARK: u8 = 0xE5;

/// A record in a file: its offset and its body.
pub(super) type Record<'a> = (usize, &'a [u8]);

/// Appends a record to `buf`.
pub(super) fn write_record<M: Message>(buf: &mut Vec<u8>, message: &M) {
    let body = message.encode_to_vec();
    let start = buf.len();
    buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    let header_checksum = crc32fast::hash(&buf[start..]);
    buf.extend_from_slice(&header_checksum.to_le_bytes());
    buf.extend_from_slice(&body);
    buf.push(END_MARK);
}

/// Returns the body and the end offset of the record at `offset`, or `None` if it is not intact.
pub(super) fn read_record(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let end = record_end(bytes, offset)?;
    let body = bytes.get(offset + HEADER_BYTES..end - 1)?;
    let is_intact = *bytes.get(end - 1)? == END_MARK && crc32fast::hash(body) == read_u32(bytes, offset + 4)?;
    is_intact.then_some((body, end))
}

/// Reads all records of a file. A torn tail is left out, since its sync cannot have returned.
///
/// # Errors
/// Fails if a record is damaged in a way that an unfinished write does not explain.
pub(super) fn read_records<'a>(file: &'static str, bytes: &'a [u8]) -> Result<Vec<Record<'a>>, StorageError> {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some((body, end)) = read_record(bytes, offset) {
        records.push((offset, body));
        offset = end;
    }
    if is_torn(bytes, offset) {
        return Ok(records);
    }
    Err(StorageError::Damaged { file, offset })
}

/// Returns whether the bytes from `offset` on are an unfinished write: they are too short, or zeros up to the end
/// of the file show that the record was never filled.
fn is_torn(bytes: &[u8], offset: usize) -> bool {
    let filled_len = bytes.iter().rposition(|b| *b != 0).map_or(0, |i| i + 1);
    let needed_len = match record_end(bytes, offset) {
        Some(end) => end,
        None => offset + HEADER_BYTES,
    };
    bytes.len() < needed_len || filled_len < needed_len
}

/// Returns the end offset that the header of the record at `offset` gives, or `None` if the header is not intact.
fn record_end(bytes: &[u8], offset: usize) -> Option<usize> {
    let fields = bytes.get(offset..offset + 8)?;
    let is_intact = crc32fast::hash(fields) == read_u32(bytes, offset + 8)?;
    is_intact.then_some(offset + HEADER_BYTES + read_u32(bytes, offset)? as usize + 1)
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let word = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(word.try_into().ok()?))
}
