//go:build review

package stage

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// coldFor is ColdS of the deployment.
const coldFor = 3 * time.Second

// coldServer is a stand-in of a server of a plain service that crashes and comes back cold under its Id.
type coldServer struct {
	id    string
	stage *stage

	mutex    sync.Mutex
	server   *http.Server
	entry    entry
	listed   bool
	bornAt   time.Time
	warmAt   time.Time
	arrivals []time.Time
}

func (st *stage) startColdServer(id, zone string) *coldServer {
	cs := &coldServer{id: id, stage: st}
	cs.entry = entry{Service: "bookings-app", Address: freeAddress(), Zone: zone, Version: "v1", Slots: 12, State: "ready"}
	cs.start(0, 0)
	go func() {
		for range time.Tick(heartbeatTime) {
			cs.beat()
		}
	}()
	return cs
}

// start makes the server run, cold for a time. It writes its entry when lag has passed.
func (cs *coldServer) start(cold, lag time.Duration) {
	listener, err := net.Listen("tcp", cs.entry.Address)
	check(err)
	cs.mutex.Lock()
	cs.server = &http.Server{Handler: http.HandlerFunc(cs.serve)}
	cs.bornAt = time.Now()
	server := cs.server
	cs.warmAt = cs.bornAt.Add(cold)
	cs.entry.Born, cs.entry.Sequence = cs.bornAt.UnixMilli(), 0
	cs.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	time.AfterFunc(lag, func() {
		cs.mutex.Lock()
		cs.listed = true
		cs.mutex.Unlock()
		cs.beat()
	})
}

// crash ends the server with all its channels. It writes nothing then.
func (cs *coldServer) crash() {
	cs.mutex.Lock()
	server := cs.server
	cs.listed = false
	cs.mutex.Unlock()
	_ = server.Close()
}

func (cs *coldServer) beat() {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	if !cs.listed {
		return
	}
	cs.entry.Sequence++
	cs.entry.ColdRemainingMs = cs.coldMillis()
	cs.stage.store.putJSON("keyed.servers", cs.id, cs.entry)
}

// coldMillis returns for how long the server remains cold. The caller holds the mutex.
func (cs *coldServer) coldMillis() int { return int(max(0, time.Until(cs.warmAt)).Milliseconds()) }

func (cs *coldServer) serve(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Attempt-Id")
	if attempt == "" {
		writer.Header().Set("X-Engine-Id", cs.id)
		cs.mutex.Lock()
		if cold := cs.coldMillis(); cold > 0 {
			writer.Header().Set("X-Cold-Ms", fmt.Sprint(cold))
		}
		cs.mutex.Unlock()
		return
	}
	writer.Header().Set("X-Attempt-Id", attempt)
	if request.Header.Get("X-Expect-Instance") != cs.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	cs.mutex.Lock()
	cs.arrivals = append(cs.arrivals, time.Now())
	cs.mutex.Unlock()
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(30 * time.Millisecond)
	writer.Header().Set("X-Response-Seal", "seal-"+cs.id)
	writer.Header().Set("X-Engine-Load", "1,0,12")
	_, _ = io.WriteString(writer, strings.Repeat("x", 800))
}

// busiestSecond returns the largest number of requests that arrived in a second of the time in which the server was cold.
func (cs *coldServer) busiestSecond() int {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	most := 0
	var inside []time.Time
	for _, arrival := range cs.arrivals {
		if arrival.Before(cs.bornAt) || arrival.After(cs.bornAt.Add(coldFor)) {
			continue
		}
		inside = append(inside, arrival)
		for arrival.Sub(inside[0]) >= time.Second {
			inside = inside[1:]
		}
		most = max(most, len(inside))
	}
	return most
}

// coldReturn has one of three servers of a plain service go down and come back cold under its Id. With trouble, the store is
// down meanwhile. In no second the server may get more requests than ColdPerS x ColdOverage + ColdSlack.
func coldReturn(st *stage) string {
	const (
		bound = 17*1.5 + 5.0
		// warmUp is how long after the machines traffic starts. Servers are warm then.
		warmUp   = 5 * time.Second
		outageAt = 5 * time.Second
		outage   = 8 * time.Second
		crashAt  = outageAt + 200*time.Millisecond
		downTime = time.Second
		length   = 15 * time.Second
		perS     = 300
	)
	st.store.publishCold(800, coldFor.Seconds(), 17)
	var servers []*coldServer
	for ix := range 3 {
		servers = append(servers, st.startColdServer(fmt.Sprintf("i-%d", ix+1), fmt.Sprintf("lima-%c", 'a'+ix)))
	}
	st.startDaemons(quipuLimaGrown, 6)
	time.Sleep(warmUp)
	startedAt := time.Now()
	at := func(offset time.Duration) { time.Sleep(time.Until(startedAt.Add(offset))) }
	var served, failed atomic.Int64
	var group sync.WaitGroup
	group.Go(func() {
		at(crashAt)
		servers[0].crash()
		st.record("%s is down", servers[0].id)
		at(crashAt + downTime)
		servers[0].start(coldFor, 0)
		st.record("%s is back, cold", servers[0].id)
	})
	if st.trouble {
		group.Go(func() {
			at(outageAt)
			st.store.silent.Store(true)
			st.record("the store is down")
			at(outageAt + outage)
			st.store.silent.Store(false)
			st.record("the store is up")
		})
	}
	for number := 0; time.Since(startedAt) < length; number++ {
		at(time.Duration(number) * time.Second / perS)
		target := st.daemons[number%len(st.daemons)]
		group.Go(func() {
			if got := send(target.front, "GET", fmt.Sprint("/check/", number), fmt.Sprintf("c%d", number), 3*time.Second, nil); got.status == 200 && got.err == nil {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		})
	}
	group.Wait()
	st.record("%d requests served, %d not", served.Load(), failed.Load())
	if served.Load() == 0 {
		panic(couldNotRun("nothing was served"))
	}
	most := servers[0].busiestSecond()
	st.record("%s got %d requests in its busiest second while it was cold, %v allowed", servers[0].id, most, bound)
	if float64(most) > bound {
		return fmt.Sprintf("a cold server got %d requests in a second, %v allowed", most, bound)
	}
	return ""
}
