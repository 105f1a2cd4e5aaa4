"""Trace spans for each hop, exported to a file or by OTLP, depending on the settings."""

import pathlib
import threading
import typing as t

import orjson
from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.export import SpanExporter
from opentelemetry.sdk.trace.export import SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBased
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

_PROPAGATOR = TraceContextTextMapPropagator()


class FileExporter(SpanExporter):
    """Writes each span as one JSON line; several nodes may share a file."""

    _lock = threading.Lock()

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)

    def export(self, spans: t.Sequence[ReadableSpan]) -> SpanExportResult:
        """Append spans to the file."""
        lines = b"".join(orjson.dumps(_row(span)) + b"\n" for span in spans)
        with self._lock, self._path.open("ab") as file:
            file.write(lines)
        return SpanExportResult.SUCCESS


def _row(span: ReadableSpan) -> dict[str, t.Any]:
    ids = span.get_span_context()
    assert ids is not None
    return {
        "trace_id": f"{ids.trace_id:032x}",
        "span_id": f"{ids.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "name": span.name,
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
        "node": span.resource.attributes.get("service.instance.id", ""),
    }


class Telemetry:
    """The tracer of one node."""

    def __init__(self, node: str, file: str = "", otlp: str = "", share: float = 1.0) -> None:
        resource = Resource.create({"service.name": "rookspring", "service.instance.id": node})
        sampler = ParentBased(TraceIdRatioBased(share))
        self._provider = TracerProvider(resource=resource, sampler=sampler, shutdown_on_exit=False)
        if file:
            self._provider.add_span_processor(BatchSpanProcessor(FileExporter(file)))
        if otlp:
            self._provider.add_span_processor(BatchSpanProcessor(OTLPSpanExporter(otlp)))
        self.enabled = bool(file or otlp)
        self._tracer = self._provider.get_tracer("rookspring")

    def begin(self, name: str, parent: str = "", **attributes: t.Any) -> trace.Span:
        """Begin a span.

        :param parent: a ``traceparent`` header, or empty for a new trace.
        """
        if not self.enabled:
            return trace.INVALID_SPAN
        context: otel_context.Context | None = None
        if parent:
            context = _PROPAGATOR.extract({"traceparent": parent})
        return self._tracer.start_span(name, context=context, attributes=attributes)

    def header(self, span: trace.Span, default: str = "") -> str:
        """Return the ``traceparent`` header for calls that belong to a span.

        :param default: given if no span is recorded.
        """
        if not self.enabled:
            return default
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, context=trace.set_span_in_context(span))
        return carrier.get("traceparent", default)

    def flush(self) -> None:
        """Export the spans recorded so far."""
        self._provider.force_flush(2000)

    def stop(self) -> None:
        """Export the remaining spans and shut down."""
        self._provider.shutdown()
