package claimsvc

import (
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/logsvc"
)

// EncodeGroup returns the encoded data of one append. Benchmarks use it to measure its
// size and cost.
func EncodeGroup(rs []claims.Record, writer string) ([]byte, error) { return encodeGroup(rs, writer) }

// DecodePage decodes a page of a claim stream. It is for benchmarks.
func DecodePage(stream string, p logsvc.Page) claims.Page { return decodePage(stream, p) }
