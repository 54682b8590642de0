package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const minimal = `[vm]
name = entry-1
data_centre = lima-surco
[callers]
address = 127.0.0.1:8080
plain = true
[admin]
address = 127.0.0.1:8081
tokens_file = tokens
plain = true
[peers]
address = 127.0.0.1:8082
plain = true
[platform]
table = http://127.0.0.1:7000
objects = http://127.0.0.1:7000
vm_list = http://127.0.0.1:7000
`

func TestMinimalFileTakesDefaults(t *testing.T) {
	Convey("A file with only the required keys gets the defaults for the rest", t, func() {
		s, findings := Parse("f.ini", []byte(minimal))
		So(findings, ShouldBeEmpty)
		So(s.VM.DataCentre, ShouldEqual, "lima-surco")
		So(s.Peers.TLS.Plain, ShouldBeTrue)
		So(s.Callers.MaxBodyBytes, ShouldEqual, 1<<20)
		So(s.Targets.ReportInterval, ShouldEqual, 500*time.Millisecond)
		So(s.Admission.UrgentHeadroom, ShouldEqual, 0.1)
		So(s.Log.Format, ShouldEqual, "json")
	})
}

// All findings on a file with many faults are reported in one run, each with its line,
// so that the operator does not have to correct them one start at a time.
func TestAllFindingsInOneReport(t *testing.T) {
	file := `stray = 1
[vm]
name = Entry One
data_centre = a
data_centre = b
[callers]
address = router.example.org:8080
max_body_bytes = lots
read_timeout = 10
write_timeout = 1h
adress = 127.0.0.1:1
plain = yes
[admin]
address = 127.0.0.1:9000
tls_cert = c.pem
no value here
[peers]
address = 127.0.0.1:9000
seeds = 10.0.0.1:1, 10.0.0.1:1
plain = true
tls_ca = ca.pem
[platform]
table = http://table.example.org:7000
objects = ftp://127.0.0.1
vm_list = http://u:p@127.0.0.1:7000
[admission]
max_queued = 10
urgent_headroom = NaN
[log]
level = loud
format = "json"
[extra]
key = 1
`
	want := []string{
		`f.ini:1: file: the line is not read, allowed: key = value without quotes, below a [section]`,
		`f.ini:3: vm.name: "Entry One" is not a name, allowed: a name of 1 to 63 of a-z, 0-9, '.', '_' and '-', that starts with a letter`,
		`f.ini:5: vm.data_centre: is given twice, allowed: once`,
		`f.ini:6: callers.tls_cert: is missing, allowed: tls_cert and tls_key, or plain = true`,
		`f.ini:6: callers.tls_key: is missing, allowed: tls_cert and tls_key, or plain = true`,
		`f.ini:7: callers.address: "router.example.org:8080" has a DNS name where an IP number belongs, allowed: IP:port by number, such as 192.0.2.1:8080`,
		`f.ini:8: callers.max_body_bytes: "lots" is not a whole number of bytes, allowed: a whole number of bytes from 1024 to 67108864`,
		`f.ini:9: callers.read_timeout: "10" is not a duration such as 250ms or 2s, allowed: a duration such as 250ms or 2s from 100ms to 5m`,
		`f.ini:10: callers.write_timeout: "1h" is out of range, allowed: a duration such as 250ms or 2s from 100ms to 5m`,
		`f.ini:11: callers.adress: unknown key, allowed: address, max_body_bytes, `,
		`f.ini:12: callers.plain: "yes" is not true or false, allowed: true or false`,
		`f.ini:13: admin.tls_key: is missing, allowed: tls_cert and tls_key, or plain = true`,
		`f.ini:13: admin.tokens_file: is missing, allowed: the path of a file`,
		`f.ini:16: admin: the line is not read, allowed: `,
		`f.ini:18: peers.address: 127.0.0.1:9000 is taken twice, by admin as well, allowed: an address of its own for each listener`,
		`f.ini:19: peers.seeds: "10.0.0.1:1" is taken twice, allowed: a list of IP:port by number, separated by commas`,
		`f.ini:20: peers.plain: is true and TLS files are given, allowed: plain = true, or tls_cert and tls_key`,
		`f.ini:23: platform.table: "table.example.org:7000" has a DNS name where an IP number belongs, allowed: `,
		`f.ini:24: platform.objects: is not a URL, allowed: `,
		`f.ini:25: platform.vm_list: holds a user or password, allowed: `,
		`f.ini:26: admission.max_queued_per_workspace: is more than max_queued, allowed: up to max_queued`,
		`f.ini:28: admission.urgent_headroom: "NaN" is not a number, allowed: a number from 0 to 0.9`,
		`f.ini:30: log.level: "loud" is not known, allowed: one of debug, info, warn, error`,
		`f.ini:31: log: the line is not read, allowed: `,
		`f.ini:32: extra: unknown section, allowed: vm, callers, `,
	}
	s, findings := Parse("f.ini", []byte(file))
	if s != nil {
		t.Error("settings in spite of findings")
	}
	for i := 0; i < max(len(want), len(findings)); i++ {
		switch {
		case i >= len(want):
			t.Errorf("unexpected: %s", findings[i])
		case i >= len(findings):
			t.Errorf("missing: %s", want[i])
		case !strings.HasPrefix(findings[i].String(), want[i]):
			t.Errorf("finding %s\n    want %s", findings[i], want[i])
		}
	}
}

