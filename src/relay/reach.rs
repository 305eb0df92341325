//! Whether this instance reaches the replicas of its services; tells its peers and the log.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::connection_pool::ConnectionPool;
use super::fleet_event::FleetEvent;
use super::log_event::record;
use super::node::Node;
use crate::names::BackendName;

/// Interval at which trial connections are considered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Trial connections to the replicas of one service at the same time.
const TRIALS: usize = 3;

/// Records that a connection to a replica was made.
pub fn on_connected(node: &Node, replica: &BackendName) {
    let Some(service) = node.replicas().on_connected(replica) else { return };
    let (service, replica) = (service.as_str(), replica.as_str());
    record(&FleetEvent::LinksRegained { service, replica });
    update_record(node);
}

/// Records that no connection to a replica could be made.
pub fn on_unreachable(node: &Node, replica: &BackendName) {
    let now = node.now();
    let Some(service) = node.replicas().on_unreachable(now, replica) else { return };
    let others = node.peers().that_reach(now, &service).len();
    let (service, replica) = (service.as_str(), replica.as_str());
    record(&FleetEvent::LinksLost { service, replica, others });
    update_record(node);
}

/// Tries connections to replicas after failures and while a service is out of reach, until the
/// process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = node.now();
        let due = node.replicas().to_try(now, TRIALS);
        update_record(&node);
        for (replica, addr) in due {
            let node = Arc::clone(&node);
            tokio::spawn(async move {
                match ConnectionPool::connect(addr).await {
                    Ok(_) => on_connected(&node, &replica),
                    Err(e) => {
                        log::debug!("trial connection to {replica} failed: {e}");
                        on_unreachable(&node, &replica);
                    }
                }
            });
        }
    }
}

/// Puts the services that are out of reach into this instance's record, if these have changed; one may
/// also have gone.
fn update_record(node: &Node) {
    let cut_from = node.replicas().services_out_of_reach();
    if node.peers().me().cut_from == cut_from {
        return;
    }
    let config = node.current_config();
    let has_engine = |service| {
        let known = config.as_ref().and_then(|config| config.service_or_former(service));
        known.is_some_and(|service| service.engine.is_some())
    };
    let gives_no_orders = cut_from.iter().any(has_engine);
    node.peers().set_cut_from(cut_from, gives_no_orders);
    node.exchange_wake.notify_one();
}
