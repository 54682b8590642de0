// Package admincmd implements the operators' commands, which use the admin API: profile,
// target, workspace, model, change, vm and dump.
//
// A change carries an id that this package chooses, so a request whose response was lost is
// sent again without making a second change. The commands wait until a committed change is in
// force everywhere; when the time is over the command fails and names the VMs where it is not.
// A conflict has an exit code of its own, so that a script can read the entity again and retry.
package admincmd
