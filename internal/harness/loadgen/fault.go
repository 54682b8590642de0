package loadgen

import "fmt"

// maxFaults is the maximum number of faults that are recorded per response.
const maxFaults = 8

// addFault records a failed check, up to maxFaults.
func (r *result) addFault(check Check, format string, args ...any) {
	if len(r.faults) < maxFaults {
		detail := fmt.Sprintf("request %d, profile %s: %s", r.arrival.Number, r.arrival.Profile, fmt.Sprintf(format, args...))
		r.faults = append(r.faults, Fault{Check: check, Detail: detail})
	}
}
