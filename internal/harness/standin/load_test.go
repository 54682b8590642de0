package standin

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
)

// A file with several errors is refused. All errors are reported at once, each with
// its section and key, and nothing is started.
func TestLoadReportsAllFindings(t *testing.T) {
	Convey("A file with errors is refused and all errors are reported", t, func() {
		file := filepath.Join(t.TempDir(), "standin.ini")
		So(os.WriteFile(file, []byte(`stray = 1
[platform]
adress = 127.0.0.1:0
[model m]
layers = many
[engine e]
model = n
token_latency = 20
[service s]
slots = -1
[router r]
`), 0o600), ShouldBeNil)
		_, err := Load(file)
		var faults *FileError
		So(errors.As(err, &faults), ShouldBeTrue)
		So(strings.Split(strings.ReplaceAll(err.Error(), file, "f"), "\n"), ShouldResemble, []string{
			"f: DEFAULT: unknown section, allowed: platform, vm, model, engine, service",
			"f: router r: unknown section, allowed: platform, vm, model, engine, service",
			"f: platform.adress: unknown key, allowed: address",
			`f: model m.layers: "many" is not read, allowed: a whole number from 0`,
			`f: engine e.model: there is no model "n", allowed: a model of the file`,
			`f: engine e.token_latency: "20" is not read, allowed: a duration such as 20ms`,
			`f: service s.slots: "-1" is not read, allowed: a whole number from 0`,
		})
	})

	Convey("A missing file is reported as os.ErrNotExist", t, func() {
		_, err := Load(filepath.Join(t.TempDir(), "none.ini"))
		So(errors.Is(err, os.ErrNotExist), ShouldBeTrue)
	})
}

// The example file that the README's commands use can be loaded and describes its
// targets.
func TestExampleIsRead(t *testing.T) {
	Convey("The example loads without findings and describes its targets", t, func() {
		g, err := Load("../../../examples/local/standin.ini")
		So(err, ShouldBeNil)
		kinds := map[config.TargetKind]int{}
		for _, target := range g.targets() {
			So(target.DataCentre, ShouldNotBeEmpty)
			kinds[target.Kind]++
		}
		So(kinds[config.KindEngine], ShouldBeGreaterThan, 0)
		So(kinds[config.KindService], ShouldBeGreaterThan, 0)
		var out strings.Builder
		So(g.PrintEntities(&out), ShouldBeNil)
		So(strings.Count(out.String(), "\n"), ShouldEqual, len(g.models)+len(g.targets()))
	})
}
