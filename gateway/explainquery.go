package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/galenaweir/galenaweir/core/forward"
)

// maxExplainedParts bounds the parts of a prompt in a query.
const maxExplainedParts = 64

// serveExplain answers where a request would be placed now. The request is named by the query: route,
// customer, model, parts and tokens, or host and path with the request's own headers beside them.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	if !g.isFromOwnHost(r) {
		http.Error(w, "call this from the entry's own host", http.StatusForbidden)
		return
	}
	if !g.Ready() {
		http.Error(w, "the entry is not ready: it has no configuration or endpoint list that is new enough, or it stops", http.StatusServiceUnavailable)
		return
	}
	s := g.state
	s.mu.Lock()
	now := s.clock()
	q, err := g.requestToExplain(r, now)
	if err != nil {
		s.mu.Unlock()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	x := q.explain(s, now)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(x) // the caller may have left
}

// requestToExplain returns the request that a query names. The caller holds the state's mutex.
func (g *Gateway) requestToExplain(r *http.Request, now time.Duration) (*request, error) {
	v, table := r.URL.Query(), g.state.table
	q := &request{g: g, arrivedAt: now, tried: map[string]bool{}, r: r}
	var err error
	if v.Has("path") {
		err = q.nameByHead(r, table)
	} else {
		err = q.nameByQuery(v, table)
	}
	if err != nil {
		return nil, err
	}
	q.suspectGroup = suspectGroup(q.customer)
	q.deadline = now + defaultTimeout
	if q.route.Timeout > 0 {
		q.deadline = now + q.route.Timeout
	}
	if q.call.Timeout > 0 {
		q.deadline = min(q.deadline, now+q.call.Timeout)
	}
	q.service = table.Service(q.route.Target(0)) // of the first one with a share
	if q.service == nil {
		return nil, fmt.Errorf("the configuration doesn't define the service of route %s; correct the configuration", q.route.Name)
	}
	if v.Has("parts") || v.Has("tokens") {
		if q.call.Prompt, err = promptFromQuery(v, q.service); err != nil {
			return nil, err
		}
	}
	if !q.route.CarriesPrompts || q.service.Engine == nil {
		q.call.Prompt = nil
	}
	return q, nil
}

// nameByHead takes the request from its host, path and headers.
func (q *request) nameByHead(r *http.Request, table *forward.Table) error {
	call, err := q.g.headerCodec.ParseRequest(r.Header)
	if err != nil {
		return fmt.Errorf("%w; correct the header in the file", err)
	}
	host, path := r.URL.Query().Get("host"), r.URL.Query().Get("path")
	path, _, _ = strings.Cut(path, "?")
	q.call, q.route = call, table.Route(host, path)
	if q.route == nil {
		return fmt.Errorf("no route for host %q and path %q; correct them in the file", host, path)
	}
	if call.HasAPIKey {
		if q.customer = table.Customer(call.APIKey); q.customer == nil && !q.route.Public {
			return errors.New("no customer has the key in the file; use a key of the configuration")
		}
	}
	q.msg = wireRequest{method: http.MethodPost, uri: path, host: host}
	return nil
}

// nameByQuery takes the route and the customer from their names.
func (q *request) nameByQuery(v url.Values, table *forward.Table) error {
	routes := table.Config.Routes
	i := slices.IndexFunc(routes, func(r forward.Route) bool { return r.Name == v.Get("route") })
	if i < 0 {
		var names []string
		for _, r := range routes {
			names = append(names, r.Name)
		}
		return fmt.Errorf("no route is named %q; name one of %s", v.Get("route"), strings.Join(names, ", "))
	}
	q.route = &routes[i]
	q.msg = wireRequest{method: http.MethodPost, uri: q.route.PathPrefix, host: q.route.Host}
	name := v.Get("customer")
	if name == "" {
		return nil
	}
	customers := table.Config.Customers
	i = slices.IndexFunc(customers, func(c forward.Customer) bool { return c.Name == name })
	if i < 0 {
		return fmt.Errorf("no customer is named %q; use a name of the configuration in force", name)
	}
	q.customer = &customers[i]
	return nil
}

// promptFromQuery returns the prompt in the parameters parts, as ID:TOKENS,..., and tokens, as
// PROMPT,OUTPUT.
func promptFromQuery(v url.Values, service *forward.Service) (*forward.Prompt, error) {
	if service.Engine == nil || len(service.Engine.Models) == 0 {
		return nil, fmt.Errorf("service %s takes no prompts; leave out parts and tokens", service.Name)
	}
	p := &forward.Prompt{Model: service.Engine.Models[0]}
	if m := v.Get("model"); m != "" {
		p.Model = m
	}
	prompt, output, _ := strings.Cut(v.Get("tokens"), ",")
	var err, outputErr error
	p.Tokens, err = strconv.Atoi(prompt)
	if output != "" {
		p.MaxOutput, outputErr = strconv.Atoi(output)
	}
	if err != nil || outputErr != nil || p.Tokens <= 0 || p.MaxOutput < 0 {
		return nil, fmt.Errorf("tokens is %q; give the tokens of the prompt and the most of the output, as in 2400,60", v.Get("tokens"))
	}
	sum := 0
	for text := range strings.SplitSeq(v.Get("parts"), ",") {
		if text == "" {
			continue
		}
		id, count, _ := strings.Cut(text, ":")
		n, err := strconv.Atoi(count)
		if err != nil || n <= 0 || id == "" || n > p.Tokens-sum || len(p.Parts) == maxExplainedParts {
			return nil, fmt.Errorf("parts has %q; give at most %d parts with at most as many tokens in all as the prompt, as in system:900,question:100", text, maxExplainedParts)
		}
		sum += n
		p.Parts = append(p.Parts, forward.Part{ID: id, Tokens: n})
	}
	return p, nil
}
