use super::News;

/// How often an item is sent, as a multiple of the binary logarithm of the size of the fleet.
const SENDS_PER_LOG: u32 = 3;

/// Queues news to be sent, with the items first that were sent least often.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    items: Vec<Item>,
}

#[derive(Clone, Debug)]
struct Item {
    news: News,
    sent: u32,
}

impl Outbox {
    /// Creates an empty outbox.
    pub fn new() -> Outbox {
        Outbox::default()
    }

    /// Adds news and drops queued news that it makes obsolete.
    pub fn push(&mut self, news: News) {
        self.items.retain(|it| !news.replaces(&it.news));
        self.items.push(Item { news, sent: 0 });
    }

    /// Returns the queued news in the order in which to send it.
    pub fn iter(&self) -> impl Iterator<Item = News> + '_ {
        self.items.iter().map(|it| it.news.clone())
    }

    /// Records that the first `count` items were sent, and drops items that were sent often enough
    /// for a fleet of `fleet` nodes.
    pub fn on_sent(&mut self, count: usize, fleet: usize) {
        for item in &mut self.items[..count] {
            item.sent += 1;
        }
        let limit = SENDS_PER_LOG * (usize::BITS - fleet.leading_zeros()).max(1);
        self.items.retain(|it| it.sent < limit);
        self.items.sort_by_key(|it| it.sent);
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
