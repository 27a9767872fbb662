use super::News;

/// Rounds in which an item is sent, times the binary logarithm of the size of the fleet.
const ROUNDS_PER_LOG: u32 = 3;

/// News that waits to be sent, the least often sent first.
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

    /// Adds news, in place of older news that it makes superfluous.
    pub fn push(&mut self, news: News) {
        self.items.retain(|it| !news.replaces(&it.news));
        self.items.push(Item { news, sent: 0 });
    }

    /// Returns the news to send next.
    pub fn iter(&self) -> impl Iterator<Item = News> + '_ {
        self.items.iter().map(|it| it.news.clone())
    }

    /// Takes note that the first `count` items were sent, in a fleet of `fleet` nodes.
    pub fn on_sent(&mut self, count: usize, fleet: usize) {
        for item in &mut self.items[..count] {
            item.sent += 1;
        }
        let limit = ROUNDS_PER_LOG * (usize::BITS - fleet.leading_zeros()).max(1);
        self.items.retain(|it| it.sent < limit);
        self.items.sort_by_key(|it| it.sent);
    }

    /// Returns the number of items that wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
