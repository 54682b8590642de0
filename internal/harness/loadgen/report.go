package loadgen

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Report holds the measurements of a run.
type Report struct {
	Start    time.Time `json:"start"`
	Seed     uint64    `json:"seed"`
	Rate     float64   `json:"rate"`
	Routers  int       `json:"routers"`
	Profiles []Profile `json:"profiles"`
	// SendingSeconds is the time from the start to the last arrival. WholeSeconds is the
	// time from the start to the end of the last request.
	SendingSeconds float64        `json:"sendingSeconds"`
	WholeSeconds   float64        `json:"wholeSeconds"`
	Requests       int            `json:"requests"`
	Endings        map[Ending]int `json:"endings"`
	// Reasons counts the requests that did not complete, by "ending: reason".
	Reasons map[string]int `json:"reasons,omitempty"`
	Tokens  int            `json:"tokens"`
	// TokensPerSecond is Tokens divided by WholeSeconds.
	TokensPerSecond float64 `json:"tokensASecond"`
	// NotSent counts the arrivals above Options.MaxInFlight.
	NotSent int `json:"notSent"`
	// SentLate is the delay of the load generator: from the intended to the actual send
	// time.
	SentLate Quantiles      `json:"sentLate"`
	Series   []SeriesReport `json:"series"`
	// Faults counts failed checks. Examples lists the first of them, at most maxExamples.
	Faults   map[Check]int `json:"faults,omitempty"`
	Examples []Fault       `json:"examples,omitempty"`
}

// SeriesReport summarises the requests of one profile with one ending. FirstToken and
// Whole are measured from the intended send time; Whole runs to the outcome, or to the
// failure of the request. BetweenTokens is the time between successive tokens of an
// answer.
type SeriesReport struct {
	Profile       string    `json:"profile"`
	Ending        Ending    `json:"ending"`
	Requests      int       `json:"requests"`
	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
	Whole         Quantiles `json:"whole"`

	series *series // nil in a report from ReadJSON
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

// FaultCount returns the number of failed checks.
func (r *Report) FaultCount() int {
	sum := 0
	for _, n := range r.Faults {
		sum += n
	}
	return sum
}

// WriteJSON writes the report in the format that ReadJSON reads.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// ReadJSON reads a report from a file that WriteJSON wrote.
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
