package platform

import (
	"fmt"
	"strconv"
)

// EraFault says what is wrong with the era that an answer of the store named.
type EraFault string

// The faults of an era.
const (
	EraMissing    EraFault = "missing"
	EraUnreadable EraFault = "no whole number"
	EraFell       EraFault = "lower than the current era"
)

// EraError reports an answer of the store whose era is not usable.
type EraError struct {
	Fault EraFault
	// Found is the era as the answer named it, Current the newest one known.
	Found   string
	Current uint64
}

// maxQuotedEra is the number of bytes of an era that the error quotes.
const maxQuotedEra = 40

// Error implements the error interface.
func (e *EraError) Error() string {
	return fmt.Sprintf("era %.*q of the store is %s; the current one is %d", maxQuotedEra, e.Found, e.Fault, e.Current)
}

func parseEra(text string, present bool) (uint64, error) {
	if !present {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &EraError{Fault: EraUnreadable, Found: text}
	}
	return era, nil
}
