use std::collections::HashMap;

use mimosabridge::backend::TRACE_PARENT;
use opentelemetry::{
    Context, KeyValue, Value,
    propagation::TextMapPropagator,
    trace::{Span as _, TraceContextExt},
};
use opentelemetry_sdk::{propagation::TraceContextPropagator, trace};

/// The span of one hop of a request. It ends when it is dropped.
#[derive(Debug)]
pub struct Span {
    sdk: Option<trace::Span>,
}

impl Span {
    /// Creates a span that records nothing.
    pub fn none() -> Span {
        Span { sdk: None }
    }

    /// Wraps a span of the SDK.
    pub fn new(span: trace::Span) -> Span {
        Span { sdk: Some(span) }
    }

    /// Returns the W3C trace context for the next hop, if the span is recorded.
    pub fn context(&self) -> Option<String> {
        let span = self.sdk.as_ref()?;
        let context = Context::new().with_remote_span_context(span.span_context().clone());
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&context, &mut carrier);
        carrier.remove(TRACE_PARENT)
    }

    /// Sets an attribute of the span.
    pub fn set(&mut self, key: &'static str, value: impl Into<Value>) {
        if let Some(span) = &mut self.sdk {
            span.set_attribute(KeyValue::new(key, value));
        }
    }
}
