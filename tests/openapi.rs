//! Guards against an OpenAPI description that lacks a route or field, or has one too many.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tamaracklead::daemon::CallerRoute;
use tamaracklead::daemon::OperatorRoute;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;
use tamaracklead::error::Problem;
use tamaracklead::wire::caller::Completion;
use tamaracklead::wire::caller::CompletionChunk;
use tamaracklead::wire::caller::CompletionRequest;
use tamaracklead::wire::caller::SubmissionReply;
use tamaracklead::wire::caller::SubmissionStatus;
use tamaracklead::wire::caller::TicketReply;
use tamaracklead::wire::operator::Explanation;
use tamaracklead::wire::operator::FleetStatus;

const ID: &str = "000000000000000000000000000000ab";

fn openapi_document() -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/openapi.json");
    serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap()
}

#[test]
fn the_description_has_exactly_the_routes_of_the_program() {
    let mut routes = BTreeSet::new();
    for route in CallerRoute::ALL {
        routes.insert(format!("{} {}", route.method(), route.path()));
    }
    for route in OperatorRoute::ALL {
        routes.insert(format!("GET {}", route.path()));
    }
    let mut described = BTreeSet::new();
    for (path, item) in openapi_document()["paths"].as_object().unwrap() {
        for method in item.as_object().unwrap().keys().filter(|key| *key != "servers") {
            described.insert(format!("{} {path}", method.to_uppercase()));
        }
    }
    assert_eq!(described, routes);
}

#[test]
fn routes_are_found_by_method_and_path() {
    assert_eq!(CallerRoute::of("GET", "/v1/submissions"), Some(CallerRoute::Outcome));
    assert_eq!(CallerRoute::of("DELETE", "/v1/submissions"), None);
    assert_eq!(CallerRoute::of("GET", "/v1/submissions/"), None);
    let explain = OperatorRoute::of("GET", "/operator/v1/requests/7");
    assert_eq!(explain, Some((OperatorRoute::Explain, "7".to_owned())));
    for path in ["/operator/v1/requests/", "/operator/v1/status/x", "/operator/v1"] {
        assert_eq!(OperatorRoute::of("GET", path), None, "{path}");
    }
    assert_eq!(OperatorRoute::of("POST", "/operator/v1/status"), None);
}

/// Checks that a message has exactly the fields of its schema, in nested objects too.
fn check_message(schemas: &Value, name: &str, message: &Value) {
    let schema = &schemas[name];
    let properties = schema["properties"].as_object().unwrap();
    let fields = message.as_object().unwrap();
    for key in fields.keys() {
        assert!(properties.contains_key(key), "{name}.{key} is not described");
    }
    for key in schema["required"].as_array().unwrap() {
        assert!(fields.contains_key(key.as_str().unwrap()), "{name}.{key} is missing");
    }
    for (key, property) in properties {
        let Some(value) = fields.get(key) else { continue };
        let reference = property.pointer("/$ref").or(property.pointer("/items/$ref"));
        let reference = reference.or(property.pointer("/oneOf/0/$ref")).and_then(Value::as_str);
        let Some(inner) = reference.and_then(|path| path.rsplit('/').next()) else { continue };
        let values = value.as_array().cloned().unwrap_or_else(|| vec![value.clone()]);
        for value in values.iter().filter(|value| value.is_object()) {
            check_message(schemas, inner, value);
        }
    }
}

#[test]
fn every_field_of_each_message_is_described() {
    let schemas = openapi_document()["components"]["schemas"].clone();
    let check = |name: &str, message: Value| check_message(&schemas, name, &message);
    let request: CompletionRequest =
        serde_json::from_value(json!({"adapter": "a", "prompt": "p"})).unwrap();
    check("CompletionRequest", to_json(&request));
    check(
        "Completion",
        roundtrip::<Completion>(
            json!({"id": ID, "adapter": "a", "version": 1, "text": "", "tokens": 0}),
        ),
    );
    check("CompletionChunk", roundtrip::<CompletionChunk>(json!({"id": ID, "text": ""})));
    check(
        "TicketReply",
        roundtrip::<TicketReply>(json!({"id": ID, "ticket": "t", "expires_in_s": 1})),
    );
    check("SubmissionReply", roundtrip::<SubmissionReply>(json!({"id": ID, "receipt": "r"})));
    for state in ["unused", "running", "done", "not_run", "unknown"] {
        let status = json!({"id": ID, "state": state, "receipt": "r"});
        check("SubmissionStatus", roundtrip::<SubmissionStatus>(status));
        let states = schemas["SubmissionStatus"]["properties"]["state"]["enum"].to_string();
        assert!(states.contains(state), "{state}");
    }
    check("Problem", to_json(&Problem::from(&Error::new(ErrorKind::Overloaded, "x"))));
    let step = json!({"instance": "i", "at_ms": 1, "text": "t"});
    let explanation = json!({"request_id": ID, "from_entry": true, "steps": [step]});
    check("Explanation", roundtrip::<Explanation>(explanation));
    let engine = json!({"engine": "e", "loaded": [{"adapter": "a", "version": 1}], "slots": 1,
                        "batch": 1, "running": 0, "waiting": 0});
    let status = json!({"instance": "i", "data_centre": "d", "incarnation": 1, "generation": 1,
                        "preset": "p", "draining": false, "live_peers": [], "engines": [engine]});
    let member = json!({"instance": "i", "leaving": false, "status": status, "error": null});
    check("FleetStatus", roundtrip::<FleetStatus>(json!({"members": [member]})));
}

fn to_json<T: Serialize>(message: &T) -> Value {
    serde_json::to_value(message).unwrap()
}

/// Parses a message and serializes it again, so that only the fields of its type remain.
fn roundtrip<T: Serialize + serde::de::DeserializeOwned>(message: Value) -> Value {
    to_json(&serde_json::from_value::<T>(message).unwrap())
}
