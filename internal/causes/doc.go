// Package causes works out, from the logs of any number of VMs, where requests were lost:
// how many were refused, late, broken off or left unknown, for what reason, in which data
// centre, of which profile and when. It reads the one line that each request leaves at its
// end, so a day's account needs neither metrics nor the requests' single decisions; with
// an id of it, the explain command tells the rest.
//
// It keeps counts and a few ids for each cause, so its memory does not grow with the logs.
package causes
