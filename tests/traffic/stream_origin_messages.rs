//! Datagrams that tell at which software version streams began.

use tamaracklead::decide::traffic::Coverage;
use tamaracklead::decide::traffic::OriginKnowledge;
use tamaracklead::decide::traffic::StreamKey;
use tamaracklead::names::ServiceName;
use tamaracklead::names::SoftwareVersion;
use tamaracklead::wire::frame::decode;
use tamaracklead::wire::frame::encode;
use tamaracklead::wire::stream_origin::MAX_DATAGRAM_BYTES;
use tamaracklead::wire::stream_origin::OriginNotice;
use tamaracklead::wire::stream_origin::OriginQuery;
use tamaracklead::wire::stream_origin::decode_notices;
use tamaracklead::wire::stream_origin::encode_notices;

fn notice(number: u64, software: &str) -> OriginNotice {
    let stream = StreamKey::new(&format!("a{number}"));
    OriginNotice { stream, software: SoftwareVersion::new(software) }
}

fn notices(count: u64) -> Vec<OriginNotice> {
    (0..count).map(|number| notice(number, if number % 2 == 0 { "v1" } else { "v1.1" })).collect()
}

#[test]
fn a_batch_arrives_whole_and_in_order_in_datagrams_of_limited_size() {
    for count in [0, 1, 2, 75, 76, 77, 500] {
        let sent = notices(count);
        let datagrams = encode_notices(&sent).unwrap();
        assert!(datagrams.iter().all(|datagram| datagram.len() <= MAX_DATAGRAM_BYTES));
        let received: Vec<OriginNotice> =
            datagrams.iter().flat_map(|datagram| decode_notices(datagram).unwrap()).collect();
        assert_eq!(received, sent);
    }
}

#[test]
fn a_batch_fills_its_datagrams() {
    let notices = notices(500);
    let datagrams = encode_notices(&notices).unwrap();
    let largest = datagrams.iter().map(Vec::len).max().unwrap();
    assert!(largest > MAX_DATAGRAM_BYTES / 2, "{largest} bytes");
    assert!(datagrams.len() < notices.len() / 50, "{} datagrams", datagrams.len());
}

// Guards against a version with a long name that keeps the other notices of its batch from being
// sent.
#[test]
fn a_notice_that_exceeds_a_datagram_is_left_out() {
    let long = "v".repeat(MAX_DATAGRAM_BYTES);
    let sent = [notice(1, "v1"), notice(2, &long), notice(3, "v1")];
    let datagrams = encode_notices(&sent).unwrap();
    assert_eq!(datagrams.len(), 1);
    assert_eq!(decode_notices(&datagrams[0]).unwrap(), [sent[0].clone(), sent[2].clone()]);
}

// Guards against an instance that takes a datagram of another format, or half of one, for notices.
#[test]
fn a_datagram_of_another_format_or_with_missing_bytes_is_refused() {
    let datagram = encode_notices(&notices(3)).unwrap().remove(0);
    assert!(decode_notices(&[]).is_err());
    for format in (0..=u8::MAX).filter(|format| *format != datagram[0]) {
        let other = [&[format], &datagram[1..]].concat();
        assert!(decode_notices(&other).is_err(), "format {format}");
    }
    let whole = 1 + (datagram.len() - 1) / 3;
    for length in 2..whole {
        assert!(decode_notices(&datagram[..length]).is_err(), "{length} bytes");
    }
    for byte in 0..=u8::MAX {
        let _ = decode_notices(&[datagram[0], byte, byte, byte]);
    }
}

#[test]
fn questions_and_answers_survive_their_encoding() {
    let service = ServiceName::new("desk");
    for stream in [None, Some(StreamKey::new("a1"))] {
        let query = OriginQuery { stream, service: service.clone() };
        assert_eq!(decode::<OriginQuery>(&encode(&query).unwrap()).unwrap(), query);
    }
    let known = OriginKnowledge {
        origin: Some(SoftwareVersion::new("v1")),
        versions: vec![SoftwareVersion::new(""), SoftwareVersion::new("v1")],
        coverage: Coverage::Last(std::time::Duration::from_millis(1500)),
        departed: Vec::new(),
    };
    assert_eq!(decode::<OriginKnowledge>(&encode(&known).unwrap()).unwrap(), known);
}
