//! Admission of requests at an entry.

use mimosabridge::{admission::Controller, config::Class, time::Time};

const NOW: Time = Time::from_millis(1_000);

fn admitted(controller: &mut Controller, class: Class) -> usize {
    (0..1_000).take_while(|_| controller.try_admit(class, NOW)).count()
}

#[test]
fn lowest_first() {
    let mut controller = Controller::new(100);
    assert_eq!(admitted(&mut controller, Class::Batch), 60);
    assert_eq!(admitted(&mut controller, Class::Planning), 25);
    assert_eq!(admitted(&mut controller, Class::Interactive), 15);
    controller.release();
    assert!(!controller.try_admit(Class::Batch, NOW));
    assert!(controller.try_admit(Class::Interactive, NOW));
}

#[test]
fn pressure_sheds() {
    let mut controller = Controller::new(100);
    let mut now = NOW;
    for step in 0..100 {
        now = Time::from_millis(1_000 + step * 100);
        for number in 0..10 {
            controller.on_outcome(number < 2, now);
        }
    }
    assert!(
        !controller.try_admit(Class::Batch, now),
        "a fifth is refused: {}",
        controller.pressure()
    );
    assert!(controller.try_admit(Class::Planning, now));
    for step in 0..100 {
        now = Time::from_millis(11_000 + step * 100);
        for number in 0..10 {
            controller.on_outcome(number < 5, now);
        }
    }
    assert!(
        !controller.try_admit(Class::Planning, now),
        "half is refused: {}",
        controller.pressure()
    );
    assert!(controller.try_admit(Class::Interactive, now));
}

#[test]
fn pressure_decays() {
    let mut controller = Controller::new(100);
    for number in 0..1_000 {
        controller.on_outcome(true, Time::from_millis(1_000 + number));
    }
    assert!(!controller.try_admit(Class::Batch, Time::from_millis(2_000)));
    for step in 0..10 {
        controller.try_admit(Class::Batch, Time::from_millis(3_000 + step * 1_000));
    }
    assert!(
        controller.try_admit(Class::Batch, Time::from_millis(20_000)),
        "{}",
        controller.pressure()
    );
}
