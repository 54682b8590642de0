package admincmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"geraniumcroft/internal/adminapi"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// set creates or changes an entity. The revision is that of the flag or else of the file, where it
// is if show printed the file. Without a revision the entity is created, so a file that was written
// by hand never overwrites an existing entity.
func (e entityCommands) set(ctx context.Context, s *session, args []string) subcommands.ExitStatus {
	if s.file == "" {
		s.printErrorf("-f is missing")
		return exitUsage
	}
	body, err := readFile(s.file)
	if err != nil {
		s.printErrorf("%v", err)
		return exitUsage
	}
	var entity struct{ Revision uint64 }
	if err := json.Unmarshal(body, &entity); err != nil {
		s.printErrorf("%s is not a JSON object: %v", s.file, err)
		return exitUsage
	}
	if s.revision > 0 {
		entity.Revision = s.revision
	}
	return s.change(ctx, request{
		method: http.MethodPut, path: e.path(args[0]), header: precondition(entity.Revision), body: body,
	})
}

// precondition returns the header with which a change is made only if the entity has the
// revision, or only if there is no such entity for revision 0.
func precondition(revision uint64) map[string]string {
	if revision == 0 {
		return map[string]string{"If-None-Match": "*"}
	}
	return map[string]string{"If-Match": fmt.Sprintf("%q", fmt.Sprint(revision))}
}

func readFile(name string) ([]byte, error) {
	var source io.Reader = os.Stdin
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "-f")
		}
		defer file.Close()
		source = file
	}
	body, err := io.ReadAll(io.LimitReader(source, adminapi.MaxBodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "-f")
	}
	if len(body) > adminapi.MaxBodyBytes {
		return nil, errors.Newf("-f %s: larger than %d bytes", name, adminapi.MaxBodyBytes)
	}
	return body, nil
}
