// Package operator holds the operators' subcommands.
package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
)

const logTimeout = 5 * time.Second

// AddCommands adds the operators' subcommands to a program.
func AddCommands(p *flags.Parser) error {
	op, err := p.AddCommand("operator", "operators' commands", "Commands for operators.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name, description string
		data              flags.Commander
	}{
		{"validate", "check a configuration document", &validateCommand{}},
		{"publish", "publish a configuration document", &publishCommand{}},
		{"key", "make a caller's key and its entry in the document", &keyCommand{}},
	} {
		if _, err := op.AddCommand(c.name, c.description, c.description, c.data); err != nil {
			return err
		}
	}
	return nil
}

// readDocument reads and validates a document from a file.
func readDocument(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the configuration document: %w", err)
	}
	b, err = hujson.Standardize(b)
	if err != nil {
		return nil, fmt.Errorf("%s is not valid JSON with comments: %w", path, err)
	}
	var d config.Document
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := d.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return json.Marshal(d)
}

type validateCommand struct {
	File string `long:"file" required:"true" description:"configuration document"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	if _, err := readDocument(c.File); err != nil {
		return err
	}
	fmt.Println("the document is valid")
	return nil
}

type publishCommand struct {
	File string `long:"file" required:"true" description:"configuration document"`
	Log  string `long:"log" required:"true" description:"IP number and port of the log service"`
	Base int64  `long:"base" default:"0" description:"version that the document was made from"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	hash := sha256.Sum256(doc)
	b, err := proto.Marshal(&rpc.ConfigRecord{PublishId: uuid.NewString(), BaseVersion: c.Base, NewVersion: c.Base + 1, NewHash: hash[:], Document: doc})
	if err != nil {
		return fmt.Errorf("encode the record: %w", err)
	}
	a, err := logsvc.New(c.Log, logTimeout).Append(context.Background(), node.ConfigStream, b)
	if err != nil {
		return err
	}
	fmt.Printf("version %d is at offset %d\n", c.Base+1, a.Offset)
	return nil
}

type keyCommand struct {
	Customer string `long:"customer" required:"true" description:"customer ID"`
}

const (
	secretBytes = 24
	saltBytes   = 16
)

// Execute implements flags.Commander.
func (c *keyCommand) Execute([]string) error {
	secret, salt := make([]byte, secretBytes), make([]byte, saltBytes)
	_, _ = rand.Read(secret) // never fails
	_, _ = rand.Read(salt)
	text := hex.EncodeToString(secret)
	sum := sha256.Sum256(append(append([]byte(nil), salt...), text...))
	b, err := json.MarshalIndent(config.Key{Salt: hex.EncodeToString(salt), SHA256: hex.EncodeToString(sum[:])}, "", "  ")
	if err != nil {
		return err
	}
	fmt.Printf("key for the caller (kept nowhere): %s.%s\nentry for customers.%s.keys:\n%s\n", c.Customer, text, c.Customer, b)
	return nil
}
