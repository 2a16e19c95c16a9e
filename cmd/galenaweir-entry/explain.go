package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/galenaweir/galenaweir/gateway"
)

const (
	explainTimeout  = 2 * time.Second
	maxExplainBytes = 1 << 20 // of an answer
)

// explainCommand is the "explain" subcommand, which asks a running entry where a request would go now.
type explainCommand struct {
	Settings string `long:"settings" env:"GALENAWEIR_SETTINGS" value-name:"FILE" description:"settings of any forwarding entry of the deployment"`
	Host     string `long:"host" value-name:"IP" description:"host of the entry that is asked, on which this command runs; that of the settings if absent"`
	Route    string `long:"route" value-name:"NAME" description:"route of the request"`
	Customer string `long:"customer" value-name:"NAME" description:"customer of the request"`
	Model    string `long:"model" value-name:"NAME" description:"model of the prompt; the first one of the service if absent"`
	Parts    string `long:"parts" value-name:"ID:TOKENS,..." description:"parts of the prompt; the last one is not shared with other requests"`
	Tokens   string `long:"tokens" value-name:"N,M" description:"tokens of the prompt and the most of the output"`
	Head     string `long:"head" value-name:"FILE" description:"head of an HTTP request, instead of the route, the customer and the prompt"`
	JSON     bool   `long:"json" description:"print the answer as JSON"`
}

func addExplainCommand(p *flags.Parser) error {
	_, err := p.AddCommand("explain", "show where a request would be placed", "Asks a forwarding entry, from its own host, where a request would be placed now: the candidates with the parts of their costs, the endpoints that are left out and why, and the choice or the refusal. Asking changes nothing. Fails with exit code 2 for an unknown route or customer, a malformed prompt, or an entry that is not ready.", &explainCommand{})
	return err
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if c.Settings == "" {
		return errors.New("no settings file: pass --settings or set " + settingsVariable)
	}
	s, err := gateway.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if s.MetricsPort == 0 {
		return fmt.Errorf("settings %s: metricsPort is 0, the entry cannot be queried; set a port", c.Settings)
	}
	host := c.Host
	if host == "" {
		host = s.Host
	}
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	return c.ask(ctx, os.Stdout, net.JoinHostPort(host, strconv.Itoa(s.MetricsPort)))
}

// ask queries the entry with the given metrics address and prints its answer.
func (c *explainCommand) ask(ctx context.Context, w io.Writer, address string) error {
	query, header, err := c.query()
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/explain?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("address %s: %w; pass the IP address of the entry's host", address, err)
	}
	r.Header = header
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("ask the entry: %w; pass the --host of a running entry", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplainBytes))
	if err != nil {
		return fmt.Errorf("read the entry's answer: %w; ask again", err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(body)))
	}
	if c.JSON {
		_, err = w.Write(body)
		return err
	}
	var x gateway.Explanation
	if err := json.Unmarshal(body, &x); err != nil {
		return fmt.Errorf("decode the entry's answer: %w; ask with the program of the entry's version", err)
	}
	return printExplanation(w, &x)
}

// query returns the parameters and the headers that name the request.
func (c *explainCommand) query() (url.Values, http.Header, error) {
	v := url.Values{}
	if c.Head == "" {
		for name, value := range map[string]string{"route": c.Route, "customer": c.Customer, "model": c.Model, "parts": c.Parts, "tokens": c.Tokens} {
			if value != "" {
				v.Set(name, value)
			}
		}
		return v, http.Header{}, nil
	}
	if c.Route != "" || c.Customer != "" || c.Parts != "" || c.Tokens != "" || c.Model != "" {
		return nil, nil, errors.New("--head names the whole request; leave out --route, --customer, --model, --parts and --tokens")
	}
	f, err := os.Open(c.Head)
	if err != nil {
		return nil, nil, fmt.Errorf("read the head: %w; pass the path of a readable file", err)
	}
	defer f.Close()
	r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(f, strings.NewReader("\r\n\r\n"))))
	if err != nil {
		return nil, nil, fmt.Errorf("file %s: %w; it must begin with the head of an HTTP request", c.Head, err)
	}
	v.Set("host", r.Host)
	v.Set("path", r.URL.EscapedPath())
	for _, name := range []string{"Connection", "Transfer-Encoding", "Content-Length", "Expect"} {
		r.Header.Del(name) // they describe the body, which is not sent
	}
	return v, r.Header, nil
}

// printExplanation prints an answer as tables.
func printExplanation(w io.Writer, x *gateway.Explanation) error {
	fmt.Fprintf(w, "entry %s, route %s, customer %s, service %s, cache group %s\n", x.Entry, x.Route, orDash(x.Customer), x.Service, orDash(x.CacheGroup))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "endpoint\tcost ms\twait ms\tparts of the cost")
	for _, c := range x.Candidates {
		var parts []string
		for _, p := range c.Parts {
			parts = append(parts, fmt.Sprintf("%s %.1f", p.Name, p.Ms))
		}
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%s\n", c.Endpoint, c.CostMs, c.ExpectedMs, orDash(strings.Join(parts, ", ")))
	}
	for _, l := range x.LeftOut {
		fmt.Fprintf(t, "%s\t-\t-\tleft out: %s\n", l.Endpoint, l.Reason)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if r := x.Refusal; r != nil {
		_, err := fmt.Fprintf(w, "refused: %s, %s; return after %d ms\n", r.Kind, r.Message, r.RetryAfterMs)
		return err
	}
	c := x.Choice
	fmt.Fprintf(w, "placed on %s: expected wait %.1f ms, %.1f ms of it because of other requests; %d tokens cached, %d fetched, %d shared ones read again\n", c.Endpoint, c.ExpectedMs, c.QueueMs, c.CachedTokens, c.FetchedTokens, c.RecomputedTokens)
	if c.RefusedFromMs > 0 {
		fmt.Fprintf(w, "a prompt of the route is refused from %.1f ms on: the rest of its target is for the error of the estimate\n", c.RefusedFromMs)
	}
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
