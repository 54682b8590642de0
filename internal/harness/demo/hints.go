package demo

import (
	"fmt"

	"geraniumcroft/internal/harness/rig"
)

// Hints returns curl commands to try on the fleet while it keeps running.
func (d *Demo) Hints() string {
	callers := d.fleet.Nodes[0].CallersAddress()
	admin := d.fleet.Nodes[0].AdminAddress()
	return fmt.Sprintf(`
The fleet stays up until you interrupt it. To try:

  curl -N http://%[1]s/v1/chat/completions -H 'Content-Type: application/json' \
    -d '{"model":"summary","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"bay 7"}]}'
  curl -i http://%[1]s/v1/profiles/lockout/calls -H 'Content-Type: application/json' -d '{"bay":7}'
  curl -i http://%[1]s/v1/profiles/nobody/calls -d '{}'
  curl -s http://%[2]s/admin/v1/targets -H 'Authorization: Bearer %[3]s'
  curl -s http://%[2]s/admin/v1/dump -H 'Authorization: Bearer %[3]s'
  curl -s http://%[2]s/metrics
`, callers, admin, rig.AdminToken)
}
