package api

import (
	"encoding/json"
	"net/http"

	"geraniumcroft/internal/outcome"
)

// whole answers once the last token is there.
func (x *exchange) whole(g *generation) {
	sink := &wholeSink{}
	result, err := x.router.Generate(x.r.Context(), g.GenerateRequest, sink)
	if err != nil {
		x.fail(failureOf(err))
		return
	}
	body, err := json.Marshal(g.wholeAnswer(sink.text.String(), result))
	if err != nil {
		panic(err)
	}
	x.answer(http.StatusOK, "application/json", outcome.Complete, body)
}
