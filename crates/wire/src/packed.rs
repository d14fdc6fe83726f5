//! All records of the store in one small piece.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use prost::Message;

use crate::StoreItem;
use crate::WireError;
use crate::generated::gateway::StoreItems;

/// The most bytes that a piece may unpack to: a hundred times what a deployment of
/// three hundred upstreams has. A piece that claims more would take all memory.
const MOST_UNPACKED: u64 = 96 << 20;

/// Packs records: they say much the same, and take a tenth of the bytes so.
pub fn pack(items: Vec<StoreItem>) -> std::io::Result<Vec<u8>> {
    let plain = StoreItems { items }.encode_to_vec();
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain)?;
    encoder.finish()
}

/// Unpacks records that [`pack`] made.
pub fn unpack(packed: &[u8]) -> Result<Vec<StoreItem>, WireError> {
    let invalid = WireError::Invalid { field: "packed" };
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(MOST_UNPACKED);
    if decoder.read_to_end(&mut plain).is_err() || plain.len() as u64 == MOST_UNPACKED {
        return Err(invalid);
    }
    let items = StoreItems::decode(plain.as_slice()).map_err(|_| invalid)?;
    Ok(items.items)
}
