//! Which connections of callers are closed when there are more than places.

use tamaracklead::decide::connections::CallerPlaces;
use tamaracklead::decide::connections::ConnectionId;
use tamaracklead::decide::connections::ConnectionPhase;
use tamaracklead::decide::connections::Place;
use tamaracklead::names::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// A new connection in this phase, with the one that was closed for it.
fn enter(
    places: &mut CallerPlaces,
    ms: u64,
    phase: ConnectionPhase,
) -> Option<(ConnectionId, Option<ConnectionId>)> {
    let (id, closed) = match places.enter(at(ms)) {
        Place::Free(id) => (id, None),
        Place::Instead { id, closed } => (id, Some(closed)),
        Place::Full => return None,
    };
    places.set_phase(at(ms), id, phase);
    Some((id, closed))
}

/// Guards against ordinary callers that get no connection since others hold all places and send nothing,
/// half a head or half a body.
#[test]
fn a_new_connection_gets_a_place_of_those_that_stall() {
    for phase in [ConnectionPhase::Idle, ConnectionPhase::Head, ConnectionPhase::Body] {
        for count in [1, 40, 4000] {
            let mut places = CallerPlaces::new(count);
            let mut oldest = None;
            for n in 0..count as u64 {
                let (id, closed) = enter(&mut places, n, phase).unwrap();
                assert_eq!(closed, None);
                oldest = oldest.or(Some(id));
            }
            let (_, closed) = enter(&mut places, 10_000, ConnectionPhase::Idle).unwrap();
            assert_eq!(closed, oldest, "{phase:?}, {count}");
        }
    }
}

/// Guards against a response that its caller loses to a new connection.
#[test]
fn a_connection_on_which_a_response_is_awaited_keeps_its_place() {
    let mut places = CallerPlaces::new(3);
    for n in 0..3 {
        enter(&mut places, n, ConnectionPhase::Response).unwrap();
    }
    assert_eq!(enter(&mut places, 10, ConnectionPhase::Idle), None);
}

/// Guards against a slow but sound caller that loses its request while others could be closed at no
/// cost to anybody.
#[test]
fn closed_are_those_first_whose_end_costs_least() {
    let order = [
        ConnectionPhase::Closing,
        ConnectionPhase::Idle,
        ConnectionPhase::Head,
        ConnectionPhase::Body,
    ];
    let mut places = CallerPlaces::new(order.len());
    let by_phase = order.map(|phase| (phase, enter(&mut places, 1, phase).unwrap().0));
    for (phase, id) in by_phase {
        let (_, closed) = enter(&mut places, 2, ConnectionPhase::Response).unwrap();
        assert_eq!(closed, Some(id), "{phase:?}");
        assert!(places.confirm_eviction(id));
        places.leave(id);
    }
    assert_eq!(places.open(), order.len());
}

/// Guards against a request that was sent to a replica and loses its connection, which had been told to
/// close a moment before.
#[test]
fn a_connection_that_gets_its_request_before_it_is_closed_stays() {
    let mut places = CallerPlaces::new(1);
    let (first, _) = enter(&mut places, 1, ConnectionPhase::Head).unwrap();
    let (_, closed) = enter(&mut places, 2, ConnectionPhase::Response).unwrap();
    assert_eq!(closed, Some(first));
    places.set_phase(at(3), first, ConnectionPhase::Response);
    assert!(!places.confirm_eviction(first));
    assert_eq!(enter(&mut places, 4, ConnectionPhase::Idle), None);
    places.leave(first);
    assert_eq!(places.open(), 1);
}

/// Guards against places that are lost when connections end, in whichever state.
#[test]
fn all_places_are_free_again_once_all_connections_have_ended() {
    let mut places = CallerPlaces::new(10);
    for round in 0..20 {
        let phases = [ConnectionPhase::Idle, ConnectionPhase::Head, ConnectionPhase::Response];
        let entered: Vec<_> = (0..30)
            .filter_map(|n| enter(&mut places, round * 100 + n, phases[n as usize % 3]))
            .collect();
        for (id, _) in entered {
            places.leave(id);
            places.leave(id);
        }
        assert_eq!(places.open(), 0);
    }
    for n in 0..10 {
        assert!(matches!(places.enter(at(9_000 + n)), Place::Free(_)));
    }
}

// Guards against an ordinary caller whose connection is closed before its request has arrived, as a crowd
// that came before it has begun to send bodies and goes on to open connections.
#[test]
fn of_young_connections_the_oldest_is_closed_whatever_it_does() {
    for phase in [ConnectionPhase::Idle, ConnectionPhase::Head, ConnectionPhase::Body] {
        let mut places = CallerPlaces::new(50);
        let crowd: Vec<_> = (0..49).map(|n| enter(&mut places, n, phase).unwrap().0).collect();
        let Place::Free(ordinary) = places.enter(at(100)) else { panic!("a place is free") };
        for (n, oldest) in crowd.into_iter().enumerate() {
            let (_, closed) = enter(&mut places, 101 + n as u64, phase).unwrap();
            assert_eq!(closed, Some(oldest), "{phase:?}");
            assert!(places.confirm_eviction(oldest));
            places.leave(oldest);
        }
        places.set_phase(at(160), ordinary, ConnectionPhase::Response);
        let (_, closed) = enter(&mut places, 161, phase).unwrap();
        assert_ne!(closed, Some(ordinary));
    }
}

// Guards against callers that lose their connections while others have sent all that they will.
#[test]
fn of_young_connections_those_that_are_closing_go_first() {
    let mut places = CallerPlaces::new(2);
    enter(&mut places, 0, ConnectionPhase::Idle).unwrap();
    let (closing, _) = enter(&mut places, 10, ConnectionPhase::Closing).unwrap();
    let (_, closed) = enter(&mut places, 20, ConnectionPhase::Idle).unwrap();
    assert_eq!(closed, Some(closing));
}
