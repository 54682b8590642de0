// Package causescmd implements the command "causes", which prints from the logs of several VMs
// how requests were lost.
package causescmd
