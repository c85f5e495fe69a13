//! Texts that operators write and read are stable: the keys of `[joining.bounds]`, the error
//! messages, and the line of counters.

use request_coalescing::{Bounds, Counters, SettingsError};
use serde::Deserialize;
use serde::de::value::{Error, MapDeserializer};

fn bounds(entries: &[(&'static str, usize)]) -> Result<Bounds, Error> {
    Bounds::deserialize(MapDeserializer::new(entries.iter().copied()))
}

#[test]
fn bounds_are_read_by_the_keys_of_the_operator_file() {
    let read = bounds(&[
        ("waiters", 1),
        ("waiters_per_flight", 2),
        ("flights_per_key", 3),
        ("second_flights", 4),
    ]);
    let expected = Bounds {
        waiters: 1,
        waiters_per_flight: 2,
        flights_per_key: 3,
        replacement_flights: 4,
    };
    assert_eq!(read, Ok(expected));
    assert_eq!(bounds(&[]), Ok(Bounds::default()));
    assert!(bounds(&[("replacement_flights", 1)]).is_err());
}

#[test]
fn errors_name_the_key_of_the_operator_file() {
    let name = || "read".to_string();
    let rows = [
        (
            SettingsError::UnknownClass { name: name() },
            "joining.classes: there is no class 'read'",
        ),
        (
            SettingsError::KeyedClass { name: name() },
            "joining.classes: 'read' cannot be coalesced: its effect is deduplicated, not idempotent",
        ),
        (
            SettingsError::NotIdempotentClass { name: name() },
            "joining.classes: 'read' cannot be coalesced: its effect is at_most_once, not idempotent",
        ),
        (
            SettingsError::BoundOutOfRange {
                key: "waiters",
                value: 0,
                minimum: 1,
            },
            "joining.bounds.waiters: 0 does not lie between 1 and 1000000",
        ),
        (
            SettingsError::RequiredField { name: name() },
            "joining.ignore: 'read' cannot be ignored; remove it (not allowed: c, t, k, empty)",
        ),
    ];
    for (error, text) in rows {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn the_text_form_of_the_counters_is_stable() {
    let counters = Counters {
        flights: 1,
        joined: 2,
        bypassed: 3,
        replacements: 4,
        closed: 5,
        withdrawn: 6,
        expired: 7,
        retry_too_late: 8,
    };
    assert_eq!(
        counters.to_string(),
        "1 flights, 2 joined, 3 alone, 4 second, 5 closed, 6 withdrawn, 7 expired, 8 outrun"
    );
}
