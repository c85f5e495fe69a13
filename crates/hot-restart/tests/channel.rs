//! A channel delivers messages of every length with their descriptors, and ends with its peer.

use hot_restart::channel::HandoverChannel;
use hot_restart::message::Message;
use std::os::fd::AsFd;

#[tokio::test(flavor = "current_thread")]
async fn messages_and_descriptors_arrive_in_order() {
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
    assert!(
        other.receive().await.is_err(),
        "the end of the peer ends the channel"
    );
}
