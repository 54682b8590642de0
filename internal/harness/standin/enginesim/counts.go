package enginesim

// Counts are an engine's counters.
type Counts struct {
	// Tokens counts the positions worked on, Opens the stages taken.
	Tokens uint64 `json:"tokens"`
	Opens  uint64 `json:"opens"`
	// Refused counts the stages refused, Cancelled those ended early.
	Refused   uint64 `json:"refused"`
	Cancelled uint64 `json:"cancelled"`
	// OldEpochs counts the messages dropped for their epoch.
	OldEpochs uint64 `json:"oldEpochs"`
	// Orders counts the orders obeyed, CutOff the requests that one of them ended.
	Orders uint64 `json:"orders"`
	CutOff uint64 `json:"cutOff"`
	// OldFencing counts the orders with an old fencing number, obeyed or not.
	OldFencing uint64 `json:"oldFencing"`
	// ReusedKV counts the positions that needed no replay.
	ReusedKV uint64 `json:"reusedKV"`
}
