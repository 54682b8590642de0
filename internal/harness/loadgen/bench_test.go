package loadgen

import (
	"bufio"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkReadStream measures the time that the load generator itself spends on a token.
func BenchmarkReadStream(b *testing.B) {
	const tokens = 1000
	var text strings.Builder
	for i := range tokens {
		text.WriteString(chunk(requestID, "t"+strconv.Itoa(i)+" "))
	}
	text.WriteString(outcomeEvent("complete", tokens) + streamEnd)
	b.ReportAllocs()
	for b.Loop() {
		r := &result{arrival: Arrival{Profile: "drafts"}, ending: EndNoAnswer}
		newStream(r, time.Now(), requestID, false).read(bufio.NewReaderSize(strings.NewReader(text.String()), maxLine))
		if r.ending != EndComplete || len(r.faults) > 0 {
			b.Fatal(r.ending, r.faults)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
