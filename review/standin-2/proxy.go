package main

import (
	"net"
	"sync"
)

// proxy stands on the link of one daemon to the store. While it holds back, what the store
// sends stays on the way; what the daemon sends passes.
type proxy struct {
	target string

	mu      sync.Mutex
	holding chan struct{} // closed at the end of the time of holding back; nil outside of it
}

func (p *proxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(daemon net.Conn) {
	defer daemon.Close()
	store, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer store.Close()
	go func() {
		b := make([]byte, 64<<10)
		for {
			n, err := daemon.Read(b)
			if n > 0 {
				if _, err := store.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = store.Close()
	}()
	b := make([]byte, 64<<10)
	for {
		n, err := store.Read(b)
		if held := p.held(); held != nil {
			<-held
		}
		if n > 0 {
			if _, err := daemon.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) held() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holding
}

func (p *proxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holding = make(chan struct{})
}

func (p *proxy) letGo() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.holding)
	p.holding = nil
}
