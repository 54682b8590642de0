package settings

import (
	"fmt"
	"strings"
)

const pageHead = `# Settings

Static settings of a process, read once at its start from an INI file. This page
is made from the table of keys in internal/settings/keys.go by
` + "`go test ./internal/settings -update`" + `; a test compares the two.

` + "`geraniumcroft check -settings FILE`" + ` reads a file as strictly as
` + "`geraniumcroft serve -settings FILE`" + ` does and reports all findings at once, each as
` + "`FILE:LINE: section.key: what is wrong, allowed: what is allowed`" + `. With any finding
the process does not start.

A line is a comment (first character # or ;), a [section] or key = value. Values
stand without quotes and are taken as written up to a blank and # or ;. A key that
is given twice, an unknown key and an unknown section are findings. Addresses are
IP numbers; names are not resolved. A listener is given either tls_cert and tls_key
or, as an explicit choice, plain = true.

Profiles, targets, models and workspaces are no settings: operators change them
while the system runs, through the admin API.
`

// sectionDocs describes each section in one line.
var sectionDocs = map[string]string{
	"vm":        "Who this process is.",
	"callers":   "The callers' listener.",
	"admin":     "The operators' listener.",
	"peers":     "The listener for the system's other VMs.",
	"platform":  "The platform's services.",
	"admission": "The queues in which requests wait for a target.",
	"targets":   "How targets are watched.",
	"shutdown":  "How a graceful shutdown goes.",
	"log":       "The log, on standard error.",
	"metrics":   "The metrics, on the operators' listener.",
}

// Page returns the contents of docs/settings.md.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, section := range sectionNames(Keys) {
		fmt.Fprintf(&b, "\n## [%s]\n\n%s\n\n%s", section, sectionDocs[section], tableHead)
		for _, key := range Keys {
			if key.Section == section {
				fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", key.Name, key.Allowed(), key.defaultText(), key.Doc)
			}
		}
	}
	b.WriteString(relayHead + strings.ReplaceAll(strings.Replace(tableHead, "| Key", "| Section | Key", 1), "| --- | --- | --- | --- |", "| --- | --- | --- | --- | --- |"))
	for _, key := range RelayKeys {
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s |\n", key.Section, key.Name, key.Allowed(), key.defaultText(), key.Doc)
	}
	return b.String()
}

const tableHead = "| Key | Allowed | Default | Meaning |\n| --- | --- | --- | --- |\n"

const relayHead = `
## Relaying VMs

` + "`geraniumcroft relay -settings FILE`" + ` reads these keys; its log goes to standard output.

`

func (k Key) defaultText() string {
	switch {
	case k.Required:
		return "required"
	case k.Default == "":
		return "none"
	default:
		return "`" + k.Default + "`"
	}
}
