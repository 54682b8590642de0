package platform

// Validate returns an *InvalidTxnError unless the outcome of the transaction can be
// determined after a lost response. This requires an ID, and a condition on the row of
// the first write, so that the transaction takes effect at most once however often it is
// sent.
func (t Txn) Validate() error {
	if t.ID == "" {
		return &InvalidTxnError{Reason: "it has no ID"}
	}
	if len(t.Writes) == 0 {
		return &InvalidTxnError{TxnID: t.ID, Reason: "it writes nothing"}
	}
	for _, condition := range t.Conditions {
		if condition.Key == t.Writes[0].Key {
			return nil
		}
	}
	return &InvalidTxnError{TxnID: t.ID, Reason: "it has no condition on the row that it writes first"}
}

// Keys returns the distinct keys of all rows in conditions and writes.
func (t Txn) Keys() []string {
	seen := make(map[string]bool, len(t.Conditions)+len(t.Writes))
	var keys []string
	add := func(key string) {
		if !seen[key] {
			seen[key] = true
			keys = append(keys, key)
		}
	}
	for _, condition := range t.Conditions {
		add(condition.Key)
	}
	for _, write := range t.Writes {
		add(write.Key)
	}
	return keys
}
