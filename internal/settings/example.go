package settings

import (
	"fmt"
	"strings"
)

const exampleHead = `# Example settings of geraniumcroft: every key, with its meaning and default.
# Check a file with: geraniumcroft check -settings FILE
# The page docs/settings.md has the same as a table.
`

// exampleValues are the values of the keys that the example sets. All other keys are
// shown commented out, with their defaults.
var exampleValues = map[string]string{
	"vm.name":           "entry-1",
	"vm.data_centre":    "lima-surco",
	"callers.address":   "192.0.2.11:8080",
	"callers.plain":     "true",
	"admin.address":     "192.0.2.11:8081",
	"admin.tokens_file": "/etc/geraniumcroft/tokens",
	"admin.tls_cert":    "/etc/geraniumcroft/admin.crt",
	"admin.tls_key":     "/etc/geraniumcroft/admin.key",
	"peers.address":     "192.0.2.11:8082",
	"peers.seeds":       "192.0.2.12:8082, 192.0.2.13:8082",
	"peers.tls_cert":    "/etc/geraniumcroft/peer.crt",
	"peers.tls_key":     "/etc/geraniumcroft/peer.key",
	"peers.tls_ca":      "/etc/geraniumcroft/peers-ca.crt",
	"platform.table":    "http://192.0.2.2:7000",
	"platform.objects":  "http://192.0.2.2:7001",
	"platform.vm_list":  "http://192.0.2.2:7002",
}

// Example returns the contents of geraniumcroft.example.ini.
func Example() string {
	var b strings.Builder
	b.WriteString(exampleHead)
	for _, section := range sectionNames(Keys) {
		fmt.Fprintf(&b, "\n# %s\n[%s]\n", sectionDocs[section], section)
		for _, key := range Keys {
			if key.Section == section {
				b.WriteString(key.example())
			}
		}
	}
	return b.String()
}

// example returns the key's part of the example file.
func (k Key) example() string {
	text := fmt.Sprintf("\n# %s\n# Allowed: %s.\n", k.Doc, k.Allowed())
	if value, given := exampleValues[k.Section+"."+k.Name]; given {
		return text + k.Name + " = " + value + "\n"
	}
	return text + strings.TrimRight("#"+k.Name+" = "+k.Default, " ") + "\n"
}
