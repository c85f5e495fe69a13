//! Shared by the tests of hot restart.

use hot_restart::message::{HandoverState, StoredOverride};

/// A state with a value in each of its fields.
pub fn state() -> HandoverState {
    HandoverState {
        overrides: vec![
            ("s-a".into(), StoredOverride::Disabled),
            (
                "s-b".into(),
                StoredOverride::EnabledAt(1_700_000_000_000_000),
            ),
        ],
        drained: true,
        endpoint_list: Some((([127, 0, 0, 1], 8500).into(), br#"{"seq":41}"#.to_vec())),
        warm_state: vec![7; 100],
    }
}
