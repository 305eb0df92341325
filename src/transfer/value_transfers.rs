//! Values that one instance has, and their transfers from and to others.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::ReceivedValue;
use super::TransferFailure;
use super::TransferTry;
use super::TryEnd;
use super::decode_value;
use super::encode_value;
use super::encoding_cache::EncodingCache;
use crate::daemon::Clock;
use crate::decide::transfer::EncodedValue;
use crate::decide::transfer::Fetch;
use crate::decide::transfer::FetchStep;
use crate::decide::transfer::HeldValues;
use crate::decide::transfer::LargeValue;
use crate::decide::transfer::MAX_PIECE_BYTES;
use crate::decide::transfer::Serving;
use crate::decide::transfer::TurnAway;
use crate::decide::transfer::ValueId;
use crate::decide::transfer::ValueReference;
use crate::edge::HttpClient;
use crate::edge::call_peer;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;
use crate::names::Timestamp;
use crate::wire::transfer::PIECE_PATH;
use crate::wire::transfer::PieceReply;
use crate::wire::transfer::PieceRequest;

/// Largest encoding that a message contains instead of a reference, in bytes.
const MAX_INLINE_BYTES: usize = 4 * 1024;

/// Failure of a transfer that another task has ended.
const NO_TRANSFER: TransferFailure =
    TransferFailure { detail: "the transfer was ended", next: None };

/// Large values of one instance, and their transfers.
pub struct ValueTransfers {
    /// Address on which this instance listens for peers.
    me: SocketAddr,
    http: HttpClient,
    clock: Clock,
    held: Mutex<HeldValues>,
    serving: Mutex<Serving>,
    encodings: Mutex<EncodingCache>,
    /// The transfer to this instance, also one that was given up.
    fetch: Mutex<Option<Fetch>>,
    /// Held by the one transfer in progress.
    fetching: tokio::sync::Mutex<()>,
    source_added: Notify,
}

impl ValueTransfers {
    /// Without any value, for the instance at `me` whose link has this bandwidth in Mbit/s; 0 if it
    /// isn't known.
    pub fn new(me: SocketAddr, link_mbps: u32, http: HttpClient, clock: Clock) -> Self {
        Self {
            me,
            http,
            clock,
            held: Mutex::default(),
            serving: Mutex::new(Serving::new(link_mbps)),
            encodings: Mutex::default(),
            fetch: Mutex::default(),
            fetching: tokio::sync::Mutex::default(),
            source_added: Notify::new(),
        }
    }

    /// Keeps a value to serve others with; one that isn't large is ignored.
    pub fn hold(&self, value: &Bytes) {
        lock(&self.held).add(value);
    }

    /// Identity of the newest value, from which others may make differences.
    pub fn newest(&self) -> Option<ValueId> {
        lock(&self.held).newest()
    }

    /// Refers to a value instead of sending it to a receiver that has `base`; `None` if it isn't a
    /// large value that this instance holds.
    pub fn reference(
        &self,
        key: &str,
        value: &Bytes,
        base: Option<ValueId>,
    ) -> Option<ValueReference> {
        let large = LargeValue::of(value)?;
        lock(&self.held).get(large.id)?;
        let encoded = self.encoding_of(large, base).ok()?;
        let encoded = (encoded.bytes.len() <= MAX_INLINE_BYTES).then_some(encoded);
        Some(ValueReference { key: key.to_owned(), value: large, encoded })
    }

    /// Answers another instance that asks for a piece.
    pub fn answer(&self, request: &PieceRequest) -> PieceReply {
        let PieceRequest { from, value, is_urgent, .. } = *request;
        let Ok(encoded) = self.requested_encoding(request) else { return PieceReply::Unknown };
        let now = self.clock.now();
        let size = encoded.bytes.len();
        let admitted = lock(&self.serving).admit(now, from, value, size, is_urgent);
        if let Err(TurnAway { retry_in, holders }) = admitted {
            let retry_in_ms = u64::try_from(retry_in.as_millis()).unwrap_or(u64::MAX);
            return PieceReply::Busy { retry_in_ms, holders };
        }
        let is_same = request.encoding == Some(encoded.id);
        let offset = if is_same { (request.offset as usize).min(size) } else { 0 };
        let end = size.min(offset + (request.max_bytes as usize).min(MAX_PIECE_BYTES));
        let bytes = encoded.bytes.slice(offset..end);
        if end == size {
            lock(&self.serving).on_last_sent(now, from, value.id);
        }
        let offset = u32::try_from(offset).unwrap_or(u32::MAX);
        PieceReply::Piece { encoding: encoded.id, offset, bytes }
    }

