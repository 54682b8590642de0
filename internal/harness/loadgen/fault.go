package loadgen

import "fmt"

// maxFaults bounds what is kept of one answer.
const maxFaults = 8

func (r *result) fault(check Check, format string, args ...any) {
	if len(r.faults) < maxFaults {
		detail := fmt.Sprintf("request %d, profile %s: %s", r.arrival.Number, r.arrival.Profile, fmt.Sprintf(format, args...))
		r.faults = append(r.faults, Fault{Check: check, Detail: detail})
	}
}
