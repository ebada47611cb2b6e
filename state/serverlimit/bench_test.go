package serverlimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// BenchmarkReserve counts a request to a server with a limit of 10 requests per second, which gets 100.
func BenchmarkReserve(b *testing.B) {
	var account serverlimit.Account
	account.SetRate(start, 10)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		account.Reserve(now, 0)
	}
}

// BenchmarkStatements finds the statements to send with a request while one of 2,200 servers has a limit.
func BenchmarkStatements(b *testing.B) {
	const serverCount = 2200
	var listed []serverlist.Server
	for number := range serverCount {
		listed = append(listed, serverlist.Server{ID: id.BackendServer(fmt.Sprintf("i-%010x", number)), StartedAtMillis: 1})
	}
	table := serverlimit.NewTable()
	table.Observe(start, serverlimit.Response{Server: listed[0], SentAt: start, Rate: 2, Successful: true})
	b.ReportAllocs()
	for b.Loop() {
		table.Statements(listed, start)
	}
}
