package admincmd

import (
	"context"
	"fmt"

	"github.com/google/subcommands"
)

func vmVerbs() []verb {
	return []verb{
		{name: "list", help: "list the VMs as the asked one sees them", run: listVMs},
		{name: "leases", help: "print the leases as the asked VM sees them", run: showLeases},
	}
}

func listVMs(ctx context.Context, s *session, _ []string) subcommands.ExitStatus {
	r, exit := s.get(ctx, "/vms", nil)
	if exit != exitDone {
		return exit
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
	return s.show(ctx, "/leases", nil)
}
