package admission

// floorRatio is how often a class is served at least, relative to the most urgent class,
// and an account relative to its class. None may be served less than a quarter as often;
// the rest is for the error of the measured demand.
const floorRatio = 0.3

// divideByUrgency divides room among classes of decreasing urgency. Each gets what it asks
// for in order of urgency, after a floor has been set aside for every less urgent one.
func divideByUrgency(asked []float64, room float64) []float64 {
	granted := make([]float64, len(asked))
	weighted, factor := 0.0, 1.0
	for _, a := range asked {
		if a > 0 {
			weighted += factor * a
			factor = floorRatio
		}
	}
	if weighted == 0 {
		return granted
	}
	ratio := min(1, room/weighted) // how often the most urgent class is served at least
	left := room
	factor = 1.0
	for i, a := range asked {
		if a > 0 {
			granted[i] = factor * ratio * a
			left -= granted[i]
			factor = floorRatio
		}
	}
	for i, a := range asked {
		more := min(a-granted[i], max(0, left))
		granted[i] += more
		left -= more
	}
	return granted
}

// claim is the demand of one account in a class.
type claim struct {
	account       string
	asked, weight float64
	granted       float64
}

// divideByWeight divides room among the accounts of a class by weighted max-min fairness,
// with a floor for each.
func divideByWeight(claims []claim, room float64) {
	asked, perWeight := 0.0, 0.0
	for i := range claims {
		asked += claims[i].asked
		perWeight = max(perWeight, claims[i].asked/claims[i].weight)
	}
	if asked <= 0 {
		return
	}
	floor := floorRatio * min(1, room/asked)
	grant := func(level float64) (sum float64) {
		for i := range claims {
			c := &claims[i]
			c.granted = min(c.asked, max(floor*c.asked, level*c.weight))
			sum += c.granted
		}
		return sum
	}
	if asked <= room {
		grant(perWeight)
		return
	}
	low, high := 0.0, perWeight
	for range levelSteps {
		if level := (low + high) / 2; grant(level) > room {
			high = level
		} else {
			low = level
		}
	}
	grant(low)
}

// levelSteps is the number of bisections for the level of a class's shares.
const levelSteps = 30
