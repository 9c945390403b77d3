//! Tests of the order in which the dispatcher receives its messages.

use async_channel::bounded;
use dunlinspread::server::messages::{
    DispatcherInbox, DispatcherMessage, DispatcherSender, MailboxError, dispatcher_mailbox,
};
use futures_lite::future::{block_on, poll_once};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

/// Capacity of each queue.
const CAPACITY: usize = 64;
/// Maximum number of control messages that are received before a waiting message of a client.
const MAX_CONTROL_BEFORE_CLIENT: usize = 4;

/// Returns a message of a client, identified by its number.
fn client_message(number: u32) -> DispatcherMessage {
    DispatcherMessage::ClientGone(u64::from(number))
}

/// Returns a message that controls the process, identified by its number.
fn control_message(number: u32) -> DispatcherMessage {
    DispatcherMessage::Drain { stop_at: f64::from(number) }
}

fn send_all(sender: &DispatcherSender, messages: impl IntoIterator<Item = DispatcherMessage>) {
    for message in messages {
        sender.try_send(message).expect("the queue has room");
    }
}

/// Receives all waiting messages; returns for each whether a client sent it, and its number.
fn take_all(inbox: &mut DispatcherInbox) -> Vec<(bool, u64)> {
    let taken = std::iter::from_fn(|| inbox.take_waiting());
    taken
        .map(|message| match message {
            DispatcherMessage::ClientGone(number) => (true, number),
            DispatcherMessage::Drain { stop_at } => (false, stop_at as u64),
            other => panic!("unexpected message {other:?}"),
        })
        .collect()
}

#[test]
fn what_controls_the_process_does_not_wait_behind_clients() {
    let (sender, mut inbox) = dispatcher_mailbox(CAPACITY);
    send_all(&sender, (0..CAPACITY as u32).map(client_message));
    send_all(&sender, [control_message(1)]);
    assert_eq!(take_all(&mut inbox)[0], (false, 1));
}

#[test]
fn a_full_queue_of_requests_leaves_room_for_what_controls_the_process() {
    let (sender, _inbox) = dispatcher_mailbox(CAPACITY);
    send_all(&sender, (0..CAPACITY as u32).map(client_message));
    assert!(sender.is_full_for_requests());
    assert_eq!(sender.try_send(client_message(0)), Err(MailboxError::Full));
    assert_eq!(sender.try_send(control_message(1)), Ok(()));
}

/// Asserts that messages that depend on earlier requests are received after them: the wait for the last
/// request, and changes to the settings with which requests were read.
#[test]
fn what_counts_on_the_requests_before_it_comes_behind_them() {
    let (sender, mut inbox) = dispatcher_mailbox(CAPACITY);
    let (idle, _) = bounded(1);
    send_all(&sender, [client_message(1), DispatcherMessage::NotifyIdle(idle), control_message(2)]);
    let order: Vec<DispatcherMessage> = std::iter::from_fn(|| inbox.take_waiting()).collect();
    assert!(matches!(
        order.as_slice(),
        [DispatcherMessage::Drain { .. }, DispatcherMessage::ClientGone(1), DispatcherMessage::NotifyIdle(_)]
    ));
}

#[test]
fn a_message_wakes_an_inbox_that_waits_and_the_end_of_all_senders_ends_it() {
    let (sender, mut inbox) = dispatcher_mailbox(CAPACITY);
    block_on(async {
        assert!(poll_once(inbox.next()).await.is_none(), "nothing was sent");
        for message in [client_message(1), control_message(2)] {
            sender.send(message).await.expect("the inbox is open");
            assert!(inbox.next().await.is_some());
        }
        sender.send(client_message(3)).await.expect("the inbox is open");
        drop(sender);
        assert!(matches!(inbox.next().await, Some(DispatcherMessage::ClientGone(3))));
        assert!(inbox.next().await.is_none());
    });
}

#[test]
fn nothing_is_sent_once_the_dispatcher_has_ended() {
    let (sender, inbox) = dispatcher_mailbox(CAPACITY);
    drop(inbox);
    assert_eq!(sender.try_send(control_message(1)), Err(MailboxError::Closed));
    assert_eq!(block_on(sender.send(client_message(1))), Err(MailboxError::Closed));
}

proptest! {
    /// Asserts that each queue keeps its order and that a client's message waits for a bounded number of
    /// control messages, in any interleaving of sending and receiving.
    #[test]
    fn each_queue_keeps_its_order_and_no_client_waits_for_long(
        steps in proptest::collection::vec((any::<bool>(), 0_usize..4), 0..CAPACITY),
    ) {
        let (sender, mut inbox) = dispatcher_mailbox(CAPACITY);
        let (mut sent, mut waiting_clients, mut control_in_a_row) = (0, 0, 0);
        let mut received = [Vec::new(), Vec::new()];
        for (is_from_client, receive_count) in steps {
            sent += 1;
            let message = if is_from_client { client_message(sent) } else { control_message(sent) };
            prop_assert_eq!(sender.try_send(message), Ok(()));
            waiting_clients += usize::from(is_from_client);
            for _ in 0..receive_count {
                match inbox.take_waiting() {
                    Some(DispatcherMessage::ClientGone(number)) => {
                        received[0].push(number);
                        waiting_clients -= 1;
                        control_in_a_row = 0;
                    }
                    Some(DispatcherMessage::Drain { stop_at }) => {
                        received[1].push(stop_at as u64);
                        control_in_a_row = if waiting_clients > 0 { control_in_a_row + 1 } else { 0 };
                        prop_assert!(control_in_a_row <= MAX_CONTROL_BEFORE_CLIENT);
                    }
                    None => {}
                    Some(other) => panic!("unexpected message {other:?}"),
                }
            }
        }
        for (is_from_client, number) in take_all(&mut inbox) {
            received[usize::from(!is_from_client)].push(number);
        }
        prop_assert_eq!(received[0].len() + received[1].len(), sent as usize);
        prop_assert!(received.iter().all(|numbers| numbers.is_sorted()));
    }
}
