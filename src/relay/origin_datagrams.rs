//! Sends and receives the datagrams that tell other instances at which version streams began.
//!
//! They go over UDP, to the address at which an instance's peers reach it over TCP: each stream is
//! told to several instances, and the head of an HTTP call alone has more bytes than ten notices.
//! A datagram that is lost, or can't be sent, leaves its streams to the other instances that know
//! them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::listen_sockets::bind_when_free;
use super::node::Node;
use super::run::keep_running;
use crate::decide::listening::ListenAddress;
use crate::wire::stream_origin::OriginNotice;
use crate::wire::stream_origin::decode_notices;
use crate::wire::stream_origin::encode_notices;

/// Time for which notices to one instance are collected before they are sent together.
const BATCH_TIME: Duration = Duration::from_millis(50);
/// Most notices that wait to be sent to one instance; further ones are dropped.
const MAX_WAITING: usize = 4096;
/// Largest datagram that is read; of a longer one the rest is lost.
const MAX_READ_BYTES: usize = 2048;
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Socket for the datagrams, and the notices that wait to be sent.
#[derive(Debug, Default)]
pub struct OriginDatagrams {
    socket: OnceLock<UdpSocket>,
    waiting: Mutex<BTreeMap<SocketAddr, Vec<OriginNotice>>>,
    wake: Notify,
}

impl OriginDatagrams {
    /// Has a notice sent to each of `receivers`, without waiting for it.
    pub fn send(&self, receivers: &[SocketAddr], notice: &OriginNotice) {
        if self.socket.get().is_none() {
            return;
        }
        let mut all = self.waiting();
        for receiver in receivers {
            let waiting = all.entry(*receiver).or_default();
            if waiting.len() < MAX_WAITING {
                waiting.push(notice.clone());
            } else {
                log::debug!("origin of a stream not told to {receiver}: too many notices wait");
            }
        }
        drop(all);
        self.wake.notify_one();
    }

    fn bind(&self, addr: SocketAddr) -> io::Result<()> {
        if self.socket.get().is_some() {
            return Ok(());
        }
        let socket = std::net::UdpSocket::bind(addr)?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        self.socket.get_or_init(|| socket);
        Ok(())
    }

    fn waiting(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<OriginNotice>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Binds the socket and starts the tasks that send and receive. Without a socket everything else
/// goes on: the instance tells nobody, and knows the origins of its own streams only.
pub async fn start(node: Arc<Node>) {
    let bind = |addr| node.origin_datagrams.bind(addr);
    let on_failure = || node.metrics.on_bind_failed();
    bind_when_free(&node.addresses, ListenAddress::Datagrams, bind, on_failure).await;
    keep_running(&node, "origin notices out", send_batches);
    keep_running(&node, "origin notices in", receive);
}

async fn send_batches(node: Arc<Node>) {
    let datagrams = &node.origin_datagrams;
    let Some(socket) = datagrams.socket.get() else { return };
    loop {
        datagrams.wake.notified().await;
        sleep(BATCH_TIME).await;
        let batches = std::mem::take(&mut *datagrams.waiting());
        for (receiver, notices) in batches {
            send_batch(socket, receiver, &notices).await;
        }
    }
}

async fn send_batch(socket: &UdpSocket, receiver: SocketAddr, notices: &[OriginNotice]) {
    let datagrams = match encode_notices(notices) {
        Ok(datagrams) => datagrams,
        Err(e) => {
            log::debug!("origins of streams not told to {receiver}: {e}");
            return;
        }
    };
    for datagram in datagrams {
        if let Err(e) = socket.send_to(&datagram, receiver).await {
            log::debug!("origins of streams not told to {receiver}: {e}");
        }
    }
}

async fn receive(node: Arc<Node>) {
    let Some(socket) = node.origin_datagrams.socket.get() else { return };
    let mut buf = [0; MAX_READ_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!("datagram can't be received, trying again: {e}");
                sleep(READ_RETRY_DELAY).await;
                continue;
            }
        };
        match decode_notices(&buf[..length]) {
            Ok(notices) => on_notices(&node, notices),
            Err(e) => {
                node.metrics.on_undecodable_datagram();
                log::debug!("datagram from {sender} ignored: {e}");
            }
        }
    }
}

fn on_notices(node: &Node, notices: Vec<OriginNotice>) {
    let now = node.now();
    let mut origins = node.stream_origins();
    for notice in notices {
        origins.on_begun(now, notice.stream, notice.software);
    }
}
