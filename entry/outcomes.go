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

// lookupTimeout bounds the lookup of an outcome.
const lookupTimeout = 5 * time.Second

// lookupRetryAfter is told to callers whose lookup may succeed later.
const lookupRetryAfter = time.Second

// outcomeBody answers a lookup of an outcome.
type outcomeBody struct {
	Key             string `json:"key"`
	Ran             string `json:"ran"`
	State           string `json:"state"` // settled or pending
	Status          uint32 `json:"status,omitempty"`
	ContentType     string `json:"content_type,omitempty"`
	ResourceVersion string `json:"resource_version,omitempty"`
	BodyKept        bool   `json:"body_kept"`
	Body            []byte `json:"body,omitempty"` // base64
}

// handleOutcome tells what is known of a key. Keys are hashed with the customer,
// so that a customer finds only its own.
func (e *Entry) handleOutcome(c iris.Context) {
	key, doc := c.Params().Get("key"), configOf(c).Doc
	if _, err := claims.KeyTime(key); err != nil {
		e.fail(c, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), lookupTimeout)
	defer cancel()
	h := claims.KeyHash(customerOf(c), key)
	reply, err := e.o.Claims.LookupOutcome(ctx, claimsvc.PartitionOf(h, doc), h)
	if err == nil {
		err = rpc.DecodeError(reply.Error)
	}
	ran := apierr.RanUnknown
	if reply.GetState().GetOutcome() != nil {
		ran = apierr.DidRun
	}
	switch {
	case err != nil:
		e.fail(c, apierr.NewRetryable(apierr.LogUnavailable, ran, lookupRetryAfter, "the outcome could not be looked up", "retry the lookup").WithCause(err))
	case !reply.Found:
		e.fail(c, apierr.New(apierr.NotFound, apierr.RanUnknown, "no request with this key is on record; one may still be on its way", "repeat the request with the same key"))
	default:
		_ = c.JSON(describe(key, reply.State.Outcome)) // the caller has gone if this fails
	}
}

func describe(key string, o *rpc.Outcome) outcomeBody {
	if o == nil {
		return outcomeBody{Key: key, Ran: string(apierr.RanUnknown), State: "pending"}
	}
	return outcomeBody{
		Key: key, Ran: string(apierr.DidRun), State: "settled", Status: o.Status, ContentType: o.ContentType,
		ResourceVersion: o.ResourceVersion, BodyKept: o.BodyKept, Body: o.Body,
	}
}
