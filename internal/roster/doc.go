// Package roster keeps a row in the platform's table for each VM that may serve.
//
// A change of the configuration is accepted once every VM that may serve has it
// in force. Membership alone cannot say which VMs these are: a VM that started a
// moment ago may have read the configuration before the change and not yet be
// known to the VM that accepts it. The symptom is a change that was answered
// "accepted" while a caller of the new VM still meets the old configuration.
//
// So a VM writes its row before it reads the configuration, and the accepting VM
// reads all rows after its commit. Either the row was written before that reading,
// and the new VM is waited for; or it was written after it, hence after the
// commit, and the new VM reads the changed configuration from the start. While the
// store is out nothing can be committed, and a VM that joins by its peers alone is
// known to them.
package roster
