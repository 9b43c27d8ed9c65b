package place

const (
	// lineMemory is the part of their weight that older measurements keep with each new one.
	lineMemory = 0.99
	// priorWeight is the weight of each of the two points that stand for the defaults, in measurements.
	priorWeight = 2.0
	// priorTokens is the number of tokens of the second of these points.
	priorTokens = 4000.0
	// outlier is how many times the predicted value a measurement counts at most.
	outlier = 4.0
)

// line is a straight line through measurements, fitted by least squares with exponential forgetting; it tells the time to
// the first event by the tokens to read. Its zero value is the line of the defaults.
type line struct {
	w, x, y, xx, xy float64 // Weight and weighted sums.
}

// add takes in a measurement.
func (l *line) add(x, y float64) {
	y = min(y, outlier*l.at(x))
	l.w = l.w*lineMemory + 1
	l.x = l.x*lineMemory + x
	l.y = l.y*lineMemory + y
	l.xx = l.xx*lineMemory + x*x
	l.xy = l.xy*lineMemory + x*y
}

// fit returns where the line begins and by how much it rises; neither is below zero.
func (l *line) fit() (base, slope float64) {
	const far = firstTokenTime + priorTokens/defaultRead
	w := l.w + 2*priorWeight
	x := l.x + priorWeight*priorTokens
	y := l.y + priorWeight*(firstTokenTime+far)
	xx := l.xx + priorWeight*priorTokens*priorTokens
	xy := l.xy + priorWeight*priorTokens*far
	slope = max(0, (w*xy-x*y)/(w*xx-x*x))
	return max(0, (y-slope*x)/w), slope
}

// at returns the value of the line.
func (l *line) at(x float64) float64 {
	base, slope := l.fit()
	return base + slope*x
}
