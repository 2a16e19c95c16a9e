package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
	"github.com/galenaweir/galenaweir/settings"
	"github.com/galenaweir/galenaweir/tlsconf"
)

// targetOptions holds the options that select the processes to query.
type targetOptions struct {
	Peers    []string `long:"peer" description:"IP number and port of a process; may be repeated"`
	HostList string   `long:"host-list" description:"IP number and port of the platform's host list, to ask all processes on it"`
	credentialOptions
}

// credentialOptions holds the options for the certificates of the operator's connections.
type credentialOptions struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings of a process, whose certificates are used; plain TCP without"`
}

// newPool returns a new pool of connections to processes: TLS with the settings'
// certificates, or plain TCP without settings.
func (c *credentialOptions) newPool() (*dial.Pool, error) {
	if c.Settings == "" {
		return dial.New(insecure.NewCredentials()), nil
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return nil, err
	}
	creds, err := tlsconf.PeerCredentials(s.TLS)
	if err != nil {
		return nil, err
	}
	return dial.New(creds), nil
}

const (
	statusTimeout            = 3 * time.Second
	maxConcurrentStatusCalls = 32
	hashDigitsShown          = 12
)

func (t *targetOptions) addresses(ctx context.Context) ([]string, error) {
	addresses := slices.Clone(t.Peers)
	if t.HostList != "" {
		l, err := hostlist.New(t.HostList, statusTimeout).Hosts(ctx)
		if err != nil {
			return nil, fmt.Errorf("%w; name processes with --peer", err)
		}
		for _, h := range l.Hosts {
			addresses = append(addresses, h.Address)
		}
	}
	if len(addresses) == 0 {
		return nil, errors.New("no process to query; name processes with --peer, or the host list with --host-list")
	}
	return addresses, nil
}

// processStatus is the status of one process, or the error of its call.
type processStatus struct {
	Address string
	Reply   *rpc.StatusReply
	Err     error
}

// FetchStatuses queries the processes at the addresses concurrently. The results are in
// the order of the addresses.
func FetchStatuses(ctx context.Context, pool *dial.Pool, addresses []string) []processStatus {
	out := make([]processStatus, len(addresses))
	sem := make(chan struct{}, maxConcurrentStatusCalls)
	var wg sync.WaitGroup
	for i, a := range addresses {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			out[i].Address = a
			conn, err := pool.Get(a)
			if err == nil {
				out[i].Reply, err = rpc.NewPeerClient(conn).Status(ctx, &rpc.StatusRequest{})
			}
			out[i].Err = err
		})
	}
	wg.Wait()
	return out
}

type statusCommand struct {
	targetOptions
	out io.Writer
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx := context.Background()
	addresses, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	pool, err := c.newPool()
	if err != nil {
		return err
	}
	defer pool.Close()
	return printStatuses(orStdout(c.out), FetchStatuses(ctx, pool, addresses))
}

// printStatuses prints one line for each process. It returns an error if a process
// doesn't answer or isn't ready, or if the processes have different versions.
func printStatuses(w io.Writer, statuses []processStatus) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "address\tid\trole\tready\tversion\thash\tbuild")
	versions, unhealthy := map[string]bool{}, 0
	for _, s := range statuses {
		if s.Err != nil {
			unhealthy++
			fmt.Fprintf(tw, "%s\t-\t-\tno answer: %v\n", s.Address, s.Err)
			continue
		}
		r := s.Reply
		hash := fmt.Sprintf("%x", r.ConfigHash)
		versions[hash] = true
		if !r.Ready {
			unhealthy++
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%t\t%d\t%s\t%s\n", s.Address, r.Id, r.Role, r.Ready, r.ConfigVersion, hash[:min(len(hash), hashDigitsShown)], r.Build)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if unhealthy > 0 || len(versions) > 1 {
		return fmt.Errorf("%d process(es) not ready or not answering, %d versions in force; a new version takes up to 5 s to reach all processes", unhealthy, len(versions))
	}
	return nil
}

type membersCommand struct {
	targetOptions
	out io.Writer
}

// Execute implements flags.Commander. It prints the members as seen by the first
// process that answers.
func (c *membersCommand) Execute([]string) error {
	ctx := context.Background()
	addresses, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	pool, err := c.newPool()
	if err != nil {
		return err
	}
	defer pool.Close()
	var errs []error
	for _, a := range addresses {
		s := FetchStatuses(ctx, pool, []string{a})[0]
		if s.Err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", a, s.Err))
			continue
		}
		return printMembers(orStdout(c.out), s.Reply.Members)
	}
	return fmt.Errorf("no process answered: %w", errors.Join(errs...))
}

func printMembers(w io.Writer, members []*rpc.MemberUpdate) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "id\trole\tstate\taddress\tfailure domain\tregion\tincarnation\tendpoints")
	for _, m := range members {
		var endpoints []string
		for _, e := range m.Endpoints {
			s := e.Endpoint + "@" + e.WeightVersion
			if e.Leaving {
				s += " (leaving)"
			}
			endpoints = append(endpoints, s)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", m.Id, m.Role, membership.State(m.State), m.Address, m.FailureDomain, m.Region, m.Incarnation, strings.Join(endpoints, ", "))
	}
	return tw.Flush()
}
