// Package experiment measures the behaviour of the whole system. Each experiment starts a
// fleet in this process on loopback addresses, puts it under load, injects failures and
// returns figures with their spread over repeats.
//
// Measurements on a shared machine are noisy. Quantities to be compared are therefore
// measured side by side in one run, and reported as a ratio where possible. Requests with
// an unexpected outcome and violated invariants are figures too, so that a fast wrong
// answer does not count as a good result.
package experiment
