package settings

// RelayKeys lists every key of a relaying VM's settings file. The keys that it shares
// with the files of other VMs are taken from Keys.
var RelayKeys = append(sharedKeys(map[string][]string{
	"vm":       {"name", "data_centre"},
	"callers":  {"address", "max_header_bytes", "read_timeout", "idle_timeout"},
	"peers":    {"address", "seeds"},
	"platform": {"writes_per_second", "reads_per_second"},
	"log":      {"level", "format"},
	"metrics":  {"prefix"},
}), []Key{
	{Section: "vm", Name: "cores", Kind: KindFloat, Default: "0", Min: "0", Max: "1024",
		Doc:   "Processor cores that this VM has, 0 if unknown. The largest VMs follow the store and place layers.",
		field: func(s *Settings) any { return &s.VM.Cores }},
	{Section: "vm", Name: "memory_mb", Kind: KindInt, Default: "0", Min: "0", Max: "1048576",
		Doc:   "Memory in MiB after which this process is ended, 0 if unknown. Bounds the connections of callers that are open at once.",
		field: func(s *Settings) any { return &s.VM.MemoryMB }},
	{Section: "vm", Name: "max_handles", Kind: KindInt, Default: "0", Min: "0", Max: "100000000",
		Doc:   "Handles that this process may have open, 0 if unknown. Bounds the connections of callers as well.",
		field: func(s *Settings) any { return &s.VM.MaxHandles }},
	{Section: "vm", Name: "max_pressure", Kind: KindFloat, Default: "0", Min: "0", Max: "1",
		Doc:   "Part of the time in which timers are overdue above which this VM is short of processor time: it is then not ready, closes new connections of callers unread and refuses requests. 0 for never.",
		field: func(s *Settings) any { return &s.VM.MaxPressure }},
	{Section: "vm", Name: "first_start", Kind: KindBool, Default: "false",
		Doc:   "The whole system starts for the first time: this VM then waits until the others are listed before it reads anything.",
		field: func(s *Settings) any { return &s.VM.FirstStart }},
	{Section: "ready", Name: "address", Kind: KindAddress, Required: true,
		Doc:   "Address at which the balancer asks whether this VM is ready.",
		field: func(s *Settings) any { return &s.Relay.ReadyAddress }},
	{Section: "metrics", Name: "address", Kind: KindAddress, Required: true,
		Doc:   "Address of the metrics and of the dump.",
		field: func(s *Settings) any { return &s.Relay.MetricsAddress }},
	{Section: "platform", Name: "store", Kind: KindAddress, Required: true,
		Doc:   "Address of the platform's store.",
		field: func(s *Settings) any { return &s.Relay.StoreAddress }},
	{Section: "shutdown", Name: "grace", Kind: KindDuration, Default: "8s", Min: "1s", Max: "10m",
		Doc:   "Time from SIGTERM until the process is killed.",
		field: func(s *Settings) any { return &s.Relay.Grace }},
	{Section: "retries", Name: "share", Kind: KindFloat, Default: "0.2", Min: "0", Max: "1",
		Doc:   "Part of a service's fresh requests that all VMs together may send again.",
		field: func(s *Settings) any { return &s.Relay.RetryShare }},
	{Section: "retries", Name: "slack", Kind: KindFloat, Default: "100", Min: "0", Max: "1000000",
		Doc:   "Sends beyond that share that all VMs together may make to a service in each window.",
		field: func(s *Settings) any { return &s.Relay.RetrySlack }},
	{Section: "retries", Name: "window", Kind: KindDuration, Default: "10s", Min: "1s", Max: "10m",
		Doc:   "Time over which sends beyond the first are counted.",
		field: func(s *Settings) any { return &s.Relay.RetryWindow }},
	{Section: "overload", Name: "mode", Kind: KindChoice, Choices: []string{OverloadAuto, OverloadOff}, Default: "auto",
		Doc:   "auto: priorities decide who is served where the profiles of a model's service differ in priority. off: never.",
		field: func(s *Settings) any { return &s.Overload.Mode }},
	{Section: "overload", Name: "reserve", Kind: KindFloat, Default: "0.15", Min: "0", Max: "0.5",
		Doc:   "Part of a replica's slots and memory that is kept from the least urgent priority for the more urgent ones. The priorities between leave equal steps of it.",
		field: func(s *Settings) any { return &s.Overload.Reserve }},
	{Section: "overload", Name: "late_reserve", Kind: KindFloat, Default: "0.1", Min: "0", Max: "0.5",
		Doc:   "Part that is kept from requests which can no longer meet their objective, for those which can.",
		field: func(s *Settings) any { return &s.Overload.LateReserve }},
	{Section: "overload", Name: "min_served", Kind: KindFloat, Default: "0.35", Min: "0", Max: "1",
		Doc:   "A profile whose served part falls below this fraction of the most served one's may use what the most urgent may use.",
		field: func(s *Settings) any { return &s.Overload.MinServed }},
}...)

// sharedKeys returns the keys of Keys whose names are listed for their section, in the
// order of Keys.
func sharedKeys(names map[string][]string) []Key {
	var shared []Key
	for _, key := range Keys {
		for _, name := range names[key.Section] {
			if key.Name == name {
				shared = append(shared, key)
			}
		}
	}
	return shared
}
