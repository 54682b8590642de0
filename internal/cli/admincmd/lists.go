package admincmd

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/adminapi"
	"geraniumcroft/internal/config"
)

// tables defines, for each kind of entity, the table that lists its entities.
var tables = map[config.EntityKind]table{
	config.EntityProfile: {
		[]string{"NAME", "WORKSPACE", "CLASS", "URGENCY", "IDEMPOTENT", "DEADLINE", "SERVED BY", "REVISION"}, decodeRow(profileRow)},
	config.EntityTarget: {
		[]string{"NAME", "STATE", "KIND", "ADDRESS", "DATA CENTRE", "HOLDS", "SLOTS", "REVISION"}, decodeRow(targetRow)},
	config.EntityWorkspace: {
		[]string{"NAME", "WEIGHT", "MAX IN FLIGHT", "KEYS", "REVISION"}, decodeRow(workspaceRow)},
	config.EntityModel: {
		[]string{"NAME", "LAYERS", "VERSIONS", "ADAPTERS", "REVISION"}, decodeRow(modelRow)},
}

// decodeRow returns a function that decodes an entity and returns its row.
func decodeRow[T any](row func(T) []string) func(json.RawMessage) ([]string, error) {
	return func(item json.RawMessage) ([]string, error) {
		var entity T
		if err := json.Unmarshal(item, &entity); err != nil {
			return nil, errors.Wrap(err, "the VM's answer")
		}
		return row(entity), nil
	}
}

func (e entityCommands) printList(s *session, r response) error {
	var list struct {
		Items            []json.RawMessage
		UncheckedCallers []string
		IgnoreFencing    []string
	}
	if err := r.decode(&list); err != nil {
		return err
	}
	shown := tables[e.kind]
	var rows [][]string
	for _, item := range list.Items {
		row, err := shown.row(item)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	s.printTable(shown.header, rows)
	s.printNote("do not check their callers", list.UncheckedCallers)
	s.printNote("take orders with an old fencing number", list.IgnoreFencing)
	return nil
}

func (s *session) printNote(what string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(s.out, "%s: %s\n", what, strings.Join(names, ", "))
	}
}

func profileRow(p config.Profile) []string {
	served := p.Service + p.Path
	var models []string
	for _, ref := range p.Models {
		models = append(models, modelName(ref.Model, ref.Version, ref.Adapter))
	}
	if len(models) > 0 {
		served = strings.Join(models, ",")
	}
	return []string{
		p.Name, p.Workspace, string(p.Class), p.Urgency.String(), yesNo(p.Idempotent),
		time.Duration(p.Deadline).String(), orDash(served), fmt.Sprint(p.Revision),
	}
}

func modelName(model, version, adapter string) string {
	name := model + "@" + version
	if adapter != "" {
		name += "+" + adapter
	}
	return name
}

func targetRow(t config.Target) []string {
	holds := t.Service
	if t.Kind == config.KindEngine {
		holds = modelName(t.Model, t.Version, "") + " " + t.Layers.String()
	}
	return []string{
		t.Name, string(t.State), string(t.Kind), t.Address, t.DataCentre, orDash(holds),
		fmt.Sprint(t.Slots), fmt.Sprint(t.Revision),
	}
}

func workspaceRow(w adminapi.WorkspaceView) []string {
	return []string{
		w.Name, fmt.Sprint(max(w.Weight, 1)), limitText(w.MaxInFlight), fmt.Sprint(w.KeyDigestCount), fmt.Sprint(w.Revision),
	}
}

func limitText(limit int) string {
	if limit == 0 {
		return "unbounded"
	}
	return fmt.Sprint(limit)
}

func modelRow(m config.Model) []string {
	return []string{
		m.Name, fmt.Sprint(m.Layers), strings.Join(m.Versions, ","), orDash(strings.Join(m.Adapters, ",")), fmt.Sprint(m.Revision),
	}
}
