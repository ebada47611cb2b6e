//go:build review

package drill

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// peerLinks carries the channels between hosts, and can cut some hosts off from all others. Cuts are silent: open channels
// hang, and new ones are never answered.
type peerLinks struct {
	deployment *deployment

	mutex sync.Mutex
	cut   map[*daemon]bool
	conns map[*peerConn]struct{}
	// healed is closed when the cut ends.
	healed chan struct{}
}

// peerConn is a channel from one host to another.
type peerConn struct {
	from, to *daemon
	sides    [2]net.Conn
}

// linkPeers puts a link in front of each host's address for peers. It must be called before the hosts are started.
func (dp *deployment) linkPeers() (*peerLinks, error) {
	pl := &peerLinks{deployment: dp, cut: map[*daemon]bool{}, conns: map[*peerConn]struct{}{}, healed: make(chan struct{})}
	for _, dm := range dp.daemons {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		dm.announced = listener.Addr().String()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go pl.carry(conn, dm)
			}
		}()
	}
	return pl, nil
}

// carry connects a channel to a host.
func (pl *peerLinks) carry(accepted net.Conn, to *daemon) {
	from := pl.deployment.daemonOf(accepted.RemoteAddr().(*net.TCPAddr).Port, accepted.LocalAddr().(*net.TCPAddr).Port)
	if from == nil {
		// Its host has given up the channel meanwhile.
		_ = accepted.Close()
		return
	}
	forwarded, err := net.Dial("tcp", to.control)
	if err != nil {
		_ = accepted.(*net.TCPConn).SetLinger(0)
		_ = accepted.Close()
		return
	}
	pc := &peerConn{from: from, to: to, sides: [2]net.Conn{accepted, forwarded}}
	pl.mutex.Lock()
	pl.conns[pc] = struct{}{}
	pl.mutex.Unlock()
	var copies sync.WaitGroup
	for side := range pc.sides {
		copies.Go(func() { pl.copy(pc, pc.sides[side], pc.sides[1-side]) })
	}
	copies.Wait()
	pl.mutex.Lock()
	delete(pl.conns, pc)
	pl.mutex.Unlock()
}

// copy passes on what arrives on one side of a channel, and holds it back while the channel is cut.
func (pl *peerLinks) copy(pc *peerConn, from, to net.Conn) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	chunk := make([]byte, 32<<10)
	for {
		count, err := from.Read(chunk)
		if healed := pl.cutOf(pc); healed != nil {
			<-healed
			return
		}
		if count > 0 {
			if _, err := to.Write(chunk[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cutOf returns a channel that is closed when the cut of a channel ends, or nil if it is not cut.
func (pl *peerLinks) cutOf(pc *peerConn) chan struct{} {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if pl.cut[pc.from] || pl.cut[pc.to] {
		return pl.healed
	}
	return nil
}

// cutOff cuts hosts off from all others.
func (pl *peerLinks) cutOff(hosts ...*daemon) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	for _, dm := range hosts {
		pl.cut[dm] = true
		pl.deployment.note("%s is cut off from all other hosts", dm.name)
	}
}

// heal ends the cut.
func (pl *peerLinks) heal() {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.cut = map[*daemon]bool{}
	close(pl.healed)
	pl.healed = make(chan struct{})
	pl.deployment.note("the cut has healed")
}

// daemonOf returns the host whose process has a socket with a local and a remote port, or nil.
func (dp *deployment) daemonOf(local, remote int) *daemon {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	localSuffix, remoteSuffix := fmt.Sprintf(":%04X", local), fmt.Sprintf(":%04X", remote)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		const localField, remoteField, inodeField = 1, 2, 9
		if len(fields) <= inodeField || !strings.HasSuffix(fields[localField], localSuffix) || !strings.HasSuffix(fields[remoteField], remoteSuffix) {
			continue
		}
		for _, dm := range dp.daemons {
			if dm.hasSocket(fields[inodeField]) {
				return dm
			}
		}
	}
	return nil
}

// hasSocket reports whether the daemon's process has the socket with an inode.
func (dm *daemon) hasSocket(inode string) bool {
	dm.mutex.Lock()
	process := dm.process
	dm.mutex.Unlock()
	if process == nil {
		return false
	}
	links, _ := filepath.Glob("/proc/" + strconv.Itoa(process.Process.Pid) + "/fd/*")
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
