package adminapi

import (
	"time"

	"github.com/kataras/iris/v12"
)

// waitParam returns how long the request waits for a change to be in force.
func waitParam(ctx iris.Context) (time.Duration, *Problem) {
	text := ctx.URLParam("wait")
	if text == "" {
		return DefaultWait, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > MaxWait {
		return 0, badRequest("wait takes a duration from 0s to " + MaxWait.String() + ".")
	}
	return wait, nil
}
