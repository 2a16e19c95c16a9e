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

// targets names the processes to ask.
type targets struct {
	Peers    []string `long:"peer" description:"IP number and port of a process; may be repeated"`
	HostList string   `long:"host-list" description:"IP number and port of the platform's host list, to ask all processes on it"`
	credentials
}

// credentials names the certificates of the operator's connections.
type credentials struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings of a process, whose certificates are used; plain TCP without"`
}

// pool returns the connections to the processes.
func (c *credentials) pool() (*dial.Pool, error) {
	if c.Settings == "" {
		return dial.New(insecure.NewCredentials()), nil
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return nil, err
	}
	creds, err := tlsconf.Peers(s.TLS)
	if err != nil {
		return nil, err
	}
	return dial.New(creds), nil
}

const (
	statusTimeout   = 3 * time.Second
	maxStatusCalls  = 32 // at a time
	hashDigitsShown = 12
)

func (t *targets) addresses(ctx context.Context) ([]string, error) {
	as := slices.Clone(t.Peers)
	if t.HostList != "" {
		l, err := hostlist.New(t.HostList, statusTimeout).Hosts(ctx)
		if err != nil {
			return nil, fmt.Errorf("%w; name processes with --peer", err)
		}
		for _, h := range l.Hosts {
			as = append(as, h.Address)
		}
	}
	if len(as) == 0 {
		return nil, errors.New("no process to ask; name processes with --peer, or the host list with --host-list")
	}
	return as, nil
}

// statusOf is one process's answer.
type statusOf struct {
	Address string
	Reply   *rpc.StatusReply
	Err     error
}

// Statuses asks the processes at the addresses, in their order.
func Statuses(ctx context.Context, pool *dial.Pool, addresses []string) []statusOf {
	out := make([]statusOf, len(addresses))
	slots := make(chan struct{}, maxStatusCalls)
	var wg sync.WaitGroup
	for i, a := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
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
	targets
	out io.Writer
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx := context.Background()
	as, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	pool, err := c.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	return printStatuses(stdout(c.out), Statuses(ctx, pool, as))
}

// printStatuses prints a line for each process and returns an error when one
// doesn't answer, isn't ready, or holds another version than the others.
func printStatuses(w io.Writer, ss []statusOf) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "address\tid\trole\tready\tversion\thash\tbuild")
	versions, faults := map[string]bool{}, 0
	for _, s := range ss {
		if s.Err != nil {
			faults++
			fmt.Fprintf(tw, "%s\t-\t-\tno answer: %v\n", s.Address, s.Err)
			continue
		}
		r := s.Reply
		hash := fmt.Sprintf("%x", r.ConfigHash)
		versions[hash] = true
		if !r.Ready {
			faults++
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%t\t%d\t%s\t%s\n", s.Address, r.Id, r.Role, r.Ready, r.ConfigVersion, hash[:min(len(hash), hashDigitsShown)], r.Build)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if faults > 0 || len(versions) > 1 {
		return fmt.Errorf("%d process(es) aren't ready or don't answer, and %d versions are in force; a new version takes up to 5 s", faults, len(versions))
	}
	return nil
}

type membersCommand struct {
	targets
	out io.Writer
}

// Execute implements flags.Commander: it prints the members as the first process
// that answers sees them.
func (c *membersCommand) Execute([]string) error {
	ctx := context.Background()
	as, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	pool, err := c.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	var errs []error
	for _, a := range as {
		s := Statuses(ctx, pool, []string{a})[0]
		if s.Err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", a, s.Err))
			continue
		}
		return printMembers(stdout(c.out), s.Reply.Members)
	}
	return fmt.Errorf("no process answers: %w", errors.Join(errs...))
}

func printMembers(w io.Writer, ms []*rpc.MemberUpdate) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "id\trole\tstate\taddress\tfailure domain\tregion\tincarnation\tendpoints")
	for _, m := range ms {
		var es []string
		for _, e := range m.Endpoints {
			s := e.Endpoint + "@" + e.WeightVersion
			if e.Leaving {
				s += " (leaving)"
			}
			es = append(es, s)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", m.Id, m.Role, membership.State(m.State), m.Address, m.FailureDomain, m.Region, m.Incarnation, strings.Join(es, ", "))
	}
	return tw.Flush()
}
