use std::{io, rc::Rc, time::Duration};

use mimosabridge::{
    member::{Incarnation, Record, Roles, State},
    stop::{Phase, Stop},
};
use mimosabridge_node::timer;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use super::{PAUSE, Settings, Shared, admin};
use crate::{events, feed, front, peers};

/// How often beliefs that depend on time are looked at.
const TICK: Duration = Duration::from_millis(250);

/// How often a planned stop is looked at.
const STOP_TICK: Duration = Duration::from_millis(50);

/// A node could not start.
#[derive(Debug, Snafu)]
#[snafu(display("cannot {what}: {source}"))]
pub struct StartError {
    what: String,
    source: io::Error,
}

/// Runs a node until it is told to stop. Call it on a [`tokio::task::LocalSet`].
pub async fn run(settings: Settings, boot: u64) -> Result<(), StartError> {
    let Settings { name, data_centre, headers, balance, .. } = settings;
    let shared = Rc::new(Shared::new(headers, balance, boot));
    let timer = timer::Service::start(shared.clock);
    let what = |it: &str, address| format!("listen for {it} on {address}");
    let listener = TcpListener::bind(settings.front).await;
    let listener =
        listener.with_context(|_| StartSnafu { what: what("callers", settings.front) })?;
    let socket = UdpSocket::bind(settings.peer).await;
    let socket = socket.with_context(|_| StartSnafu { what: what("peers", settings.peer) })?;
    let rpc = TcpListener::bind(settings.rpc).await;
    let rpc = rpc.with_context(|_| StartSnafu { what: what("calls", settings.rpc) })?;
    let mut terminate =
        signal(SignalKind::terminate()).context(StartSnafu { what: "take signals" })?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context(StartSnafu { what: "take signals" })?;
    let mut hangup = signal(SignalKind::hangup()).context(StartSnafu { what: "take signals" })?;
    events::STARTED.emit(&[
        ("node", &name),
        ("data_centre", &data_centre),
        ("front", &settings.front),
        ("boot", &boot),
    ]);

    let own = Record {
        name,
        data_centre,
        roles: Roles { entry: true, gate: false },
        peer: settings.peer,
        rpc: settings.rpc,
        incarnation: Incarnation { boot, refutation: 0 },
        state: State::Alive,
    };
    let exchange = peers::start(shared.clone(), &timer, own, socket, rpc, settings.seeds);
    admin::serve_ready(settings.ready, settings.ready_path, shared.is_ready.clone());
    if let Some(address) = settings.metrics {
        admin::serve_metrics(address, shared.metrics.clone());
    }
    tokio::task::spawn_local(feed::follow(
        shared.clone(),
        Rc::new(settings.source),
        exchange.clone(),
    ));
    let (phases, phase) = watch::channel(None);
    tokio::task::spawn_local(front::accept(shared.clone(), listener, phase, exchange.clone()));

    let mut ticks = timer.every(TICK);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {
                let outcome = (settings.reload)();
                events::RELOADED.emit(&[("outcome", &outcome)]);
            }
            Some(tick) = ticks.recv() => on_tick(&shared, tick),
        }
    }

    let stop = Stop::new(settings.grace, shared.now());
    shared.beliefs.borrow_mut().stop = Some(stop);
    shared.refresh_ready();
    events::STOPPING.emit(&[("running", &shared.beliefs.borrow().running)]);
    let mut ticks = timer.every(STOP_TICK);
    while let Some(tick) = ticks.recv().await {
        let phase = {
            let beliefs = shared.beliefs.borrow();
            beliefs.stop.as_ref().map(|it| it.phase(beliefs.running, tick.now))
        };
        phases.send_if_modified(|it| {
            let is_new = *it != phase;
            *it = phase;
            is_new
        });
        if phase == Some(Phase::Ended) {
            break;
        }
    }
    exchange.leave();
    events::STOPPED.emit(&[("running", &shared.beliefs.borrow().running)]);
    Ok(())
}

fn on_tick(shared: &Shared, tick: timer::Tick) {
    if tick.late >= PAUSE {
        events::PAUSED.emit(&[("millis", &tick.late.as_millis())]);
        shared.woken.notify_waiters();
    }
    shared.pool.expire(tick.now);
    let news = {
        let beliefs = &mut *shared.beliefs.borrow_mut();
        beliefs.mirror.tick(&mut beliefs.balancer, tick.now)
    };
    shared.on_news(&news, "time");
}
