//! Streams that are read whole before they are passed on.

use std::sync::Arc;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use jd_net::AnswerBuffer;
use jd_net::AnswerMemory;
use jd_net::Body;
use jd_net::ReadError;

/// Reads the whole body of a response that was to be sent in parts. Fails if it breaks off, is larger than
/// `limit` bytes, or finds no memory.
pub(crate) async fn read_body(
    memory: &Arc<AnswerMemory>,
    mut body: Body,
    limit: usize,
) -> Result<Vec<Bytes>, ReadError> {
    let mut answer = AnswerBuffer::new(memory, limit);
    loop {
        let frame = async { Ok(body.frame().await) };
        match frame.or(answer.until_revoked()).await? {
            None => return Ok(answer.finish()),
            Some(Err(_)) => return Err(ReadError::Broken),
            Some(Ok(frame)) => {
                if let Ok(part) = frame.into_data() {
                    answer.push(&part).await?;
                }
            }
        }
    }
}
