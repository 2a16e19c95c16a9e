package claimsvc

import (
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/logsvc"
)

// GroupData returns the data of one append, for measurements of its size and cost.
func GroupData(rs []claims.Record, writer string) ([]byte, error) { return encodeGroup(rs, writer) }

// DecodePage decodes a page of a claim stream, for measurements.
func DecodePage(stream string, p logsvc.Page) claims.Page { return pageOf(stream, p) }
