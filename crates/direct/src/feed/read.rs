use mimosabridge::{
    balance::Balancer,
    feed::{ANSWER_TIMEOUT, Event, Mirror, Position, Reader, Snapshot, Step},
    time::Time,
};

use super::{Source, SourceError, catch_up, confirm};
use crate::{events, node::Shared, peers::Exchange};

/// Performs the next step of a node that reads the store itself. While the store does not answer,
/// the node catches up through peers.
pub async fn step(shared: &Shared, source: &Source, exchange: &Exchange, reader: &mut Reader) {
    let known = shared.state.borrow().mirror.position();
    match reader.step(known, shared.now()) {
        Step::Pause(until) => {
            tokio::select! {
                () = tokio::time::sleep_until(shared.clock.instant(until)) => {}
                () = catch_up::while_unavailable(
                    shared,
                    exchange,
                    reader.is_store_unavailable(),
                ) => {}
            }
        }
        Step::List => {
            shared.metrics.store_calls.inc();
            let sent = shared.now();
            tokio::select! {
                result = (source.list)() => on_list(shared, exchange, reader, sent, result).await,
                () = catch_up::while_unavailable(
                    shared,
                    exchange,
                    reader.is_store_unavailable(),
                ) => {}
            }
        }
        Step::Watch { after, wait } => {
            shared.metrics.store_calls.inc();
            exchange.on_read();
            let sent = shared.now();
            tokio::select! {
                result = (source.watch)(after, wait, ANSWER_TIMEOUT) => {
                    on_watch(shared, exchange, reader, after, sent, result).await;
                }
                // A connection may have been lost while this process was paused.
                () = shared.resumed.notified() => {}
                () = catch_up::when_behind(shared, exchange),
                    if !reader.is_store_unavailable() => {}
                () = catch_up::while_unavailable(
                    shared,
                    exchange,
                    reader.is_store_unavailable(),
                ) => {}
            }
        }
    }
}

async fn on_list(
    shared: &Shared,
    exchange: &Exchange,
    reader: &mut Reader,
    sent: Time,
    result: Result<Snapshot, SourceError>,
) {
    match result {
        Ok(snapshot) => {
            on_answer(shared, exchange, reader, sent);
            confirm::gap(shared, exchange, &snapshot).await;
            apply(shared, exchange, |mirror, balancer, now| {
                mirror.replace(snapshot, balancer, now)
            });
            reader.on_list(shared.now());
        }
        Err(error) => on_failure(shared, reader, &error),
    }
}

async fn on_watch(
    shared: &Shared,
    exchange: &Exchange,
    reader: &mut Reader,
    after: Position,
    sent: Time,
    result: Result<Snapshot, SourceError>,
) {
    match result {
        Ok(delta) => {
            if !delta.position.continues(&after) {
                reader.on_discontinued(after, delta.position, shared.now());
                log_discontinued(&after, &delta.position);
                return;
            }
            on_answer(shared, exchange, reader, sent);
            confirm::removals(shared, exchange, &delta).await;
            apply(shared, exchange, |mirror, balancer, now| {
                mirror.extend(after, delta, balancer, now)
            });
            reader.on_watch(shared.now());
        }
        Err(SourceError::HistoryExpired) => reader.on_history_expired(shared.now()),
        Err(error @ SourceError::TooLong) => {
            events::TROUBLE.emit(&[("operation", &"watch the store"), ("error", &error)]);
            reader.on_history_expired(shared.now());
        }
        Err(error @ SourceError::Cut { .. }) => on_cut(shared, reader, sent, &error),
        Err(error) => on_failure(shared, reader, &error),
    }
}

/// Logs that the changes after a position, with which the store answered a watch, do not continue
/// what is known.
pub fn log_discontinued(after: &Position, answered: &Position) {
    events::DISCONTINUED.emit(&[
        ("era", &answered.era),
        ("revision", &answered.revision),
        ("known_era", &after.era),
        ("known_revision", &after.revision),
    ]);
}

/// Applies an answer of the store to the mirror, and announces urgent changes to other nodes.
pub fn apply(
    shared: &Shared,
    exchange: &Exchange,
    update: impl FnOnce(&mut Mirror, &mut Balancer, Time) -> Vec<Event>,
) {
    let before = shared.state.borrow().mirror.progress();
    let changes = shared.update_mirror(update);
    shared.on_changes(&changes, "store");
    if shared.state.borrow().mirror.progress().is_urgent_for(&before) {
        exchange.announce_progress();
    }
}

fn on_answer(shared: &Shared, exchange: &Exchange, reader: &Reader, sent: Time) {
    exchange.on_contact(std::time::Duration::ZERO);
    let now = shared.now();
    if reader.is_store_unavailable() {
        let age = reader.contact_age(now).as_millis();
        events::STORE_BACK.emit(&[("away_millis", &age)]);
    }
    shared.state.borrow_mut().balancer.directory_mut().on_store_available(sent, now);
}

/// Handles the end of the connection of a watch.
fn on_cut(shared: &Shared, reader: &mut Reader, sent: Time, error: &SourceError) {
    let now = shared.now();
    let was_unavailable = reader.is_store_unavailable();
    if reader.on_cut(rand::random(), now) {
        record_failure(shared, reader, was_unavailable, error);
    } else {
        events::TROUBLE.emit(&[("operation", &"watch the store"), ("error", error)]);
        shared.state.borrow_mut().balancer.directory_mut().on_watch_cut(sent, now);
    }
}

fn on_failure(shared: &Shared, reader: &mut Reader, error: &SourceError) {
    let was_unavailable = reader.is_store_unavailable();
    reader.on_failure(rand::random(), shared.now());
    record_failure(shared, reader, was_unavailable, error);
}

/// Records a failed read, which `reader` counts already.
fn record_failure(shared: &Shared, reader: &Reader, was_unavailable: bool, error: &SourceError) {
    shared.metrics.store_failures.inc();
    let now = shared.now();
    if !was_unavailable {
        let age = reader.contact_age(now).as_millis();
        events::STORE_LOST.emit(&[("error", error), ("age_millis", &age)]);
    }
    shared.state.borrow_mut().balancer.directory_mut().on_store_unavailable(now);
}
