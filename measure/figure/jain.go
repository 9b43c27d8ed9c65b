package figure

// Jain returns Jain's fairness index (Jain, Chiu and Hawe, 1984) of the values: 1 if all are equal, 1/n if all but one
// are 0, and NaN if there are no values.
func Jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	return Ratio(sum*sum, float64(len(values))*squares)
}
