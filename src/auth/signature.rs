//! Text form of the header that carries a peer's signature.

use std::fmt;
use std::str::FromStr;

use super::hex;
use super::hex::MAC_BYTES;
use crate::decide::replay_window::Nonce;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::names::InstanceName;
use crate::names::WallTime;

/// Name of the header that carries a [`PeerSignature`].
pub const SIGNATURE_HEADER: &str = "peer-signature";

const FORMAT_VERSION: &str = "1";
const NONCE_HEX_DIGITS: usize = 32;

/// Signature of one request; as text `1 SENDER TIME_MS NONCE MAC`, the last two hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSignature {
    /// Instance that sent the request.
    pub sender: InstanceName,
    /// When it was sent, on the sender's clock.
    pub sent: WallTime,
    /// Random number of this request; a second request with it is a replay.
    pub nonce: Nonce,
    /// HMAC-SHA256 over the parts of [`super::SignedRequest`], sender, time and nonce.
    pub mac: [u8; MAC_BYTES],
}

impl PeerSignature {
    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(' ');
        if parts.next()? != FORMAT_VERSION {
            return None;
        }
        let sender = parts.next().filter(|name| !name.is_empty())?;
        let sent = parts.next()?.parse().ok()?;
        let nonce = parts.next().filter(|digits| digits.len() == NONCE_HEX_DIGITS)?;
        let mac = hex::decode(parts.next()?)?;
        if parts.next().is_some() {
            return None;
        }
        Some(Self {
            sender: InstanceName::new(sender),
            sent: WallTime(sent),
            nonce: Nonce(u128::from_str_radix(nonce, 16).ok()?),
            mac,
        })
    }
}

impl FromStr for PeerSignature {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::parse(text).ok_or_else(|| {
            Error::new(ErrorKind::Unauthenticated, "peer signature header is malformed")
        })
    }
}

impl fmt::Display for PeerSignature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{FORMAT_VERSION} {} {} {:032x} ", self.sender, self.sent.0, self.nonce.0)?;
        f.write_str(&hex::encode(&self.mac))
    }
}
