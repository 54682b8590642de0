package adminapi

import "geraniumcroft/internal/config"

// collections maps the name of a collection in the path to the kind of its entities.
var collections = map[string]config.EntityKind{
	"workspaces": config.EntityWorkspace,
	"profiles":   config.EntityProfile,
	"models":     config.EntityModel,
	"targets":    config.EntityTarget,
}
