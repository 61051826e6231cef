package cli

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/settings"
)

type getCommand struct {
	Kind api.Kind `arg:"positional,required"`
	Name string   `arg:"positional"`
}

func (c *getCommand) run(s *session) error {
	if c.Name != "" {
		object, err := s.client.Get(c.Kind, c.Name)
		return printResult(s, []api.Object{object}, err, printObjects)
	}
	objects, err := s.client.List(c.Kind)
	return printResult(s, objects, err, printObjects)
}

type statusCommand struct{}

func (c *statusCommand) run(s *session) error {
	status, err := s.client.Status()
	return printResult(s, status, err, printStatus)
}

type waitCommand struct {
	Revision uint64        `arg:"positional,required" help:"revision to wait for"`
	Timeout  time.Duration `arg:"--timeout" default:"10s"`
	All      bool          `arg:"--all" help:"wait until the revision is in force on every node"`
}

func (c *waitCommand) run(s *session) error {
	if c.All {
		return s.client.WaitAll(c.Revision, c.Timeout)
	}
	return s.client.Wait(c.Revision, c.Timeout)
}

type settingsCommand struct {
	File string `arg:"positional,required"`
}

func (c *settingsCommand) run(s *session) error {
	loaded, err := settings.Load(c.File)
	if err != nil {
		return fault.New(fault.InvalidRequest, "correct the settings; docs/SETTINGS.md lists every key", "%v", err)
	}
	fmt.Fprintf(s.out, "settings of %s are valid\n", loaded.Node)
	return nil
}

// tokenBytes is the length of a token before encoding.
const tokenBytes = 32

type tokenCommand struct{}

// newToken is the output of `masticmount token`.
type newToken struct {
	Token  string `json:"token"`
	SHA256 string `json:"sha256"`
}

func (c *tokenCommand) run(s *session) error {
	raw := make([]byte, tokenBytes)
	if _, err := rand.Read(raw); err != nil {
		return fmt.Errorf("generate a token: %w", err)
	}
	token := hex.EncodeToString(raw)
	digest := sha256.Sum256([]byte(token))
	return printResult(s, newToken{Token: token, SHA256: hex.EncodeToString(digest[:])}, nil, printToken)
}
