package loadgen

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind is the type of a profile's requests.
type Kind string

// The kinds of requests.
const (
	// KindChat requests a streamed chat completion.
	KindChat Kind = "chat"
	// KindCall calls a plain service.
	KindCall Kind = "call"
)

// Profile describes one part of the load.
type Profile struct {
	// Name is the name of the profile; %d in it is replaced by the number of the
	// workspace.
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Share is the weight of the profile relative to the other profiles.
	Share float64 `json:"share"`
	// PromptTokens and MaxTokens are the medians of heavy-tailed distributions. For
	// KindCall, PromptTokens is the number of words in the body.
	PromptTokens int `json:"promptTokens"`
	MaxTokens    int `json:"maxTokens"`
}

// Defaults of a Profile.
const (
	defaultPromptTokens = 64
	defaultMaxTokens    = 64
)

// ParseProfile parses a profile such as
// "name=drafts-%d,share=8,kind=chat,prompt=200,tokens=120". Only the name is required.
func ParseProfile(text string) (Profile, error) {
	p := Profile{Kind: KindChat, Share: 1, PromptTokens: defaultPromptTokens, MaxTokens: defaultMaxTokens}
	for field := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(field, "=")
		if err := p.set(key, value); err != nil {
			return Profile{}, errors.Wrapf(err, "profile %q: %q", text, field)
		}
	}
	if p.Name == "" {
		return Profile{}, errors.Newf("profile %q: no name", text)
	}
	if strings.Count(p.Name, "%") != strings.Count(p.Name, "%d") || strings.Count(p.Name, "%d") > 1 {
		return Profile{}, errors.Newf("profile %q: the name may hold one %%d and no other %%", text)
	}
	return p, nil
}

func (p *Profile) set(key, value string) error {
	var err error
	switch key {
	case "name":
		p.Name = value
	case "kind":
		p.Kind = Kind(value)
		if p.Kind != KindChat && p.Kind != KindCall {
			return errors.New("allowed: chat, call")
		}
	case "share":
		p.Share, err = strconv.ParseFloat(value, 64)
		if err == nil && !(p.Share > 0) {
			err = errors.New("not above 0")
		}
	case "prompt":
		p.PromptTokens, err = positive(value)
	case "tokens":
		p.MaxTokens, err = positive(value)
	default:
		return errors.New("allowed: name, kind, share, prompt, tokens")
	}
	return err
}

// positive parses an integer above 0.
func positive(value string) (int, error) {
	n, err := strconv.Atoi(value)
	if err == nil && n < 1 {
		err = errors.New("not above 0")
	}
	return n, err
}

// nameFor returns the name with the number of the workspace filled in.
func (p Profile) nameFor(workspace int) string {
	if strings.Contains(p.Name, "%d") {
		return fmt.Sprintf(p.Name, workspace)
	}
	return p.Name
}
