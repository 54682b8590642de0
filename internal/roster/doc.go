// Package roster keeps a row in the platform's table for each VM that may serve.
//
// A configuration change is accepted once every VM that may serve has it in force. Membership alone
// cannot name these VMs: a VM that has just started may have read the configuration before the
// change and still be unknown to the VM that accepts it. The change would be answered "accepted"
// while a caller of the new VM still gets the old configuration.
//
// Therefore a VM writes its row before it reads the configuration, and the accepting VM scans all
// rows after its commit. If the row was written before that scan, the change waits for the new VM.
// If it was written later, it was also written after the commit, and the new VM reads the changed
// configuration from the start. While the store is unavailable, nothing can be committed, and a VM
// that joins through its peers alone is known to them.
package roster
