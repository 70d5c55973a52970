package operator

import (
	"context"
	"fmt"
	"net/http"
	"runtime/metrics"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"acaciavane/core"
)

// Metrics exports the counters and gauges of an instance and the latencies of its answers.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
	latency  metric.Float64Histogram
}

// Gauges holds the functions that return the values of the gauges. They are called when
// metrics are collected.
type Gauges struct {
	InFlight             func() int
	ConfigurationVersion func() uint64
	PlatformAge          func() core.Millis
	AlivePeers           func() int
	ExtraLoadTokens      func() float64
	// Callers returns the state of the connections of callers.
	Callers func() core.ConnectionBudgetState
}

// latencyBuckets are the upper bounds, in seconds, of the latency histogram.
var latencyBuckets = []float64{.002, .005, .01, .02, .03, .045, .061, .09, .15, .3, .6, 1, 2, 5, 10, 60}

// NewMetrics registers the counters, the gauges and the latency histogram of an instance.
func NewMetrics(counters *core.Counters, gauges Gauges) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	meter := provider.Meter("acaciavane")
	if err := registerCounters(meter, counters); err != nil {
		return nil, err
	}
	if err := registerGauges(meter, gauges); err != nil {
		return nil, err
	}
	latency, err := meter.Float64Histogram("acaciavane.answer.latency",
		metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to its answer."),
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
	if err != nil {
		return nil, fmt.Errorf("create latency histogram: %w", err)
	}
	return &Metrics{registry: registry, provider: provider, latency: latency}, nil
}

func registerCounters(meter metric.Meter, counters *core.Counters) error {
	byMetric := map[string][]core.Counter{}
	for _, counter := range counters.All() {
		name := counter.Metric().Name
		byMetric[name] = append(byMetric[name], counter)
	}
	for name, shared := range byMetric {
		_, err := meter.Int64ObservableCounter("acaciavane."+name,
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				for _, counter := range shared {
					o.Observe(counters.Get(counter), counterAttributes(counter))
				}
				return nil
			}))
		if err != nil {
			return fmt.Errorf("create counter %s: %w", name, err)
		}
	}
	return nil
}

// counterAttributes returns the label that tells the counter from others of the same metric.
func counterAttributes(counter core.Counter) metric.MeasurementOption {
	shared := counter.Metric()
	if shared.Label == "" {
		return metric.WithAttributes()
	}
	return metric.WithAttributes(attribute.String(shared.Label, shared.LabelValue))
}

func registerGauges(meter metric.Meter, gauges Gauges) error {
	definitions := []struct {
		name string
		read func() float64
	}{
		{"acaciavane.requestsInFlight", func() float64 { return float64(gauges.InFlight()) }},
		{"acaciavane.configurationVersion", func() float64 { return float64(gauges.ConfigurationVersion()) }},
		{"acaciavane.platformAgeMillis", func() float64 { return float64(gauges.PlatformAge()) }},
		{"acaciavane.alivePeers", func() float64 { return float64(gauges.AlivePeers()) }},
		{"acaciavane.extraLoadTokens", gauges.ExtraLoadTokens},
		{"acaciavane.callerBytes", func() float64 { return float64(gauges.Callers().Bytes) }},
		{"acaciavane.callerConnections", func() float64 { return float64(gauges.Callers().Connections) }},
		{"acaciavane.processorSeconds", processorSeconds},
	}
	for _, definition := range definitions {
		_, err := meter.Float64ObservableGauge(definition.name,
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(definition.read())
				return nil
			}))
		if err != nil {
			return fmt.Errorf("create gauge %s: %w", definition.name, err)
		}
	}
	return nil
}

// heapBytes returns the size in bytes of the heap objects that are live or not yet swept.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Observe records the latency of an answer, by outcome.
func (m *Metrics) Observe(answer core.Answer) {
	m.latency.Record(context.Background(), answer.Elapsed.Duration().Seconds(),
		metric.WithAttributes(attribute.String("outcome", string(answer.Outcome))))
}

// ObserveRouted records the latency of an answer to a routed request, by outcome, reason
// and whether the answer is merged. The route is not an attribute, as configurations keep
// adding routes and the number of time series would grow without limit.
func (m *Metrics) ObserveRouted(answer core.RoutedAnswer, elapsed core.Millis) {
	_, merged := answer.Merged.Get()
	m.latency.Record(context.Background(), elapsed.Duration().Seconds(),
		metric.WithAttributes(
			attribute.String("outcome", string(answer.Outcome)),
			attribute.String("reason", string(answer.Reason)),
			attribute.Bool("merged", merged)))
}

// Handler returns the HTTP handler of the Prometheus endpoint.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts down the meter provider.
func (m *Metrics) Close(ctx context.Context) {
	_ = m.provider.Shutdown(ctx)
}
