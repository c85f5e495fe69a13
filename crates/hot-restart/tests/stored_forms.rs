//! Messages and state files written by an earlier version of the program can be read, and are
//! encoded to the same bytes.
//!
//! The files under `golden/` are output of that version. Compatibility matters because a process
//! may have to hand over to one of a later version.

use hot_restart::message::{HandoverState, Message, StoredOverride, VERSION};
use hot_restart::store::StateStore;

fn overrides() -> Vec<(String, StoredOverride)> {
    vec![
        ("s-a".into(), StoredOverride::Disabled),
        (
            "s-b".into(),
            StoredOverride::EnabledAt(1_700_000_000_000_000),
        ),
    ]
}

fn state_message(state: HandoverState) -> Message {
    Message::State {
        version: VERSION,
        name: "n1".into(),
        state,
    }
}

#[test]
fn messages_of_an_earlier_version_are_decoded_and_encoded_to_the_same_bytes() {
    let rows: [(&[u8], Message); 8] = [
        (
            include_bytes!("golden/hello.message"),
            Message::Hello {
                version: 1,
                name: "n1".into(),
            },
        ),
        (
            include_bytes!("golden/empty_state.message"),
            state_message(HandoverState::default()),
        ),
        (
            include_bytes!("golden/successor_serves.message"),
            Message::SuccessorServes,
        ),
        (
            include_bytes!("golden/connection.message"),
            Message::Connection {
                unread: b"*2\r\n$5\r\nC.GE".to_vec().into(),
                has_sent_command: true,
            },
        ),
        (
            include_bytes!("golden/override_disabled.message"),
            Message::Override("s-a".into(), StoredOverride::Disabled),
        ),
        (
            include_bytes!("golden/override_enabled.message"),
            Message::Override(
                "s-b".into(),
                StoredOverride::EnabledAt(1_700_000_000_000_000),
            ),
        ),
        (
            include_bytes!("golden/drained.message"),
            Message::Drained(true),
        ),
        (
            include_bytes!("golden/resumed.message"),
            Message::Drained(false),
        ),
    ];
    for (bytes, message) in rows {
        assert_eq!(Message::decode(bytes).as_ref(), Ok(&message));
        assert_eq!(message.encode().as_deref(), Ok(bytes), "{message:?}");
    }
}

#[test]
fn a_full_state_of_an_earlier_version_is_decoded_and_encoded_to_the_same_bytes() {
    let bytes: &[u8] = include_bytes!("golden/state.message");
    let message = Message::decode(bytes).expect("readable");
    let state = message.clone().into_state("n1").expect("of this router");
    assert_eq!(state.overrides, overrides());
    assert!(state.drained);
    assert_eq!(
        state.endpoint_list,
        Some((([127, 0, 0, 1], 8500).into(), br#"{"seq":41}"#.to_vec()))
    );
    // The load-balancer crate defines the content of the warm state;
    // cache-router/tests/warm_state_format.rs checks it.
    assert_eq!(state.warm_state.len(), 511);
    assert_eq!(message.encode().as_deref(), Ok(bytes));
}

#[test]
fn a_state_file_of_an_earlier_version_is_loaded_and_saved_with_the_same_bytes() {
    let bytes: &[u8] = include_bytes!("golden/asterport-n_2f1.state");
    let directory = std::env::temp_dir().join(format!("asterport-golden-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let path = directory.join("asterport-n_2f1.state");
    std::fs::write(&path, bytes).expect("written");
    let store = StateStore::new(&directory, "n/1");
    let state = store.load().expect("readable").expect("there is one");
    assert_eq!(
        state,
        HandoverState {
            overrides: overrides(),
            ..HandoverState::default()
        }
    );
    store.save(state).expect("saved");
    assert_eq!(std::fs::read(&path).expect("the file"), bytes);
    std::fs::remove_dir_all(&directory).expect("removed");
}