    /// Tells the transfer in progress of another instance that may have its value.
    pub fn add_source(&self, addr: SocketAddr) {
        if let Some(fetch) = &mut *lock(&self.fetch) {
            fetch.add_source(addr);
        }
        self.source_added.notify_one();
    }

    /// Whether a value is being received.
    pub fn is_receiving(&self) -> bool {
        self.fetching.try_lock().is_err()
    }

    /// The value that a reference of the instance at `from` stands for, asked for in pieces unless it
    /// is here; `on_try` hears of the instances that were asked.
    ///
    /// # Errors
    ///
    /// Why no instance sends it.
    pub async fn fetch(
        &self,
        reference: ValueReference,
        from: SocketAddr,
        on_try: &(dyn Fn(&TransferTry) + Send + Sync),
    ) -> std::result::Result<ReceivedValue, TransferFailure> {
        let began = self.clock.now();
        let whole = ReceivedValue {
            bytes: Bytes::new(),
            encoded_bytes: 0,
            is_difference: false,
            from,
            took: Duration::ZERO,
        };
        if let Some(bytes) = lock(&self.held).get(reference.value.id) {
            return Ok(ReceivedValue { bytes, ..whole });
        }
        if let Some(EncodedValue { id, bytes: encoded }) = reference.encoded
            && let Ok(bytes) = self.decode(reference.value, id.base, &encoded)
        {
            let (encoded_bytes, is_difference) = (encoded.len(), id.base.is_some());
            return Ok(ReceivedValue { bytes, encoded_bytes, is_difference, ..whole });
        }
        let _fetching = self.fetching.lock().await;
        self.begin(reference.value, from);
        let received = self.receive(on_try).await?;
        Ok(ReceivedValue { took: self.clock.now().since(began), ..received })
    }

    /// Begins a transfer, or goes on with the one that was given up.
    fn begin(&self, value: LargeValue, from: SocketAddr) {
        let now = self.clock.now();
        let mut slot = lock(&self.fetch);
        let fetch = match &mut *slot {
            Some(fetch) if fetch.value() == value => fetch,
            slot => slot.insert(Fetch::new(now, value, self.me)),
        };
        fetch.resume(now);
        fetch.add_source(from);
    }

    /// Asks for pieces until all have arrived.
    async fn receive(
        &self,
        on_try: &(dyn Fn(&TransferTry) + Send + Sync),
    ) -> std::result::Result<ReceivedValue, TransferFailure> {
        let mut current: Option<TransferTry> = None;
        let mut began = self.clock.now();
        loop {
            let now = self.clock.now();
            let Some(step) = lock(&self.fetch).as_ref().map(|fetch| fetch.next(now)) else {
                return Err(NO_TRANSFER);
            };
            match step {
                FetchStep::Ask { from, is_urgent } => {
                    if current.as_ref().is_none_or(|attempt| attempt.from != from) {
                        began = now;
                    }
                    let attempt = self.ask(from, is_urgent, current.take(), began).await?;
                    if attempt.end != TryEnd::Served {
                        on_try(&attempt);
                        began = self.clock.now();
                    } else {
                        current = Some(attempt);
                    }
                }
                FetchStep::Wait(time) => {
                    tokio::select! {
                        () = sleep(time) => {}
                        () = self.source_added.notified() => {}
                    }
                }
                FetchStep::Complete => {
                    let Some(attempt) = current.take() else { return Err(NO_TRANSFER) };
                    if let Some(received) = self.complete(attempt.from, attempt.took) {
                        on_try(&attempt);
                        return Ok(received);
                    }
                    let end = TryEnd::Failed("what was sent is another value".to_owned());
                    on_try(&TransferTry { end, ..attempt });
                }
                FetchStep::GiveUp { next } => {
                    return Err(TransferFailure { detail: "no instance sends it", next });
                }
            }
        }
    }

