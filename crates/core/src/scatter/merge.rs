/// The size of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all parts, greatest first. Equal records are all kept; a
/// trailing remainder shorter than a record is ignored.
pub fn merge<'a>(parts: impl Iterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.flat_map(|it| it.chunks_exact(RECORD_BYTES)).collect();
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
    }
    records.truncate(top);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
