// Package faultnet gives the stand-ins a listener whose connections can be reset
// or made silent to order.
package faultnet
