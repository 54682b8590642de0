// Package sharing tells other VMs what replicas ask of those who send to them.
//
// A VM that hears something new offers it to the VMs that the others ask, and says again now and then
// what holds on. All others learn it with the board of loads. Where no word arrives, as while VMs are
// cut off from each other, each VM goes by what it hears itself.
package sharing
