//! Routes of the traffic configuration: matching and splitting between services.

use tamaracklead::decide::traffic::Route;
use tamaracklead::decide::traffic::RouteKind;
use tamaracklead::decide::traffic::Service;
use tamaracklead::decide::traffic::TrafficConfig;
use tamaracklead::names::RouteName;
use tamaracklead::names::ServiceName;

use crate::support::ms;

fn route(name: &str, host: &str, prefix: &str, backends: &[(&str, u32)]) -> Route {
    Route {
        name: RouteName::new(name),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: ms(1000),
        objective: ms(100),
        priority: 0,
        attempts: 1,
        is_public: false,
        backends: backends.iter().map(|(name, weight)| (ServiceName::new(name), *weight)).collect(),
    }
}

fn found<'a>(config: &'a TrafficConfig, host: &str, path: &str) -> Option<&'a str> {
    config.route(host, path).map(|route| route.name.as_str())
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "one.example", "/a/", &[("s", 1)]),
        route("long", "one.example", "/a/b/", &[("s", 1)]),
        route("other", "two.example", "/a/b/c/", &[("s", 1)]),
    ];
    let config = TrafficConfig::new(1, 100, ms(1000), routes, Vec::new());
    assert_eq!(found(&config, "one.example", "/a/b/c/d"), Some("long"));
    assert_eq!(found(&config, "ONE.example", "/a/x"), Some("short"));
    assert_eq!(found(&config, "one.example", "/ab/"), None);
    assert_eq!(found(&config, "three.example", "/a/"), None);
}

#[test]
fn requests_are_split_by_weight_and_one_id_always_gets_the_same_service() {
    let split = route("split", "h", "/", &[("big", 90), ("small", 10), ("none", 0)]);
    let service = |id: &str| split.service_for(id).map(ToString::to_string).unwrap();
    let ids: Vec<String> = (0..10_000).map(|id| format!("{id:x}")).collect();
    let small = ids.iter().filter(|id| service(id) == "small").count();
    assert!((700..1300).contains(&small), "{small} of 10000");
    assert!(ids.iter().all(|id| service(id) != "none"));
    assert!(ids.iter().all(|id| service(id) == service(id)));
}

// Guards against requests that a new configuration cuts off, or leaves less time than it allows.
#[test]
fn an_accepted_request_keeps_its_timeout_unless_a_new_one_is_longer() {
    let with_timeout = |name: &str, millis| Route {
        timeout: ms(millis),
        ..route(name, "one.example", "/a/", &[("s", 1)])
    };
    let accepted = with_timeout("a", 1000);
    assert_eq!(accepted.timeout_of_accepted(None), ms(1000));
    for (current, timeout) in [
        (with_timeout("a", 200), 1000),
        (with_timeout("a", 1000), 1000),
        (with_timeout("a", 3000), 3000),
        (with_timeout("b", 200), 1000),
        (with_timeout("b", 3000), 1000),
    ] {
        assert_eq!(accepted.timeout_of_accepted(Some(&current)), ms(timeout), "{current:?}");
    }
}

// Guards against an adapter that nobody goes on loading, as the request that waits for it was
// accepted before its service was removed.
#[test]
fn a_removed_service_is_remembered_for_requests_that_were_accepted_before() {
    let service =
        |name: &str| Service { name: ServiceName::new(name), max_connections: 1, engine: None };
    let config = |version, names: &[&str]| {
        let services = names.iter().map(|name| service(name)).collect();
        TrafficConfig::new(version, 100, ms(1000), Vec::new(), services)
    };
    let third = config(3, &["b"]).after(&config(2, &["c"]).after(&config(1, &["a", "b"])));
    let name = ServiceName::new;
    assert!(third.service(&name("a")).is_none() && third.service(&name("c")).is_none());
    assert!(third.service_or_former(&name("a")).is_some());
    assert!(third.service_or_former(&name("c")).is_some());
    assert!(third.service_or_former(&name("d")).is_none());
    let back = config(4, &["a"]).after(&third);
    assert_eq!(back.service(&name("a")), back.service_or_former(&name("a")));
}
