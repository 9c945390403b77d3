//! The order in which the dispatcher takes its messages.

use async_channel::bounded;
use dunlinspread::server::messages::{
    DispatcherInbox, DispatcherMessage, DispatcherSender, MailboxError, dispatcher_mailbox,
};
use futures_lite::future::{block_on, poll_once};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

/// Room in each queue.
const CAPACITY: usize = 64;
/// Control messages that may come before one of a client.
const MAX_CONTROL_BEFORE_CLIENT: usize = 4;

/// A message of a client, known by its number.
fn of_client(number: u32) -> DispatcherMessage {
    DispatcherMessage::ClientGone(u64::from(number))
}

/// A message that controls the process, known by its number.
fn control(number: u32) -> DispatcherMessage {
    DispatcherMessage::Drain { stop_at: f64::from(number) }
}

fn send_all(sender: &DispatcherSender, messages: impl IntoIterator<Item = DispatcherMessage>) {
    for message in messages {
        sender.try_send(message).expect("there is room");
    }
}

/// Takes all messages that wait, each as whether a client sent it, and its number.
fn take_all(inbox: &mut DispatcherInbox) -> Vec<(bool, u64)> {
    let taken = std::iter::from_fn(|| inbox.take_waiting());
    taken
        .map(|message| match message {
            DispatcherMessage::ClientGone(number) => (true, number),
            DispatcherMessage::Drain { stop_at } => (false, stop_at as u64),
            other => panic!("nobody sent {other:?}"),
        })
        .collect()
}

#[test]
fn what_controls_the_process_does_not_wait_behind_clients() {
    let (sender, mut inbox) = dispatcher_mailbox(CAPACITY);
    send_all(&sender, (0..CAPACITY as u32).map(of_client));
    send_all(&sender, [control(1)]);
    assert_eq!(take_all(&mut inbox)[0], (false, 1));
}

#[test]
fn a_full_queue_of_requests_leaves_room_for_what_controls_the_process() {
    let (sender, _inbox) = dispatcher_mailbox(CAPACITY);
    send_all(&sender, (0..CAPACITY as u32).map(of_client));
    assert!(sender.is_full_for_requests());
    assert_eq!(sender.try_send(of_client(0)), Err(MailboxError::Full));
    assert_eq!(sender.try_send(control(1)), Ok(()));
}

/// Whoever waits for the last request, or changes what requests were read with, comes behind the requests before.
#[test]
fn what_counts_on_the_requests_before_it_comes_behind_them() {
    let (sender, mut inbox) = dispatcher_mailbox(CAPACITY);
    let (idle, _) = bounded(1);
    send_all(&sender, [of_client(1), DispatcherMessage::NotifyIdle(idle), control(2)]);
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
        for message in [of_client(1), control(2)] {
            sender.send(message).await.expect("the inbox is there");
            assert!(inbox.next().await.is_some());
        }
        sender.send(of_client(3)).await.expect("the inbox is there");
        drop(sender);
        assert!(matches!(inbox.next().await, Some(DispatcherMessage::ClientGone(3))));
        assert!(inbox.next().await.is_none());
    });
}

#[test]
fn nothing_is_sent_once_the_dispatcher_has_ended() {
    let (sender, inbox) = dispatcher_mailbox(CAPACITY);
    drop(inbox);
    assert_eq!(sender.try_send(control(1)), Err(MailboxError::Closed));
    assert_eq!(block_on(sender.send(of_client(1))), Err(MailboxError::Closed));
}

proptest! {
    /// Whatever is sent and taken when: each queue keeps its order, and no client waits for more than its share.
    #[test]
    fn each_queue_keeps_its_order_and_no_client_waits_for_long(
        steps in proptest::collection::vec((any::<bool>(), 0_usize..4), 0..CAPACITY),
    ) {
        let (sender, mut inbox) = dispatcher_mailbox(CAPACITY);
        let (mut sent, mut waiting_clients, mut control_in_a_row) = (0, 0, 0);
        let mut taken_of = [Vec::new(), Vec::new()];
        for (is_of_client, takes) in steps {
            sent += 1;
            let message = if is_of_client { of_client(sent) } else { control(sent) };
            prop_assert_eq!(sender.try_send(message), Ok(()));
            waiting_clients += usize::from(is_of_client);
            for _ in 0..takes {
                match inbox.take_waiting() {
                    Some(DispatcherMessage::ClientGone(number)) => {
                        taken_of[0].push(number);
                        waiting_clients -= 1;
                        control_in_a_row = 0;
                    }
                    Some(DispatcherMessage::Drain { stop_at }) => {
                        taken_of[1].push(stop_at as u64);
                        control_in_a_row = if waiting_clients > 0 { control_in_a_row + 1 } else { 0 };
                        prop_assert!(control_in_a_row <= MAX_CONTROL_BEFORE_CLIENT);
                    }
                    None => {}
                    Some(other) => panic!("nobody sent {other:?}"),
                }
            }
        }
        for (is_of_client, number) in take_all(&mut inbox) {
            taken_of[usize::from(!is_of_client)].push(number);
        }
        prop_assert_eq!(taken_of[0].len() + taken_of[1].len(), sent as usize);
        prop_assert!(taken_of.iter().all(|numbers| numbers.is_sorted()));
    }
}
