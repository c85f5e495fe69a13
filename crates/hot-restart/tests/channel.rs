//! A channel delivers messages of any length with their descriptors, and fails when its peer closes
//! it.

use hot_restart::channel::HandoverChannel;
use hot_restart::message::Message;
use std::os::fd::AsFd;

#[tokio::test(flavor = "current_thread")]
async fn messages_and_descriptors_arrive_in_order() {
    let (sender, receiver) = tokio::net::UnixStream::pair().expect("a socket pair");
    let (sender, receiver) = (HandoverChannel::new(sender), HandoverChannel::new(receiver));
    let messages: Vec<Message> = [0, 1, 70_000, 4 << 20]
        .map(|length| Message::Connection {
            unread: vec![7; length].into(),
            has_sent_command: length > 1,
        })
        .into();
    let file = std::fs::File::open("/dev/null").expect("opened");
    let sending = async {
        for message in &messages {
            sender
                .send(message, Some(file.as_fd()))
                .await
                .expect("sent");
            sender
                .send(&Message::Drained(true), None)
                .await
                .expect("sent");
        }
    };
    let receiving = async {
        for message in &messages {
            let (received, descriptor) = receiver.receive().await.expect("received");
            assert!(received == *message && descriptor.is_some());
            let (received, descriptor) = receiver.receive().await.expect("received");
            assert!(received == Message::Drained(true) && descriptor.is_none());
        }
    };
    tokio::join!(sending, receiving);
    drop(sender);
    assert!(
        receiver.receive().await.is_err(),
        "the peer has closed the channel"
    );
}
