//! Guards the parts of `lab soak` that need no fleet: schedules, settings, shrinking, links.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lab::soak::Addrs;
use lab::soak::ConfigProbe;
use lab::soak::DisruptionKind;
use lab::soak::Links;
use lab::soak::Manner;
use lab::soak::Ports;
use lab::soak::Schedule;
use lab::soak::TakenAddress;
use lab::soak::render;
use lab::soak::settings_text;
use lab::soak::shrink;
use serde_json::Value;
use serde_json::json;
use tamaracklead::relay::RelaySettings;
use tamaracklead_standin::Disturbance;
use tamaracklead_standin::Gate;
use tamaracklead_standin::Replica;
use tamaracklead_standin::free_addr;

/// The platform's template.
const TEMPLATE: &str = include_str!("../../deploy/settings.json.template");
const DURATION: Duration = Duration::from_secs(45);
/// Time in which bytes arrive on a link that isn't disturbed, even on a busy machine.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(5);

fn schedule(seed: u64) -> Schedule {
    Schedule::generate(seed, DURATION, 6, Ports::Ephemeral)
}

// Guards against seeds that can't be replayed.
#[test]
fn a_seed_gives_the_same_schedule_each_time() {
    for seed in 0..20 {
        assert_eq!(schedule(seed).describe(), schedule(seed).describe());
        assert_ne!(schedule(seed).describe(), schedule(seed + 1).describe());
    }
}

// Guards against schedules without overlaps, returns of all or a calm end.
#[test]
fn schedules_overlap_and_end_before_the_calm_time() {
    for seed in 0..50 {
        let schedule = schedule(seed);
        let ones = &schedule.disruptions;
        assert!(ones.iter().all(|one| one.until <= DURATION - Duration::from_secs(12)));
        let overlaps = ones.windows(2).filter(|pair| pair[1].at < pair[0].until).count();
        assert!(overlaps > 0, "seed {seed}");
        let is_return = |kind, count| (kind, count) == (DisruptionKind::Kill, 6);
        assert!(ones.iter().any(|one| is_return(one.kind, one.instances.len())), "seed {seed}");
    }
}

// Guards against soaks in which no start lists another writer's items, or none that were removed again.
#[test]
fn odd_items_stand_while_all_are_killed_and_in_the_calm_time() {
    let schedules: Vec<Schedule> = (0..50).map(schedule).collect();
    let meets_return = |schedule: &&Schedule| {
        let (odd, ones) = (&schedule.odd[0], &schedule.disruptions);
        let is_return = |kind, count| (kind, count) == (DisruptionKind::Kill, 6);
        let mut returns = ones.iter().filter(|one| is_return(one.kind, one.instances.len()));
        returns.any(|one| odd.at < one.until && one.until < odd.until)
    };
    let stays = |schedule: &&Schedule| schedule.odd[0].until == DURATION;
    assert!(schedules.iter().all(|one| one.odd[0].kind == DisruptionKind::OddItems));
    assert!(schedules.iter().filter(meets_return).count() > 25);
    assert!((25..50).contains(&schedules.iter().filter(stays).count()));
}

// Guards against an instance that never takes a configuration, or takes it late, unseen.
#[test]
fn a_configuration_that_is_not_in_force_in_time_is_found() {
    let start = Instant::now();
    let entry = |status: fn(Duration) -> u16| {
        Replica::start("entry", move |_, stream| {
            let status = status(start.elapsed());
            let response = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(response.as_bytes()).is_ok()
        })
    };
    let in_time = |at: Duration| if at < Duration::from_millis(600) { 404 } else { 413 };
    let late = |at: Duration| if at < Duration::from_secs(4) { 404 } else { 413 };
    let entries = [entry(|_| 413), entry(in_time), entry(late), entry(|_| 404), entry(|_| 503)];
    let probe = ConfigProbe::start(entries.iter().map(|one| one.addr).collect(), 2);
    thread::sleep(Duration::from_secs(6));
    let faults: Vec<Option<String>> = probe.stop().iter().map(|one| one.fault()).collect();
    assert_eq!(faults[..2], [None, None]);
    assert!(faults[2].as_ref().unwrap().starts_with("an older one in force after"));
    assert_eq!(faults[3..], [Some("never in force".to_owned()), Some("never in force".to_owned())]);
}

