package admission

// Dump is the controller's state.
type Dump struct {
	Pools map[string]PoolDump `json:"pools"`
}

// Dump returns the state of all pools. It waits for no request and for no lock
// longer than a moment, so it answers while queues are full and a pool is stuck.
func (c *Controller) Dump() any {
	dump := Dump{Pools: map[string]PoolDump{}}
	c.pools.Range(func(name, found any) bool {
		dump.Pools[name.(string)] = found.(*pool).dump()
		return true
	})
	return dump
}
