// Package admincmd has the operators' commands over the admin API: profile,
// target, workspace, model, change, vm and dump.
//
// A change carries an id that this package chooses, so a request whose answer was
// lost is sent again without making a second change. A change that is committed
// but not yet in force everywhere is waited for; when the time is over the command
// fails and names the VMs that are missing. A conflict has an exit code of its own,
// so that a script can read the entity again and retry.
package admincmd
