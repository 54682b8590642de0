// Package quarantine recognizes requests that crash the replicas that run them.
package quarantine
