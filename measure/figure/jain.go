package figure

// Jain returns Jain's fairness index (Jain, Chiu and Hawe, 1984) of the values: 1 when all are equal, 1/n when one has
// everything, and not a number for none.
func Jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	return Ratio(sum*sum, float64(len(values))*squares)
}
