package entry

import (
	"context"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/rpc"
)

// outcomeLookupTimeout limits the lookup of an outcome.
const outcomeLookupTimeout = 5 * time.Second

// outcomeLookupRetryAfter is sent to callers whose lookup may succeed later.
const outcomeLookupRetryAfter = time.Second

// outcomeBody is the response to an outcome lookup.
type outcomeBody struct {
	Key             string `json:"key"`
	Ran             string `json:"ran"`
	State           string `json:"state"` // "settled" or "pending"
	Status          uint32 `json:"status,omitempty"`
	ContentType     string `json:"content_type,omitempty"`
	ResourceVersion string `json:"resource_version,omitempty"`
	BodyKept        bool   `json:"body_kept"`
	Body            []byte `json:"body,omitempty"` // base64 in JSON
}

// handleOutcome sends the recorded outcome of an idempotency key. Keys are hashed
// together with the customer, so that customers can look up only their own.
func (e *Entry) handleOutcome(c iris.Context) {
	key, doc := c.Params().Get("key"), configFrom(c).Doc
	if _, err := claims.KeyTime(key); err != nil {
		e.writeError(c, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), outcomeLookupTimeout)
	defer cancel()
	h := claims.KeyHash(customerFrom(c), key)
	reply, err := e.opts.Claims.LookupOutcome(ctx, claimsvc.PartitionOf(h, doc), h)
	if err == nil {
		err = rpc.DecodeError(reply.Error)
	}
	ran := apierr.RanUnknown
	if reply.GetState().GetOutcome() != nil {
		ran = apierr.DidRun
	}
	switch {
	case err != nil:
		e.writeError(c, apierr.NewRetryable(apierr.LogUnavailable, ran, outcomeLookupRetryAfter, "the outcome could not be looked up", "retry the lookup").WithCause(err))
	case !reply.Found:
		e.writeError(c, apierr.New(apierr.NotFound, apierr.RanUnknown, "no request with this key is on record; one may still be on its way", "repeat the request with the same key"))
	default:
		_ = c.JSON(newOutcomeBody(key, reply.State.Outcome)) // fails only if the client has disconnected
	}
}

func newOutcomeBody(key string, o *rpc.Outcome) outcomeBody {
	if o == nil {
		return outcomeBody{Key: key, Ran: string(apierr.RanUnknown), State: "pending"}
	}
	return outcomeBody{
		Key: key, Ran: string(apierr.DidRun), State: "settled", Status: o.Status, ContentType: o.ContentType,
		ResourceVersion: o.ResourceVersion, BodyKept: o.BodyKept, Body: o.Body,
	}
}
