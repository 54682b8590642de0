// Package service is the system's view of plain services: targets that answer
// one call with one response.
package service
