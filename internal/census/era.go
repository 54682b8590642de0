package census

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// onEraRaised runs when this VM has heard that the table has come back from an older copy, which lacks
// the rows of VMs that registered since. The VMs that follow the feed read the list soon.
func (c *Census) onEraRaised(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowDoubtful, c.era, c.changedAt = true, era, time.Now()
}

// recheckRow makes this VM write its row again if the list of the newest era lacks it. It would
// otherwise write the row when that is due, which is minutes later in a large fleet.
func (c *Census) recheckRow() {
	c.mu.Lock()
	era, due := c.era, c.rowDoubtful && c.snapshot != nil && c.snapshot.version.Era >= c.era
	if due {
		c.rowDoubtful = false
	}
	c.mu.Unlock()
	r := &c.registration
	if !due || !r.registered || c.listedByPeers() {
		return
	}
	c.logger.Info("row of this VM lost by the table, to be written again", zap.Uint64("era", era))
	r.registered, r.known, r.row = false, false, platform.Row{Era: era}
	r.notBefore = time.Now().Add(rand.N(startupInterval / 2))
}
