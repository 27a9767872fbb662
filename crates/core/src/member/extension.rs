use xxhash_rust::xxh3::xxh3_64;

/// Splits an extended datagram into its packet and the items of its extension. Returns nothing if
/// the datagram is not extended, or damaged.
///
/// Behind the packet stand the items, the size of all items in two bytes, and the XXH3-64 hash of
/// everything before it, both little-endian. All of that is found from the end, so that the items
/// can be read even if the packet can't.
pub(super) fn split(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (content, hash) = bytes.split_last_chunk()?;
    if u64::from_le_bytes(*hash) != xxh3_64(content) {
        return None;
    }
    let (content, size) = content.split_last_chunk()?;
    let start = content.len().checked_sub(u16::from_le_bytes(*size).into())?;
    Some(content.split_at(start))
}

/// Takes the next item off the items of an extension. Returns nothing if its length is invalid.
pub(super) fn take_item(items: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = postcard::take_from_bytes::<u32>(items).ok()?;
    rest.split_at_checked(usize::try_from(length).ok()?)
}
