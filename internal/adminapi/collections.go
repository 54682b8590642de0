package adminapi

import "geraniumcroft/internal/config"

// collections are the tables of the configuration by their path.
var collections = map[string]config.EntityKind{
	"workspaces": config.EntityWorkspace,
	"profiles":   config.EntityProfile,
	"models":     config.EntityModel,
	"targets":    config.EntityTarget,
}
