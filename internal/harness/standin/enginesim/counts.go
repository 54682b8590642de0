package enginesim

// Counts holds the counters of an engine.
type Counts struct {
	// Tokens counts the positions processed, Opens the stages opened.
	Tokens uint64 `json:"tokens"`
	Opens  uint64 `json:"opens"`
	// Refused counts the stages refused, Cancelled those that ended early.
	Refused   uint64 `json:"refused"`
	Cancelled uint64 `json:"cancelled"`
	// OldEpochs counts the messages dropped because of their epoch.
	OldEpochs uint64 `json:"oldEpochs"`
	// Orders counts the orders carried out, CutOff the requests that an order cut off.
	Orders uint64 `json:"orders"`
	CutOff uint64 `json:"cutOff"`
	// OldFencing counts the orders with an old fencing number, whether refused or not.
	OldFencing uint64 `json:"oldFencing"`
	// ReusedKV counts the positions that needed no replay since they were in a KV or
	// prefix cache.
	ReusedKV uint64 `json:"reusedKV"`
}
