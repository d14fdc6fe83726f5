//! The origins of streams, as the store holds them.

use prost::Message;

use crate::WireError;
use crate::generated::gateway::StreamRecords;

/// Encodes a record of the store.
pub fn encode_stream_records(records: &StreamRecords) -> Vec<u8> {
    records.encode_to_vec()
}

/// Decodes a record that [`encode_stream_records`] made.
pub fn decode_stream_records(bytes: &[u8]) -> Result<StreamRecords, WireError> {
    StreamRecords::decode(bytes).map_err(|_| WireError::Invalid {
        field: "stream records",
    })
}
