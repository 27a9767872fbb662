use std::collections::HashMap;

use mimosabridge::{backend::TRACE_PARENT, name::Name};
use opentelemetry::{
    Context, KeyValue,
    propagation::TextMapPropagator,
    trace::{SpanKind, Tracer as _, TracerProvider},
};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::{
    Resource,
    propagation::TraceContextPropagator,
    runtime::Tokio,
    trace::{
        Sampler, SdkTracer, SdkTracerProvider,
        span_processor_with_async_runtime::BatchSpanProcessor,
    },
};
use snafu::{ResultExt, Snafu};

use super::Span;

/// Starts spans and exports them to a collector, or does nothing if there is none.
#[derive(Clone, Debug, Default)]
pub struct Tracer {
    sdk: Option<(SdkTracerProvider, SdkTracer)>,
}

/// The exporter of traces cannot be created.
#[derive(Debug, Snafu)]
#[snafu(display("cannot export traces to {endpoint}: {source}"))]
pub struct TraceError {
    endpoint: String,
    source: opentelemetry_otlp::ExporterBuildError,
}

impl Tracer {
    /// Creates a tracer that does nothing.
    pub fn new() -> Tracer {
        Tracer::default()
    }

    /// Creates a tracer that exports a fraction (`ratio`, from 0 to 1) of the traces that start at
    /// this node, and all that a caller has sampled, to the collector at `endpoint`, an OTLP URL.
    /// Returns an error if the exporter cannot be created.
    pub fn with_collector(node: &Name, endpoint: &str, ratio: f64) -> Result<Tracer, TraceError> {
        let exporter = SpanExporter::builder()
            .with_http()
            .with_protocol(Protocol::HttpJson)
            .with_endpoint(endpoint)
            .build()
            .context(TraceSnafu { endpoint })?;
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(ratio)));
        let resource = Resource::builder()
            .with_service_name("mimosabridge")
            .with_attribute(KeyValue::new("service.instance.id", node.to_string()))
            .build();
        let provider = SdkTracerProvider::builder()
            .with_resource(resource)
            .with_sampler(sampler)
            .with_span_processor(BatchSpanProcessor::builder(exporter, Tokio).build())
            .build();
        let tracer = provider.tracer("mimosabridge");
        Ok(Tracer { sdk: Some((provider, tracer)) })
    }

    /// Starts the span of a hop. `parent` is the W3C trace context of the previous hop, if there is
    /// one.
    pub fn start(&self, name: &'static str, kind: SpanKind, parent: Option<&str>) -> Span {
        let Some((_, tracer)) = &self.sdk else { return Span::none() };
        let builder = tracer.span_builder(name).with_kind(kind);
        Span::new(tracer.build_with_context(builder, &context(parent)))
    }

    /// Exports the spans that are still buffered, and stops the exporter.
    pub async fn stop(&self) {
        let Some((provider, _)) = self.sdk.clone() else { return };
        // The provider blocks until all spans are sent. Spans that cannot be sent are lost: traces
        // do not justify a delay of the shutdown.
        let _ = tokio::task::spawn_blocking(move || provider.shutdown()).await;
    }
}

fn context(parent: Option<&str>) -> Context {
    let carrier: HashMap<String, String> =
        parent.map(|it| (TRACE_PARENT.to_owned(), it.to_owned())).into_iter().collect();
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}
