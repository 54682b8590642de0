package config

import (
	"fmt"
	"strings"
	"time"
)

// The range of a profile's deadline.
const (
	MinDeadline = 10 * time.Millisecond
	MaxDeadline = time.Hour
)

const (
	maxPathLength = 1024
	allowedPath   = "a path that starts with '/', of at most 1024 printable characters without '?' and '#'"
)

func (v *validator) profile(p *Profile) {
	path := "profile." + p.Name
	_, known := v.snapshot.Workspaces[p.Workspace]
	v.require(known, path+".workspace", fmt.Sprintf("unknown workspace %q", p.Workspace), "the name of a workspace")
	v.deadline(p, path)
	v.limits(p.Limits, path+".limits")
	v.require(p.Urgency < UrgencyCount, path+".urgency", "is not a level", "bulk, normal, urgent")
	switch p.Class {
	case ClassGeneration:
		v.generationProfile(p, path)
	case ClassCall:
		v.callProfile(p, path)
	default:
		v.add(path+".class", fmt.Sprintf("unknown class %q", p.Class), "generation, call")
	}
}

func (v *validator) deadline(p *Profile, path string) {
	deadline := time.Duration(p.Deadline)
	allowed := fmt.Sprintf("%s to %s", MinDeadline, MaxDeadline)
	v.require(deadline >= MinDeadline && deadline <= MaxDeadline, path+".deadline",
		fmt.Sprintf("%s is out of range", deadline), allowed)
	wait := time.Duration(p.Limits.MaxQueueWait)
	v.require(wait <= deadline || deadline < MinDeadline, path+".limits.maxQueueWait",
		"is longer than the deadline", "0 to the deadline")
}

func (v *validator) limits(l Limits, path string) {
	v.notNegative(l.MaxBodyBytes, path+".maxBodyBytes")
	v.notNegative(int64(l.MaxTokens), path+".maxTokens")
	v.notNegative(int64(l.MaxPromptTokens), path+".maxPromptTokens")
	v.notNegative(int64(l.MaxInFlight), path+".maxInFlight")
	v.notNegative(int64(l.MaxQueueWait), path+".maxQueueWait")
}

func (v *validator) generationProfile(p *Profile, path string) {
	v.require(p.Service == "", path+".service", "stands only in a call profile", "empty for class generation")
	v.require(p.Path == "", path+".path", "stands only in a call profile", "empty for class generation")
	v.require(len(p.Models) > 0, path+".models", "is empty", "one model or more for class generation")
	seen := map[ModelRef]bool{}
	for i, ref := range p.Models {
		fieldPath := fmt.Sprintf("%s.models[%d]", path, i)
		v.notNegative(int64(ref.Weight), fieldPath+".weight")
		if model, known := v.snapshot.Models[ref.Model]; known {
			v.modelRef(ref, model, fieldPath)
		} else {
			v.add(fieldPath+".model", fmt.Sprintf("unknown model %q", ref.Model), "the name of a model")
		}
		ref.Weight = 0
		v.require(!seen[ref], fieldPath, "is listed twice", "each model, version and adapter once")
		seen[ref] = true
	}
}

func (v *validator) callProfile(p *Profile, path string) {
	v.require(len(p.Models) == 0, path+".models", "stands only in a generation profile", "empty for class call")
	v.name(p.Service, path+".service")
	v.require(validPath(p.Path), path+".path", "is not a path", allowedPath)
}

func validPath(path string) bool {
	if !strings.HasPrefix(path, "/") || len(path) > maxPathLength {
		return false
	}
	unsafe := func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '?' || r == '#' }
	return strings.IndexFunc(path, unsafe) < 0
}