// Guards against a search that stops early or loses the failing disruptions.
#[test]
fn shrinking_keeps_the_disruptions_that_fail() {
    let has_cause = |schedule: &Schedule| {
        let has = |kind| schedule.disruptions.iter().any(|one| one.kind == kind);
        has(DisruptionKind::Kill) && has(DisruptionKind::TakenAddress)
    };
    let failing = (0..).map(schedule).find(has_cause).unwrap();
    let shortest = shrink(failing, DURATION, |candidate| Ok(has_cause(candidate))).unwrap();
    assert_eq!(shortest.disruptions.len(), 2);
    assert!(has_cause(&shortest));
}

// Guards against settings that differ from those that the platform renders.
#[test]
fn templates_are_rendered_as_the_platform_does() {
    let fields = json!({
        "a": {"b": 7, "list": ["x", "y"]}, "on": true, "off": false,
        "table": {"k": {"v": 1}, "l": {"v": 2}}
    });
    let rendered = |template: &str| render(template, &fields).unwrap();
    assert_eq!(rendered("{{a.b}} {{a.list.1}} {{a.list}} {{a.none}}."), "7 y x,y .");
    assert_eq!(rendered("{{a.list|json}} {{a.none|json}}."), r#"["x","y"] ."#);
    assert_eq!(rendered("{{#table}}{{@}}={{v}}{{,}}{{/table}}"), "k=1,l=2");
    assert_eq!(rendered("{{#a.list}}{{.}}{{@}}{{a.b}} {{/a.list}}"), "x07 y17 ");
    assert_eq!(rendered("{{#on}}1{{/on}}{{#off}}2{{/off}}{{^off}}3{{/off}}{{^no}}4{{/no}}"), "134");
    assert!(render("{{#on}}", &fields).is_err());
    assert!(render("{{on", &fields).is_err());
}

// Guards against a template whose result the program refuses.
#[test]
fn the_program_accepts_the_rendered_settings() {
    for ports in [Ports::Low, Ports::Ephemeral] {
        let addrs = Addrs::claim(ports);
        let other: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let links = Links { store: other, advertised_peer: other, seeds: vec![other; 3] };
        let text = settings_text("entry-3", &addrs, &links, None).unwrap();
        let settings = RelaySettings::parse(&text).unwrap();
        assert_eq!(settings.listen.caller, addrs.caller);
        assert_eq!(settings.listen.advertised_peer, Some(other));
        assert_eq!(settings.memory_mb, Some(260.0));
        assert_eq!(settings.seeds.len(), 3);
    }
}

// Guards against a file that isn't JSON, or settings that end the process, as a deployment has no such
// field or gives it in another form.
#[test]
fn the_template_makes_usable_settings_of_whatever_a_deployment_names() {
    let fields = json!({
        "node_name": "entry-1", "zone": "a", "ip": "127.0.0.1", "heartbeat_ms": 1200,
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2", "control": "127.0.0.1:3"},
        "seeds": ["127.0.0.1:3", "127.0.0.1:4"],
        "limits": {"memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0},
        "bounds": {
            "grace_s": 8, "config_ms": 2000, "revoke_ms": 5000, "strict_revoke": true,
            "retry_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58, "lease_ms": 3000
        },
        "provider": {"addr": "127.0.0.1:9", "history_s": 20}
    });
    let usable = |fields: &Value| {
        let text = render(TEMPLATE, fields).unwrap();
        RelaySettings::parse_usable(&text).unwrap_or_else(|e| panic!("{e}: {text}"))
    };
    let (whole, faults) = usable(&fields);
    assert!(faults.is_empty(), "{faults:?}");
    assert_eq!((whole.seeds.len(), whole.key_revocation_ms), (2, Some(5000)));
    for (table, names) in [
        ("", &["ip", "heartbeat_ms", "seeds", "limits", "bounds"][..]),
        ("limits", &["memory_mb", "max_fds", "link_mbps"]),
        ("bounds", &["grace_s", "config_ms", "retry_ratio", "budget_window_s", "budget_slack"]),
        ("bounds", &["lease_ms", "revoke_ms", "strict_revoke"]),
        ("provider", &["history_s"]),
    ] {
        for name in names {
            let mut fields = fields.clone();
            let table = if table.is_empty() { &mut fields } else { &mut fields[table] };
            table[name] = Value::Null;
            let (_, faults) = usable(&fields);
            assert!(faults.is_empty(), "{name}: {faults:?}");
            fields.as_object_mut().unwrap().retain(|_, value| !value.is_null());
            let (_, faults) = usable(&fields);
            assert!(faults.is_empty(), "{name}: {faults:?}");
        }
    }
    for name in
        ["grace_s", "config_ms", "retry_ratio", "budget_window_s", "budget_slack", "lease_ms"]
    {
        for value in [json!(2000.5), json!(0), json!(true), json!(false)] {
            let mut fields = fields.clone();
            fields["bounds"][name] = value;
            usable(&fields);
        }
    }
}

// Guards against soaks that meet addresses which an earlier one left behind.
#[test]
fn addresses_are_claimed_once() {
    let claimed = [(); 20].map(|()| Addrs::claim(Ports::Low).caller);
    for (number, addr) in claimed.iter().enumerate() {
        assert!(!claimed[..number].contains(addr));
    }
}

/// Returns what it receives.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let mut buf = [0; 64];
                while let Ok(count) = stream.read(&mut buf) {
                    if count == 0 || stream.write_all(&buf[..count]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Sends a byte and reads one; `None` if none arrives within this time, or the connection has ended.
fn echo(stream: &mut TcpStream, limit: Duration) -> Option<u8> {
    stream.set_read_timeout(Some(limit)).unwrap();
    stream.write_all(b"x").ok()?;
    let mut buf = [0];
    stream.read_exact(&mut buf).ok().map(|()| buf[0])
}

// Guards against link faults that let bytes through, or that never end.
#[test]
fn disturbed_links_hold_bytes_back_and_go_on() {
    let gate = Gate::start(start_echo());
    let mut stream = TcpStream::connect(gate.addr).unwrap();
    assert_eq!(echo(&mut stream, ARRIVAL_LIMIT), Some(b'x'));
    for disturbance in [Disturbance::Silent, Disturbance::LosesResponses] {
        gate.disturb(Some(disturbance));
        assert_eq!(echo(&mut stream, Duration::from_millis(300)), None, "{disturbance:?}");
        gate.disturb(None);
        let mut held_back = [0];
        stream.set_read_timeout(Some(ARRIVAL_LIMIT)).unwrap();
        stream.read_exact(&mut held_back).unwrap();
    }
    let delay = Duration::from_millis(100);
    gate.disturb(Some(Disturbance::Delays(delay)));
    let sent_at = Instant::now();
    assert_eq!(echo(&mut stream, ARRIVAL_LIMIT), Some(b'x'));
    assert!(sent_at.elapsed() >= 2 * delay);
}

// Guards against resets that leave connections open or the link closed.
#[test]
fn a_reset_ends_open_connections_and_takes_new_ones() {
    let gate = Gate::start(start_echo());
    let mut stream = TcpStream::connect(gate.addr).unwrap();
    assert_eq!(echo(&mut stream, ARRIVAL_LIMIT), Some(b'x'));
    gate.reset_open();
    assert_eq!(echo(&mut stream, ARRIVAL_LIMIT), None);
    let mut stream = TcpStream::connect(gate.addr).unwrap();
    assert_eq!(echo(&mut stream, ARRIVAL_LIMIT), Some(b'x'));
}

// Guards against a link that stops when its target is away, as a killed instance is.
#[test]
fn a_link_outlives_its_target() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = target.local_addr().unwrap();
    drop(target);
    let gate = Gate::start(addr);
    let mut stream = TcpStream::connect(gate.addr).unwrap();
    assert_eq!(echo(&mut stream, ARRIVAL_LIMIT), None);
    let target = TcpListener::bind(addr).unwrap();
    let _stream = TcpStream::connect(gate.addr).unwrap();
    target.accept().unwrap();
}

// Guards against other programs that leave addresses free, or keep them for good. An instance's
// listener sets the option that this listener of the standard library sets.
#[test]
fn other_programs_take_addresses_and_free_them() {
    for manner in [Manner::Listener, Manner::Connection] {
        let addr = free_addr();
        let taken = TakenAddress::take(addr, manner).unwrap();
        assert_eq!(taken.manner, manner);
        assert!(TcpListener::bind(addr).is_err(), "{manner:?}");
        drop(taken);
        let freed = (0..200).any(|_| {
            thread::sleep(Duration::from_millis(10));
            TcpListener::bind(addr).is_ok()
        });
        assert!(freed, "{manner:?}");
    }
    let addr = free_addr();
    drop(TakenAddress::take(addr, Manner::EndedConnection).unwrap());
    assert!(TcpListener::bind(addr).is_err());
}
