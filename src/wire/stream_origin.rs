//! Messages about the software version at which a stream began.
//!
//! [`OriginNotice`]s travel in datagrams: a byte that names the format, then the notices, one after
//! the other, in MessagePack. [`OriginQuery`] is an ordinary call.

use serde::Deserialize;
use serde::Serialize;

use crate::decide::traffic::StreamKey;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::ServiceName;
use crate::names::SoftwareVersion;

/// Path of [`OriginQuery`].
pub const STREAM_ORIGIN_PATH: &str = "/relay/v1/stream-origin";
/// Most bytes in one datagram, so that no link has to fragment it.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// First byte of a datagram with [`OriginNotice`]s; a later format has another one.
const NOTICES_FORMAT: u8 = 1;

/// Tells an instance at which software version a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// The stream.
    pub stream: StreamKey,
    /// Software version of the replica that brought its first event.
    pub software: SoftwareVersion,
}

/// Asks an instance at which software version a stream began; the reply is
/// [`OriginKnowledge`](crate::decide::traffic::OriginKnowledge). Older processes answer that they
/// don't know the path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The stream; `None` if its caller doesn't name it.
    pub stream: Option<StreamKey>,
    /// Service that it belongs to.
    pub service: ServiceName,
}

/// Encodes notices as datagrams, as few as their order allows; a notice that exceeds a datagram by
/// itself is left out.
///
/// # Errors
///
/// `Internal` if a notice can't be encoded.
pub fn encode_notices(notices: &[OriginNotice]) -> Result<Vec<Vec<u8>>> {
    let mut datagrams: Vec<Vec<u8>> = Vec::new();
    for notice in notices {
        let encoded = rmp_serde::to_vec(notice)
            .map_err(|e| Error::new(ErrorKind::Internal, format!("notice not encoded: {e}")))?;
        if 1 + encoded.len() > MAX_DATAGRAM_BYTES {
            log::debug!("origin of a stream not told, as its notice has {} bytes", encoded.len());
            continue;
        }
        match datagrams.last_mut() {
            Some(last) if last.len() + encoded.len() <= MAX_DATAGRAM_BYTES => {
                last.extend_from_slice(&encoded);
            }
            _ => datagrams.push([&[NOTICES_FORMAT], encoded.as_slice()].concat()),
        }
    }
    Ok(datagrams)
}

/// Decodes the notices in a datagram.
///
/// # Errors
///
/// `Malformed` if it has another format or any notice can't be decoded.
pub fn decode_notices(datagram: &[u8]) -> Result<Vec<OriginNotice>> {
    let malformed = |detail: String| Error::new(ErrorKind::Malformed, detail);
    let Some((&NOTICES_FORMAT, mut rest)) = datagram.split_first() else {
        let format = datagram.first();
        return Err(malformed(format!("datagram of unknown format {format:?}")));
    };
    let mut notices = Vec::new();
    while !rest.is_empty() {
        let notice = rmp_serde::from_read(&mut rest);
        notices.push(notice.map_err(|e| malformed(format!("notice can't be decoded: {e}")))?);
    }
    Ok(notices)
}
