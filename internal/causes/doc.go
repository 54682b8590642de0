// Package causes finds, in the logs of any number of VMs, how requests were lost: how many
// were refused, late, broken off or left with an unknown outcome, for what reason, in which
// data centre, of which profile and when. It reads only the one line that is logged at the
// end of each request. So the report of a day needs neither metrics nor the lines about
// single decisions; the explain command prints those for a request id of the report.
//
// An Aggregator keeps counts and a few ids for each cause, so its memory does not grow with
// the number of requests.
package causes
