//! Streams are forwarded in whole events and resume after the last one.

use std::time::Duration;
use std::time::Instant;

use tamaracklead::decide::traffic::EventSplitter;

/// Time within which an event of the greatest length in pieces of one byte must be read.
const SMALL_PIECES_LIMIT: Duration = Duration::from_secs(20);
const STREAM: &[u8] = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";

#[test]
fn a_stream_cut_anywhere_yields_whole_events_and_the_id_of_the_last_one() {
    for cut in 0..=STREAM.len() {
        let mut splitter = EventSplitter::new(None);
        let mut forwarded = splitter.push(&STREAM[..cut]).to_vec();
        assert!(forwarded.is_empty() || forwarded.ends_with(b"\n\n"), "cut at {cut}");
        let events = forwarded.windows(2).filter(|pair| *pair == b"\n\n").count();
        let last = (events > 0).then(|| events.to_string());
        assert_eq!(splitter.last_id(), last.as_deref(), "cut at {cut}");
        assert_eq!(splitter.has_partial(), forwarded.len() < cut, "cut at {cut}");
        forwarded.extend_from_slice(&splitter.push(&STREAM[cut..]));
        assert_eq!(forwarded, STREAM, "cut at {cut}");
    }
}

#[test]
fn a_stream_resumes_after_the_callers_last_event_until_it_has_its_own() {
    let mut splitter = EventSplitter::new(Some("7".to_owned()));
    assert!(splitter.push(b"id: 8\ndata").is_empty());
    assert_eq!(splitter.last_id(), Some("7"));
    splitter.drop_partial();
    assert!(!splitter.has_partial());
    assert_eq!(splitter.push(b"id: 8\ndata: x\n\n").len(), 15);
    assert_eq!(splitter.last_id(), Some("8"));
}

#[test]
fn an_event_without_end_is_detected() {
    let mut splitter = EventSplitter::new(None);
    assert!(splitter.push(&vec![b'x'; 2 * 1024 * 1024]).is_empty());
    assert!(splitter.is_overlong());
}

// Guards against a stream without any event that counted as complete when its connection ended.
#[test]
fn a_stream_is_complete_after_an_event_or_if_its_end_is_marked() {
    for (bytes, by_connection, by_mark) in [
        ("", false, true),
        (": comment\n\n", false, true),
        (":\r\n\r\n", false, true),
        ("\n\n", false, true),
        ("data: one\n\n", true, true),
        ("data: one\r\n\r\n", true, true),
        (": comment\n\ndata\n\n", true, true),
        ("data: one\n\nda", false, false),
        ("data: one\n", false, false),
        ("d", false, false),
    ] {
        let mut splitter = EventSplitter::new(Some("7".to_owned()));
        splitter.push(bytes.as_bytes());
        assert_eq!(splitter.is_complete(false), by_connection, "{bytes:?}");
        assert_eq!(splitter.is_complete(true), by_mark, "{bytes:?}");
    }
}

// Guards against a resumed stream that counted as complete by an event of its earlier replica.
#[test]
fn an_event_of_the_earlier_replica_does_not_make_a_resumed_stream_complete() {
    let mut splitter = EventSplitter::new(None);
    splitter.push(b"id: 1\ndata: one\n\nid: 2");
    splitter.drop_partial();
    assert!(!splitter.is_complete(false));
    assert!(splitter.is_complete(true));
    splitter.push(b"id: 2\ndata: two\n\n");
    assert!(splitter.is_complete(false));
}

// Guards against a complete stream that counted as ending inside an event, as a blank line came
// after its last one.
#[test]
fn line_ends_after_the_last_event_are_no_unfinished_event() {
    for line_ends in ["\n", "\r\n", "\r"] {
        let mut splitter = EventSplitter::new(None);
        splitter.push(b"data: one\n\n");
        splitter.push(line_ends.as_bytes());
        assert!(splitter.is_complete(false), "{line_ends:?}");
        splitter.push(b"data: two\n");
        assert!(!splitter.is_complete(true), "{line_ends:?}");
    }
}

// Guards against a long unfinished event that was searched from its start with each small piece of
// it, which took hours for one in pieces of one byte.
#[test]
fn an_unfinished_event_in_small_pieces_is_not_searched_anew_with_each() {
    let start = Instant::now();
    let mut splitter = EventSplitter::new(None);
    while !splitter.is_overlong() {
        assert!(splitter.push(b"x").is_empty());
        assert!(start.elapsed() < SMALL_PIECES_LIMIT);
    }
}

// Guards against a search that overlooks the end of an event that is split over several pieces.
#[test]
fn events_in_pieces_of_one_byte_are_found() {
    for line_end in ["\n", "\r\n"] {
        let mut splitter = EventSplitter::new(None);
        let event = format!("id: 1{line_end}data: one{line_end}{line_end}");
        for _ in 0..3 {
            let pushed: Vec<_> = event
                .bytes()
                .map(|byte| splitter.push(&[byte]))
                .filter(|e| !e.is_empty())
                .collect();
            assert_eq!(pushed, [event.as_bytes()], "{line_end:?}");
        }
    }
}

// Guards against an error's text or head in the middle of a stream that another replica goes on with.
#[test]
fn what_another_replica_sends_counts_only_if_it_follows_the_last_event() {
    let resumed = |rest: &str| {
        let mut splitter = EventSplitter::new(None);
        splitter.push(b"id: 7\ndata: a\n\nid: 8\nda");
        splitter.drop_partial();
        let events = splitter.push(rest.as_bytes());
        (String::from_utf8(events.to_vec()).unwrap(), splitter.is_foreign())
    };
    for rest in [
        "id: 8\ndata: b\n\n",
        ": comment\n\nid: 8\ndata: b\n\n",
        "x-weight-versions: 2\r\nid: 8\r\ndata: b\r\n\r\n",
    ] {
        assert_eq!(resumed(rest), (rest.to_owned(), false));
    }
    for rest in [
        "HTTP/1.1 500 X\r\ncontent-length: 3\r\n\r\n",
        "HTTP/1.1 500 X\r\n\r\nid: 8\ndata: b\n\n",
        "out of memory\n\n",
        "data: b\n\n",
        "id: 7\ndata: a\n\n",
        "id: 1\ndata: a\n\n",
    ] {
        assert_eq!(resumed(rest), (String::new(), true), "{rest}");
    }
}
