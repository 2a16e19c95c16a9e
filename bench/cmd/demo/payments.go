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

// repeatPayment sends a payment, sends it again through the other entry, and checks
// that both answers are equal and that it took effect once.
func repeatPayment(ctx context.Context, d *local.Deployment) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	p := service.Payment{Reference: key.String(), Account: "GJ-06-AX-4411", Amount: 184_000}
	first, firstTook, _, err := sendPayment(ctx, d, 0, p)
	if err != nil {
		return err
	}
	second, secondTook, replayed, err := sendPayment(ctx, d, 1, p)
	if err != nil {
		return err
	}
	if first != second || !replayed {
		return fmt.Errorf("repeated payment got answer %q (replayed: %t), the first one got %q", second, replayed, first)
	}
	effects, err := countEffects(ctx, d, p.Reference)
	if err != nil {
		return err
	}
	if effects != 1 {
		return fmt.Errorf("payment took effect %d times, want 1", effects)
	}
	fmt.Printf("payment: answered after %d ms; the same key through the other entry: the same answer after %d ms; effects at the service: %d\n",
		firstTook.Milliseconds(), secondTook.Milliseconds(), effects)
	return nil
}

// sendPayment posts a payment with its reference as the idempotency key.
func sendPayment(ctx context.Context, d *local.Deployment, entry int, p service.Payment) (body string, took time.Duration, replayed bool, err error) {
	b, err := json.Marshal(p)
	if err != nil {
		return "", 0, false, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.CallerAddresses[entry]+"/v1/services/"+local.Service+"/payments", bytes.NewReader(b))
	if err != nil {
		return "", 0, false, err
	}
	req.Header.Set("Authorization", "Bearer "+local.APIKey(roadways))
	req.Header.Set("Idempotency-Key", p.Reference)
	req.Header.Set("Content-Type", "application/json")
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0, false, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("payment: status %d: %s", resp.StatusCode, answer)
	}
	return string(answer), time.Since(start), resp.Header.Get("Galenaweir-Replayed") == "true", err
}

// countEffects reads the number of effects of a payment directly from the service
// stand-in.
func countEffects(ctx context.Context, d *local.Deployment, reference string) (n int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ServiceAddresses[0]+"/effects/"+reference, nil)
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
