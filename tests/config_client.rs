//! Reads of the configuration service whose pages have any names.

mod support;

use std::sync::Arc;
use std::sync::Mutex;

use percent_encoding::percent_decode_str;
use support::stub_server::StubReply;
use support::stub_server::StubServer;
use tamaracklead::edge::ConfigClient;
use tamaracklead::edge::HttpClient;
use tamaracklead::names::PageName;

const NAMES: [&str; 9] =
    ["page-1", "a b", "a?b=c", "a#b", "a%41", "a+b", "a/../b", "é🦀", "a\n\0\r\nx: y"];

// Guards against a configuration that is never taken, or taken with another page, as the name of a page
// stands in a path that means something else.
#[test]
fn a_page_is_read_by_its_name_whatever_that_is() {
    let paths: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = Arc::clone(&paths);
    let server = StubServer::start(move |req| {
        seen.lock().unwrap().push(req.path.clone());
        StubReply::json(200, &serde_json::json!({}))
    });
    let client = ConfigClient::new(HttpClient::new(), server.addr);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for name in NAMES {
        let page = runtime.block_on(client.page(&PageName::new(name)));
        assert!(page.is_ok(), "{name:?}: {page:?}");
        let path = paths.lock().unwrap().pop().unwrap();
        let segment = path.strip_prefix("/v1/pages/").unwrap();
        assert!(!segment.contains(['/', '?', '#']), "{name:?} in {path}");
        assert_eq!(percent_decode_str(segment).decode_utf8().unwrap(), name);
    }
}