    /// Asks one instance for the next piece; the returned try adds that to `before`.
    async fn ask(
        &self,
        from: SocketAddr,
        is_urgent: bool,
        before: Option<TransferTry>,
        began: Timestamp,
    ) -> std::result::Result<TransferTry, TransferFailure> {
        let Some((request, limit)) = self.next_request(is_urgent) else {
            return Err(NO_TRANSFER);
        };
        let reply: Result<PieceReply> =
            call_peer(&self.http, from, PIECE_PATH, &request, limit).await;
        let now = self.clock.now();
        let mut slot = lock(&self.fetch);
        let Some(fetch) = &mut *slot else { return Err(NO_TRANSFER) };
        let mut bytes = before.filter(|before| before.from == from).map_or(0, |b| b.bytes);
        let end = match reply {
            Ok(PieceReply::Piece { encoding, offset, bytes: piece }) => {
                bytes += piece.len();
                fetch.on_piece(now, from, encoding, offset as usize, &piece);
                TryEnd::Served
            }
            Ok(PieceReply::Busy { retry_in_ms, holders }) => {
                let retry_in = Duration::from_millis(retry_in_ms);
                fetch.on_turned_away(now, from, &TurnAway { retry_in, holders });
                TryEnd::Busy
            }
            Ok(PieceReply::Unknown) => {
                fetch.on_unknown(from);
                TryEnd::Unknown
            }
            Err(e) => {
                fetch.on_failure(now, from);
                TryEnd::Failed(e.to_string())
            }
        };
        Ok(TransferTry { value: request.value, from, bytes, took: now.since(began), end })
    }

    /// The next request, and the time limit of the call.
    fn next_request(&self, is_urgent: bool) -> Option<(PieceRequest, Duration)> {
        let slot = lock(&self.fetch);
        let fetch = slot.as_ref()?;
        let encoding = fetch.encoding();
        let request = PieceRequest {
            from: self.me,
            value: fetch.value(),
            base: encoding.map_or_else(|| self.newest(), |encoding| encoding.base),
            encoding,
            offset: u32::try_from(fetch.received().len()).unwrap_or(u32::MAX),
            max_bytes: u32::try_from(fetch.piece_bytes()).unwrap_or(u32::MAX),
            is_urgent,
        };
        Some((request, fetch.piece_timeout()))
    }

    /// The value that has arrived, the last piece from `from`; `None` if the pieces are of something
    /// else.
    fn complete(&self, from: SocketAddr, took: Duration) -> Option<ReceivedValue> {
        let mut slot = lock(&self.fetch);
        let fetch = slot.as_mut()?;
        let base = fetch.encoding().and_then(|encoding| encoding.base);
        let encoded_bytes = fetch.received().len();
        match self.decode(fetch.value(), base, fetch.received()) {
            Ok(bytes) => {
                *slot = None;
                let is_difference = base.is_some();
                Some(ReceivedValue { bytes, encoded_bytes, is_difference, from, took })
            }
            Err(e) => {
                log::debug!("pieces from {from} are dropped: {e}");
                fetch.on_undecodable(from);
                None
            }
        }
    }

    fn decode(&self, value: LargeValue, base: Option<ValueId>, encoded: &[u8]) -> Result<Bytes> {
        let Some(id) = base else { return decode_value(value, encoded, None) };
        let base = lock(&self.held).get(id).ok_or_else(|| not_held("its base isn't held"))?;
        decode_value(value, encoded, Some(&base))
    }

    /// The encoding that a receiver has begun to get, or else one from its base.
    fn requested_encoding(&self, request: &PieceRequest) -> Result<EncodedValue> {
        let begun = self.begun_encoding(request);
        begun.map_or_else(|| self.encoding_of(request.value, request.base), Ok)
    }

    fn begun_encoding(&self, request: &PieceRequest) -> Option<EncodedValue> {
        let id = request.encoding?;
        lock(&self.encodings).get(self.clock.now(), request.value.id, id)
    }

    fn encoding_of(&self, value: LargeValue, base: Option<ValueId>) -> Result<EncodedValue> {
        let held = lock(&self.held);
        let base = base.filter(|id| *id != value.id).and_then(|id| Some((id, held.get(id)?)));
        let bytes = held.get(value.id).ok_or_else(|| not_held("the value isn't held"))?;
        drop(held);
        let now = self.clock.now();
        let base_id = base.as_ref().map(|(id, _)| *id);
        if let Some(encoded) = lock(&self.encodings).made_from(now, value.id, base_id) {
            return Ok(encoded);
        }
        let encoded = encode_value(&bytes, base.as_ref().map(|(id, bytes)| (*id, &**bytes)))?;
        lock(&self.encodings).add(now, value.id, encoded.clone());
        Ok(encoded)
    }
}

fn not_held(detail: &str) -> Error {
    Error::new(ErrorKind::NotFound, detail)
}

fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}
