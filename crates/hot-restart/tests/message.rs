//! What is handed over comes out as it went in, or not at all.

use hot_restart::channel::HandoverChannel;
use hot_restart::message::{
    HEAD, HandoverState, MOST, Message, MessageError, StoredOverride, VERSION,
};
use hot_restart::store::{StateStore, StoreError};
use proptest::collection::vec;
use proptest::prelude::*;
use std::os::fd::AsFd;

fn state() -> HandoverState {
    HandoverState {
        words: vec![
            ("s-a".into(), StoredOverride::Disabled),
            (
                "s-b".into(),
                StoredOverride::EnabledAt(1_700_000_000_000_000),
            ),
        ],
        drained: true,
        list: Some((([127, 0, 0, 1], 8500).into(), br#"{"seq":41}"#.to_vec())),
        learnt: vec![7; 100],
    }
}

fn message() -> Message {
    Message::State {
        version: VERSION,
        name: "n1".into(),
        state: state(),
    }
}

#[test]
fn a_message_that_is_cut_off_at_any_byte_is_none() {
    let bytes = message().encode().expect("short enough");
    assert_eq!(Message::decode(&bytes), Ok(message()));
    for length in 0..bytes.len() {
        assert_eq!(
            Message::decode(&bytes[..length]),
            Err(MessageError::CutOff),
            "{length}"
        );
    }
}

#[test]
fn another_version_or_router_is_said_to_be_that() {
    let other = |version, name: &str| Message::State {
        version,
        name: name.into(),
        state: state(),
    };
    assert_eq!(other(VERSION, "n1").state("n1"), Ok(state()));
    assert_eq!(
        other(VERSION + 1, "n1").state("n1"),
        Err(MessageError::Version(VERSION + 1))
    );
    assert_eq!(
        other(VERSION, "n2").state("n1"),
        Err(MessageError::Name("n2".into()))
    );
    assert_eq!(
        Message::SuccessorServes.state("n1"),
        Err(MessageError::Unexpected)
    );
    let hello = |version, name: &str| {
        Message::Hello {
            version,
            name: name.into(),
        }
        .greets("n1")
    };
    assert_eq!(hello(VERSION, "n1"), Ok(()));
    assert_eq!(hello(0, "n1"), Err(MessageError::Version(0)));
    assert_eq!(hello(VERSION, "n\n"), Err(MessageError::Name("n\n".into())));
    assert_eq!(
        MessageError::Name("n\n".into()).to_string().lines().count(),
        1
    );
}

#[test]
fn a_message_past_the_bound_is_neither_sent_nor_waited_for() {
    let long = Message::Connection {
        unread: vec![0; MOST],
        has_sent_command: true,
    };
    assert!(matches!(long.encode(), Err(MessageError::TooLong(_))));
    let mut head = [0; HEAD];
    head[..4].copy_from_slice(&(MOST as u32 + 1).to_le_bytes());
    assert_eq!(Message::head(head), Err(MessageError::TooLong(MOST + 1)));
}

proptest! {
    /// Spoilt bytes are no message, and arbitrary ones no panic.
    #[test]
    fn what_is_spoilt_is_none(place in 0_usize..1_000, bit in 0_u8..8, noise in vec(any::<u8>(), 0..200)) {
        let mut bytes = message().encode().expect("short enough");
        let place = HEAD + place % (bytes.len() - HEAD);
        bytes[place] ^= 1 << bit;
        prop_assert_eq!(Message::decode(&bytes), Err(MessageError::Spoilt));
        prop_assert!(Message::decode(&noise).is_err());
    }
}

#[test]
fn a_file_is_the_old_or_the_new_one_and_another_routers_is_refused() {
    let folder = std::env::temp_dir().join(format!("asterport-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let store = StateStore::new(&folder, "n/../1");
    assert!(matches!(store.load(), Ok(None)));
    store.save(state()).expect("saved");
    assert!(matches!(store.load(), Ok(Some(found)) if found == state()));
    assert_eq!(
        store.path().parent(),
        Some(&*folder),
        "no name leads elsewhere"
    );
    let other = StateStore::new(&folder, "n2");
    std::fs::copy(store.path(), other.path()).expect("copied");
    assert!(matches!(
        other.load(),
        Err(StoreError::Form(MessageError::Name(_)))
    ));
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[tokio::test(flavor = "current_thread")]
async fn descriptors_and_long_messages_come_over_a_link_in_order() {
    let (one, other) = tokio::net::UnixStream::pair().expect("a pair");
    let (one, other) = (HandoverChannel::new(one), HandoverChannel::new(other));
    let messages: Vec<Message> = [0, 1, 70_000, 4 << 20]
        .map(|length| Message::Connection {
            unread: vec![7; length],
            has_sent_command: length > 1,
        })
        .into();
    let file = std::fs::File::open("/dev/null").expect("opened");
    let sending = async {
        for message in &messages {
            one.send(message, Some(file.as_fd())).await.expect("sent");
            one.send(&Message::Drained(true), None).await.expect("sent");
        }
    };
    let receiving = async {
        for message in &messages {
            let (found, descriptor) = other.receive().await.expect("received");
            assert!(found == *message && descriptor.is_some());
            let (found, descriptor) = other.receive().await.expect("received");
            assert!(found == Message::Drained(true) && descriptor.is_none());
        }
    };
    tokio::join!(sending, receiving);
    drop(one);
    assert!(other.receive().await.is_err(), "its end is the link's");
}