// Characters that are special in some INI dialects are plain text in values: a token
// file's path is not cut at # or ;, not joined to the next line at a backslash, and
// %(name)s is not replaced by the value of another key.
func TestValuesAreTakenAsWritten(t *testing.T) {
	Convey("Given a path with characters that are special in some INI dialects", t, func() {
		file := strings.Replace(minimal, "tokens_file = tokens", `tokens_file = /a;b#c%(name)s\`, 1)
		s, findings := Parse("f.ini", []byte(file))
		So(findings, ShouldBeEmpty)

		Convey("it is taken as written, and so is the line after it", func() {
			So(s.Admin.TokensFile, ShouldEqual, `/a;b#c%(name)s\`)
			So(s.Admin.TLS.Plain, ShouldBeTrue)
		})
	})
}

// A listener on all addresses conflicts with any other listener on its port: the second
// could not be opened, or on some systems would silently get the first one's
// connections.
func TestUnspecifiedAddressTakesThePort(t *testing.T) {
	for section, change := range map[string][2]string{
		"admin": {"address = 127.0.0.1:8080", "address = 0.0.0.0:8081"},
		"peers": {"address = 127.0.0.1:8082", "address = 0.0.0.0:8082"},
	} {
		_, findings := Parse("f.ini", []byte(strings.Replace(minimal, change[0], change[1], 1)))
		if len(findings) != 1 || findings[0].Section != section {
			t.Errorf("%s: findings %v", section, findings)
		}
	}
}

func TestUnreadableFile(t *testing.T) {
	Convey("A file that cannot be read is a finding at line 0", t, func() {
		_, findings := Load(filepath.Join(t.TempDir(), "none.ini"))
		So(findings, ShouldHaveLength, 1)
		So(findings[0].String(), ShouldContainSubstring, ":0: file: cannot be read")
	})
}

// The tables of keys and the struct must have the same fields: a field that no key sets
// would have its zero value whatever the operator writes.
func TestEveryFieldHasAKey(t *testing.T) {
	s := &Settings{}
	filled := map[any]bool{}
	for _, table := range [][]Key{Keys, RelayKeys} {
		inTable := map[any]bool{}
		for _, key := range table {
			pointer := key.field(s)
			if inTable[pointer] {
				t.Errorf("two keys set the field of %s.%s", key.Section, key.Name)
			}
			inTable[pointer] = true
			filled[pointer] = true
		}
	}
	var walk func(path string, v reflect.Value)
	walk = func(path string, v reflect.Value) {
		if v.Kind() == reflect.Struct {
			for i := range v.NumField() {
				walk(path+"."+v.Type().Field(i).Name, v.Field(i))
			}
		} else if !filled[v.Addr().Interface()] {
			t.Errorf("no key sets Settings%s", path)
		}
	}
	walk("", reflect.ValueOf(s).Elem())
}

// The example file is what the table of keys gives, and it has no findings.
func TestExampleFile(t *testing.T) {
	const path = "../../geraniumcroft.example.ini"
	file, err := os.ReadFile(path)
	if err != nil && !*update {
		t.Fatal(err)
	}
	checkOrUpdate(t, path, string(file), Example())
	if _, findings := Load(path); len(findings) > 0 {
		t.Fatal(findings)
	}
}

func TestRedactedShowsSettingsNotFiles(t *testing.T) {
	Convey("The dump's view shows values and the names of files", t, func() {
		s, findings := Parse("f.ini", []byte(minimal))
		So(findings, ShouldBeEmpty)
		shown := s.Redacted()
		So(shown["admin"]["tokens_file"], ShouldEqual, "tokens")
		So(shown["callers"]["read_timeout"], ShouldEqual, "10s")
		So(shown["admission"]["max_queued"], ShouldEqual, 1024)
	})
}
