package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mustardseam/mustardseam/mustardseam/autoscale"
)

// scaleMetrics holds the metrics of the numbers of backend servers. Instances that do not hold the duty count no orders.
type scaleMetrics struct{ set *metrics.Set }

func newScaleMetrics(set *metrics.Set) *scaleMetrics { return &scaleMetrics{set: set} }

// record sets the gauges of a service; held reports whether this instance holds the duty.
func (m *scaleMetrics) record(service string, d autoscale.Decision, held bool) {
	m.gauge("needed", service, float64(d.Needed))
	m.gauge("in_force", service, float64(d.InForce))
	m.gauge("load", service, d.Load)
	m.gauge("capacity", service, d.Full)
	if held {
		m.set.GetOrCreateCounter(fmt.Sprintf(`mustardseam_scale_decisions_total{service=%q,reason=%q}`, service, d.Reason)).Inc()
	}
}

func (m *scaleMetrics) gauge(name, service string, v float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`mustardseam_scale_%s{service=%q}`, name, service), nil).Set(v)
}

// countOrder counts an order that is sent.
func (m *scaleMetrics) countOrder(o autoscale.Order) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mustardseam_scale_orders_total{cause=%q}`, o.Cause)).Inc()
}
