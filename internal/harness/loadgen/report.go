package loadgen

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Report is what a run measured. Times are in milliseconds.
type Report struct {
	Start    time.Time `json:"start"`
	Seed     uint64    `json:"seed"`
	Rate     float64   `json:"rate"`
	Routers  int       `json:"routers"`
	Profiles []Profile `json:"profiles"`
	// SendingSeconds is the time of arrivals, WholeSeconds that to the last answer.
	SendingSeconds float64        `json:"sendingSeconds"`
	WholeSeconds   float64        `json:"wholeSeconds"`
	Requests       int            `json:"requests"`
	Endings        map[Ending]int `json:"endings"`
	// Reasons counts what did not complete by ending and reason.
	Reasons         map[string]int `json:"reasons,omitempty"`
	Tokens          int            `json:"tokens"`
	TokensPerSecond float64        `json:"tokensASecond"`
	// NotSent counts arrivals beyond the bound on requests in hand.
	NotSent int `json:"notSent"`
	// SentLate is how long after the intended times this tool sent.
	SentLate Quantiles      `json:"sentLate"`
	Series   []SeriesReport `json:"series"`
	// Faults counts failed checks; Examples spells out the first.
	Faults   map[Check]int `json:"faults,omitempty"`
	Examples []Fault       `json:"examples,omitempty"`
}

// SeriesReport is one profile's requests with one ending.
type SeriesReport struct {
	Profile       string    `json:"profile"`
	Ending        Ending    `json:"ending"`
	Requests      int       `json:"requests"`
	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
	Whole         Quantiles `json:"whole"`

	series *series
}

func newSeriesReport(profile string, ending Ending, s *series) SeriesReport {
	return SeriesReport{
		Profile:       profile,
		Ending:        ending,
		Requests:      s.requests,
		FirstToken:    s.first.quantiles(),
		BetweenTokens: s.between.quantiles(),
		Whole:         s.whole.quantiles(),
		series:        s,
	}
}

// FaultCount returns how many checks failed.
func (r *Report) FaultCount() int {
	sum := 0
	for _, n := range r.Faults {
		sum += n
	}
	return sum
}

// WriteJSON writes the report for ReadJSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// ReadJSON reads a report from a file.
func ReadJSON(file string) (*Report, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	if err := json.Unmarshal(body, report); err != nil {
		return nil, errors.Wrap(err, file)
	}
	return report, nil
}
