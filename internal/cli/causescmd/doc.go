// Package causescmd implements "causes": where requests were lost, from the logs of
// several VMs.
package causescmd
