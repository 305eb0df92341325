//! Tickets for submissions, signed with HMAC-SHA256.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::Incarnation;
use crate::names::InstanceName;
use crate::names::RequestId;

/// Permission to run one submission at one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Identifier of the submission that it allows.
    pub id: RequestId,
    /// Instance that issued it.
    pub issuer: InstanceName,
    /// Incarnation that issued it.
    pub incarnation: Incarnation,
    /// When it expires, on the issuer's clock, in milliseconds.
    pub expires_ms: u64,
}

impl Ticket {
    /// Encodes the ticket as a token with its signature.
    pub fn sign(&self, key: &[u8]) -> String {
        let text = self.text();
        let mac = Self::mac(key, &text).finalize().into_bytes();
        format!("{text}.{}", hex(&mac))
    }

    /// Checks the signature of a token and decodes the ticket.
    ///
    /// # Errors
    ///
    /// `TicketInvalid` if the token can't be decoded or its signature is wrong.
    pub fn verify(token: &str, key: &[u8]) -> Result<Self> {
        let invalid = || Error::new(ErrorKind::TicketInvalid, "ticket is damaged or forged");
        let (text, signature) = token.rsplit_once('.').ok_or_else(invalid)?;
        let signature = unhex(signature).ok_or_else(invalid)?;
        Self::mac(key, text).verify_slice(&signature).map_err(|_| invalid())?;
        Self::parse(text).ok_or_else(invalid)
    }

    fn text(&self) -> String {
        format!("{}.{}.{}.{}", self.id, self.incarnation, self.expires_ms, self.issuer)
    }

    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(4, '.');
        Some(Self {
            id: parts.next()?.parse().ok()?,
            incarnation: Incarnation(parts.next()?.parse().ok()?),
            expires_ms: parts.next()?.parse().ok()?,
            issuer: InstanceName::new(parts.next()?),
        })
    }

    fn mac(key: &[u8], text: &str) -> Hmac<Sha256> {
        // HMAC takes keys of every length.
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes any key length");
        mac.update(text.as_bytes());
        mac
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok()).collect()
}
