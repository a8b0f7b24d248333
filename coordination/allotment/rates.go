package allotment

import "math"

// rateMemory is the time constant, in seconds, of the averages shown to operators.
const rateMemory = 3.0

// rates are averages of a bucket, per second.
type rates struct{ granted, denied, spent float64 }

func (r *rates) advance(seconds float64) {
	f := math.Exp(-seconds / rateMemory)
	r.granted, r.denied, r.spent = r.granted*f, r.denied*f, r.spent*f
}

func (r *rates) grant(n float64) { r.granted += n / rateMemory }
func (r *rates) deny(n float64)  { r.denied += n / rateMemory }
func (r *rates) spend(n float64) { r.spent += n / rateMemory }
