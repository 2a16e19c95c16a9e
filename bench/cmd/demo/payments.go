package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/galenaweir/galenaweir/bench/local"
	"github.com/galenaweir/galenaweir/standin/service"
)

// payment sends a payment, sends it again through the other entry, and asks the
// service how often it took effect.
func payment(ctx context.Context, d *local.Deployment) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	p := service.Payment{Reference: key.String(), Account: "GJ-06-AX-4411", Amount: 184_000}
	first, took, _, err := pay(ctx, d, 0, p)
	if err != nil {
		return err
	}
	second, tookAgain, replayed, err := pay(ctx, d, 1, p)
	if err != nil {
		return err
	}
	if first != second || !replayed {
		return fmt.Errorf("the repeat answered %q (replayed: %t), the first one %q", second, replayed, first)
	}
	effects, err := effects(ctx, d, p.Reference)
	if err != nil {
		return err
	}
	if effects != 1 {
		return fmt.Errorf("the payment took effect %d times", effects)
	}
	fmt.Printf("payment: answered after %d ms; the same key through the other entry: the same answer after %d ms; effects at the service: %d\n",
		took.Milliseconds(), tookAgain.Milliseconds(), effects)
	return nil
}

// pay posts a payment under its reference as the idempotency key.
func pay(ctx context.Context, d *local.Deployment, entry int, p service.Payment) (body string, took time.Duration, replayed bool, err error) {
	b, err := json.Marshal(p)
	if err != nil {
		return "", 0, false, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.CallerAddress[entry]+"/v1/services/"+local.Service+"/payments", bytes.NewReader(b))
	if err != nil {
		return "", 0, false, err
	}
	req.Header.Set("Authorization", "Bearer "+local.Secret(roadways))
	req.Header.Set("Idempotency-Key", p.Reference)
	req.Header.Set("Content-Type", "application/json")
	begun := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0, false, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("payment: status %d: %s", resp.StatusCode, answer)
	}
	return string(answer), time.Since(begun), resp.Header.Get("Galenaweir-Replayed") == "true", err
}

// effects asks the stand-in itself, not through the system.
func effects(ctx context.Context, d *local.Deployment, reference string) (n int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ServiceAddrs[0]+"/effects/"+reference, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return n, json.NewDecoder(resp.Body).Decode(&n)
}
