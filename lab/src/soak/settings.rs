//! Addresses and settings of the instances of a soak.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use super::template::render;

const TEMPLATE: &str = include_str!("../../../deploy/settings.json.template");

/// First of the loopback addresses that soaks use; those below belong to tests.
const FIRST_LOOPBACK: u32 = 0x7f41_0000;
/// Loopback addresses of one process that runs soaks.
const LOOPBACK_STRIDE: u32 = 512;
/// Number of such processes with addresses of their own.
const LOOPBACK_BLOCKS: u32 = 24_000;

static CLAIMED: AtomicU32 = AtomicU32::new(0);

/// Where the ports of the instances are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ports {
    /// Below those that the system gives to connections.
    Low,
    /// Among those that the system gives to connections.
    Ephemeral,
}

impl Ports {
    /// The mode of this name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "low" => Some(Self::Low),
            "ephemeral" => Some(Self::Ephemeral),
            _ => None,
        }
    }

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Ephemeral => "ephemeral",
        }
    }

    fn first(self) -> u16 {
        match self {
            Self::Low => 8141,
            Self::Ephemeral => 48_141,
        }
    }
}

/// Addresses of one instance; the ports are the same at all of them.
#[derive(Clone, Copy, Debug)]
pub struct Addrs {
    /// For callers' requests.
    pub caller: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For calls of other instances.
    pub peer: SocketAddr,
}

impl Addrs {
    /// Addresses that only this process uses, and each time others: some that an earlier soak used
    /// are still taken by its other programs.
    pub fn claim(ports: Ports) -> Self {
        let block = std::process::id() % LOOPBACK_BLOCKS;
        let number = CLAIMED.fetch_add(1, Ordering::Relaxed) % LOOPBACK_STRIDE;
        let own = FIRST_LOOPBACK + block * LOOPBACK_STRIDE + number;
        let ip = IpAddr::from(Ipv4Addr::from(own));
        let at = |offset| SocketAddr::from((ip, ports.first() + offset));
        Self { caller: at(8), ready: at(0), peer: at(3) }
    }

    /// All of them.
    pub fn all(&self) -> [SocketAddr; 3] {
        [self.caller, self.ready, self.peer]
    }
}

/// What an instance reaches others by.
#[derive(Clone, Debug)]
pub struct Links {
    /// Its link to the store.
    pub store: SocketAddr,
    /// Link of others to its listener for instances.
    pub advertised_peer: SocketAddr,
    /// Instances to contact first.
    pub seeds: Vec<SocketAddr>,
}

/// Settings file of an instance, as the platform renders it from the template, in forms drawn from `forms`.
///
/// # Errors
///
/// The template can't be rendered, or the result isn't JSON.
pub fn settings_text(
    name: &str,
    addrs: &Addrs,
    links: &Links,
    forms: Option<&mut ChaCha8Rng>,
) -> Result<String, String> {
    let mut fields = fields(name, addrs, links);
    if let Some(rng) = forms {
        vary(&mut fields, rng);
    }
    let rendered = render(TEMPLATE, &fields)?;
    let mut settings: Value =
        serde_json::from_str(&rendered).map_err(|e| format!("rendered settings: {e}"))?;
    settings["listen"]["advertised_peer"] = json!(links.advertised_peer);
    Ok(settings.to_string())
}

/// Leaves out some of the fields that a deployment may not name, and gives others in another form, or as
/// what can't be used where that is only a hint.
fn vary(fields: &mut Value, rng: &mut ChaCha8Rng) {
    let bounds = [
        ("grace_s", json!(8.0)),
        ("config_ms", json!(1200.5)),
        ("retry_ratio", json!(0)),
        ("budget_window_s", json!(10.5)),
        ("budget_slack", json!(58.5)),
        ("lease_ms", json!(3000.5)),
    ];
    let limits = ["memory_mb", "max_fds", "link_mbps"].map(|name| (name, json!(0)));
    let provider = [("history_s", json!("x"))];
    for (table, names) in
        [("bounds", &bounds[..]), ("limits", &limits[..]), ("provider", &provider[..])]
    {
        for (name, other_form) in names {
            match rng.random_range(0..6) {
                0 => fields[table][name] = Value::Null,
                1 => fields[table][name] = other_form.clone(),
                _ => {}
            }
        }
    }
    if rng.random_bool(0.2) {
        fields["heartbeat_ms"] = Value::Null;
    }
}

fn fields(name: &str, addrs: &Addrs, links: &Links) -> Value {
    json!({
        "node_name": name,
        "ip": addrs.caller.ip(),
        "zone": "a",
        "listen": {"front": addrs.caller, "ready": addrs.ready, "control": addrs.peer},
        "seeds": links.seeds,
        "limits": {
            "cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0
        },
        "heartbeat_ms": 1200,
        "bounds": {
            "grace_s": 8, "config_ms": 2000, "retry_ratio": 0.2, "budget_window_s": 10,
            "budget_slack": 58, "lease_ms": 3000
        },
        "provider": {"addr": links.store, "history_s": 20}
    })
}
