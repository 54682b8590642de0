package admission

// Dump is the state of a Controller.
type Dump struct {
	Pools map[string]PoolDump `json:"pools"`
}

// Dump returns the state of all pools as a Dump. It waits for each pool's lock for a
// short time at most, so it also returns while queues are full or a pool is stuck.
func (c *Controller) Dump() any {
	dump := Dump{Pools: map[string]PoolDump{}}
	c.pools.Range(func(name, found any) bool {
		dump.Pools[name.(string)] = found.(*pool).dump()
		return true
	})
	return dump
}
