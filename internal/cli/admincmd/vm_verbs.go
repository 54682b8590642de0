package admincmd

import (
	"context"
	"fmt"
	"net/http"

	"github.com/google/subcommands"
)

func vmVerbs() []verb {
	return []verb{
		{name: "list", help: "list the VMs as the asked one sees them", run: listVMs},
		{name: "leases", help: "print the leases as the asked VM sees them", run: showLeases},
	}
}

func listVMs(ctx context.Context, s *session, _ []string) subcommands.ExitStatus {
	r, err := s.do(ctx, request{method: http.MethodGet, path: "/vms"})
	switch {
	case err != nil:
		return s.failSend(err)
	case r.status != http.StatusOK:
		return s.fail(r)
	}
	var vms []vmRow
	if s.json || r.decode(&vms) != nil {
		s.printJSON(r.body)
		return exitDone
	}
	var rows [][]string
	for _, vm := range vms {
		rows = append(rows, []string{
			vm.Name, orDash(vm.DataCentre), fmt.Sprint(vm.State), yesNo(vm.Leaving), fmt.Sprint(vm.Version), orDash(vm.Address),
		})
	}
	s.printTable([]string{"NAME", "DATA CENTRE", "STATE", "LEAVING", "VERSION", "ADDRESS"}, rows)
	return exitDone
}

func showLeases(ctx context.Context, s *session, _ []string) subcommands.ExitStatus {
	r, err := s.do(ctx, request{method: http.MethodGet, path: "/leases"})
	switch {
	case err != nil:
		return s.failSend(err)
	case r.status != http.StatusOK:
		return s.fail(r)
	}
	s.printJSON(r.body)
	return exitDone
}
