package placement

const (
	// fitDecay is the fraction of their weight that older measurements keep with each new one.
	fitDecay = 0.99
	// priorPointWeight is the weight of each of the two points that represent the defaults, in measurements.
	priorPointWeight = 2.0
	// priorTokens is the number of tokens at the second of these points; the first one is at 0.
	priorTokens = 4000.0
	// maxOutlierRatio limits a measurement to a multiple of the predicted value.
	maxOutlierRatio = 4.0
)

// linearFit is a least-squares line through measurements with exponential forgetting. It predicts the time to the first
// event in milliseconds from the number of prompt tokens. The zero value is the line of the defaults.
type linearFit struct {
	w, x, y, xx, xy float64 // Sum of the weights, and weighted sums.
}

// add records a measurement.
func (l *linearFit) add(x, y float64) {
	y = min(y, maxOutlierRatio*l.predict(x))
	l.w = l.w*fitDecay + 1
	l.x = l.x*fitDecay + x
	l.y = l.y*fitDecay + y
	l.xx = l.xx*fitDecay + x*x
	l.xy = l.xy*fitDecay + x*y
}

// coefficients returns the intercept and the slope of the line, neither of them negative.
func (l *linearFit) coefficients() (intercept, slope float64) {
	const priorValue = defaultFirstEventBaseMS + priorTokens/defaultPromptTokensPerMS
	w := l.w + 2*priorPointWeight
	x := l.x + priorPointWeight*priorTokens
	y := l.y + priorPointWeight*(defaultFirstEventBaseMS+priorValue)
	xx := l.xx + priorPointWeight*priorTokens*priorTokens
	xy := l.xy + priorPointWeight*priorTokens*priorValue
	slope = max(0, (w*xy-x*y)/(w*xx-x*x))
	return max(0, (y-slope*x)/w), slope
}

// predict returns the value of the line at x.
func (l *linearFit) predict(x float64) float64 {
	intercept, slope := l.coefficients()
	return intercept + slope*x
}
