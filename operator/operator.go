// Package operator implements the operators' subcommands.
package operator

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/tailscale/hujson"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/logsvc"
)

const logTimeout = 5 * time.Second

// AddCommands adds the operator command and its subcommands to a program's parser.
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
		{"diff", "compare a configuration document with the version in force", &diffCommand{}},
		{"publish", "publish a configuration document", &publishCommand{}},
		{"status", "print the version in force on each process", &statusCommand{}},
		{"members", "print the members as a process sees them", &membersCommand{}},
		{"key", "make a caller's key and its entry in the document", &keyCommand{}},
	} {
		if _, err := op.AddCommand(c.name, c.description, c.description, c.data); err != nil {
			return err
		}
	}
	return nil
}

func orStdout(w io.Writer) io.Writer {
	if w == nil {
		return os.Stdout
	}
	return w
}

// readDocument reads a configuration document from a file, validates it and returns
// its canonical form. It rejects unknown fields, which are most likely typos.
func readDocument(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the configuration document: %w", err)
	}
	b, err = hujson.Standardize(b)
	if err != nil {
		return nil, fmt.Errorf("%s is not valid JSON with comments: %w", path, err)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(new(config.Document)); err != nil {
		return nil, fmt.Errorf("%s: %w; remove the field or correct its name", path, err)
	}
	c, err := config.Canonical(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	doc, err := config.Decode(c)
	if err == nil {
		err = checkPlugins(doc)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

type documentOption struct {
	File string `long:"file" required:"true" description:"configuration document, JSON with comments"`
}

type validateCommand struct{ documentOption }

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	fmt.Println("the document is valid; its hash is", config.HashOf(doc))
	return nil
}

// versionSource holds the options that locate the version in force.
type versionSource struct {
	Log   string   `long:"log" required:"true" description:"IP number and port of the log service"`
	Peers []string `long:"peer" description:"IP number and port of a process, asked when the log no longer tells the version in force; may be repeated"`
	credentialOptions
}

func (s *versionSource) logClient() logsvc.Log { return logsvc.New(s.Log, logTimeout) }

type diffCommand struct {
	documentOption
	versionSource
	out io.Writer
}

// Execute implements flags.Commander. It prints the merge patch from the version in
// force to the document.
func (c *diffCommand) Execute([]string) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	pool, err := c.newPool()
	if err != nil {
		return err
	}
	defer pool.Close()
	s, err := readVersionInForce(context.Background(), c.logClient(), pool, c.Peers)
	if err != nil {
		return err
	}
	st := s.State()
	if st == nil {
		fmt.Fprintln(orStdout(c.out), "no version is in force yet")
		return nil
	}
	if st.Hash == config.HashOf(doc) {
		fmt.Fprintf(orStdout(c.out), "the document is version %d, which is in force\n", st.Version)
		return nil
	}
	patch, err := config.Diff(st.Text, doc)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, patch, "", "  "); err != nil {
		return fmt.Errorf("format the merge patch: %w", err)
	}
	fmt.Fprintf(orStdout(c.out), "changes to version %d (JSON merge patch; null removes):\n%s\n", st.Version, b.Bytes())
	return nil
}

type publishCommand struct {
	documentOption
	versionSource
	Base      *int64 `long:"base" description:"version that the document was made from; by default the version in force"`
	Publisher string `long:"publisher" description:"who publishes; by default the user"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	pool, err := c.newPool()
	if err != nil {
		return err
	}
	defer pool.Close()
	p, err := Publish(context.Background(), PublishOptions{Log: c.logClient(), Pool: pool, Peers: c.Peers, Document: doc, BaseVersion: c.Base, Publisher: cmp.Or(c.Publisher, currentUserName())})
	switch {
	case err != nil:
		return err
	case p.Unchanged:
		fmt.Printf("the document is version %d, which is in force; nothing was published\n", p.Version)
	default:
		fmt.Printf("version %d is accepted\n", p.Version)
	}
	return nil
}

func currentUserName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
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
	if c.Customer == "" {
		return errors.New("the customer ID is empty; give --customer")
	}
	secret, salt := make([]byte, secretBytes), make([]byte, saltBytes)
	_, _ = rand.Read(secret) // crypto/rand.Read never returns an error
	_, _ = rand.Read(salt)
	text := hex.EncodeToString(secret)
	sum := sha256.Sum256(append(append([]byte(nil), salt...), text...))
	b, err := json.MarshalIndent(config.Key{Salt: hex.EncodeToString(salt), SHA256: hex.EncodeToString(sum[:])}, "", "  ")
	if err != nil {
		return err
	}
	fmt.Printf("key for the caller (not stored anywhere): %s.%s\nentry for customers.%s.keys:\n%s\n", c.Customer, text, c.Customer, b)
	return nil
}
